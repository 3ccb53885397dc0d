"""The platform's key-value service and machine list on real sockets."""

import asyncio
import random

from ..adapters.http_messages import HttpRequest, HttpResponse
from ..adapters.http_server import HttpServer
from ..model.failure import Failure
from ..simulation.models.machine_list_model import DEFAULT_LAG_SECONDS, MachineListModel
from ..simulation.models.store_model import StoreModel, StoreSettings
from .admin_commands import ADMIN_PREFIX
from .backend_wire import json_response, problem_response
from .store_admin import Refuse, StoreAdmin
from .store_gateway import GATEWAY_PREFIX, StoreGateway

REFUSE_PATH = f"{ADMIN_PREFIX}refuse"
STATUS_OK = 200
CLOSING_SECONDS = 0.2
"""Time in which exchanges end that the store's going down has just failed."""


class StoreStandin:
    """One store with any number of endpoints.

    Serves ``POST /v3/...`` (etcd's JSON gateway), ``GET /machines`` and ``POST /admin/...``.

    Parameters
    ----------
    settings, rng
        Of the store model.
    machine_lag_seconds
        By how much the machine list lags.
    """

    def __init__(
        self,
        settings: StoreSettings,
        rng: random.Random,
        machine_lag_seconds: float = DEFAULT_LAG_SECONDS,
    ) -> None:
        self.model = StoreModel(settings, rng)
        self.machines = MachineListModel(machine_lag_seconds)
        self._gateway = StoreGateway(self.model)
        self.admin = StoreAdmin(self.model, self.machines, self._gateway.driver)
        self._servers: dict[tuple[str, int], HttpServer] = {}
        self._going_down: asyncio.Task[None] | None = None
        self._outage: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the port; call it again for further endpoints.

        Raises
        ------
        OSError
            The address cannot be listened on.
        """
        server = HttpServer(self._handle)
        bound_port = await server.start(host, port)
        self._servers[host, bound_port] = server
        return bound_port

    async def close(self) -> None:
        """Stop at once."""
        for task in (self._going_down, self._outage):
            if task is not None:
                task.cancel()
        await self._stop_listening(grace_seconds=0.0)
        self._gateway.driver.stop()

    async def refuse(self, seconds: float) -> None:
        """Go down now: break connections and listen no more; be back after ``seconds``."""
        self.admin.perform(Refuse(seconds=seconds))
        await self._go_down()

    async def _go_down(self) -> None:
        if self._outage is not None:
            self._outage.cancel()
        addresses = list(self._servers)
        await self._stop_listening(CLOSING_SECONDS)
        self._outage = asyncio.create_task(self._come_back(addresses))

    async def _stop_listening(self, grace_seconds: float) -> None:
        servers = list(self._servers.values())
        await asyncio.gather(*(server.close(grace_seconds) for server in servers))

    async def _come_back(self, addresses: list[tuple[str, int]]) -> None:
        await asyncio.sleep(self.model.faults.refusing_until - self._gateway.driver.now)
        for host, port in addresses:
            await self.start(host, port)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith(GATEWAY_PREFIX):
            return await self._gateway.handle(request)
        if request.path.startswith(ADMIN_PREFIX):
            return self._administer(request)
        if (request.method, request.path) == ("GET", "/machines"):
            return self._machine_list()
        return problem_response(404, "unknown-path", request.path)

    def _administer(self, request: HttpRequest) -> HttpResponse:
        response = self.admin.handle(request)
        if request.path == REFUSE_PATH and response.status == STATUS_OK:
            self._going_down = asyncio.create_task(self._go_down())
        return response

    def _machine_list(self) -> HttpResponse:
        entries = self.machines.read(self._gateway.driver.now)
        if isinstance(entries, Failure):
            return problem_response(503, "machine-list-down", entries.reason)
        document = [
            {
                "host": entry.host,
                "port": entry.port,
                "zone": entry.zone,
                "state": entry.state.value,
            }
            for entry in entries
        ]
        return json_response(200, document)
