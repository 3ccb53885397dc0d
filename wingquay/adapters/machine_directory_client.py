"""The machine directory port over HTTP: ``GET /machines``, a JSON list."""

import asyncio
import ipaddress
from collections.abc import Callable, Sequence

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError, field_validator

from ..model.failure import Failure
from ..model.identifiers import ZoneName
from ..ports.machine import Action, Event
from ..ports.machine_directory import (
    DirectoryFailureKind,
    MachineEntry,
    MachineListRead,
    MachineState,
    ReadMachineList,
)
from .http_client import HttpClient
from .settings import Endpoint

MACHINES_PATH = "/machines"
CONNECTION_LIMIT = 2
DEFAULT_TIMEOUT_SECONDS = 2.0
REASON_CHARACTERS = 200
STATUS_OK = 200

MachineList = tuple[MachineEntry, ...] | Failure[DirectoryFailureKind]


class _Entry(BaseModel):
    model_config = ConfigDict(frozen=True)

    host: str
    port: int = Field(ge=1, le=65535)
    zone: str
    state: MachineState

    @field_validator("host")
    @classmethod
    def _check_host(cls, host: str) -> str:
        ipaddress.ip_address(host)
        return host


_ENTRIES = TypeAdapter(tuple[_Entry, ...])


def decode_machine_list(body: bytes) -> MachineList:
    """Return what the body of a 200 reply says; never raises."""
    try:
        entries = _ENTRIES.validate_json(body)
    except ValidationError as error:
        reason = " ".join(str(error).split())[:REASON_CHARACTERS]
        return Failure(DirectoryFailureKind.MALFORMED, reason)
    return tuple(
        MachineEntry(entry.host, entry.port, ZoneName(entry.zone), entry.state) for entry in entries
    )


class MachineDirectoryClient:
    """Performs ``ReadMachineList``.

    Parameters
    ----------
    endpoints
        At least one address of the list; they are tried in turn.
    emit
        Takes the events.
    timeout_seconds
        Bounds the reading from each of them.
    """

    def __init__(
        self,
        endpoints: Sequence[Endpoint],
        emit: Callable[[Event], None],
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._endpoints = tuple(endpoints)
        self._emit = emit
        self._timeout_seconds = timeout_seconds
        self._client: HttpClient | None = None
        self._reads: dict[asyncio.Task[None], None] = {}

    async def start(self) -> None:
        """Get ready; nothing is sent yet."""
        self._client = HttpClient(connection_limit=CONNECTION_LIMIT)

    async def close(self) -> None:
        """End reads under way; no further events follow."""
        reads = list(self._reads)
        for task in reads:
            task.cancel()
        if reads:
            await asyncio.wait(reads)
        if self._client is not None:
            await self._client.close()

    def perform(self, action: Action) -> None:
        """Carry out a ``ReadMachineList``; other actions are ignored."""
        if isinstance(action, ReadMachineList):
            task = asyncio.create_task(self._respond())
            self._reads[task] = None
            task.add_done_callback(self._forget_read)

    def _forget_read(self, task: asyncio.Task[None]) -> None:
        self._reads.pop(task, None)

    async def _respond(self) -> None:
        self._emit(MachineListRead(await self._read()))

    async def _read(self) -> MachineList:
        result: MachineList = Failure(DirectoryFailureKind.UNREACHABLE, "no endpoint is given")
        for endpoint in self._endpoints:
            result = await self._read_from(endpoint)
            if not isinstance(result, Failure):
                break
        return result

    async def _read_from(self, endpoint: Endpoint) -> MachineList:
        assert self._client is not None, "start() comes first"
        response = await self._client.request(
            endpoint.host,
            endpoint.port,
            "GET",
            MACHINES_PATH,
            timeout_seconds=self._timeout_seconds,
        )
        if isinstance(response, Failure):
            return Failure(DirectoryFailureKind.UNREACHABLE, response.reason)
        if response.status != STATUS_OK:
            reason = f"the machine list answered {response.status}"
            return Failure(DirectoryFailureKind.UNREACHABLE, reason)
        return decode_machine_list(response.whole_body)
