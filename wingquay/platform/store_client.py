"""The store port over the platform's key-value service: HTTP/1.1 and JSON."""

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import orjson

from ..adapters.http_client import HttpClient
from ..adapters.http_messages import NOT_SENT_KINDS, HttpResponse
from ..model.failure import Failure
from ..ports.machine import Count, Event
from ..ports.store import (
    Read,
    ReadResult,
    StartWatch,
    StopWatch,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreResult,
    WatchBroken,
)
from .names import STALE_ALLOWED, STORE_RANGE
from .store_formats import (
    refused,
    stored_value,
    watch_changed,
    watch_path,
    write_call,
    write_result,
)

CATCH_UP_WAIT_MS = 1
"""How long the store holds a watch that only asks for what has changed so far."""
MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
CONNECTION_LIMIT = 6
IDLE_SECONDS = 10.0

Result = StoreResult | Failure[StoreFailureKind]
PagesResult = ReadResult | Failure[StoreFailureKind]


class PlatformStoreClient:
    """Performs ``StoreRequest``, ``StartWatch`` and ``StopWatch``.

    Parameters
    ----------
    host, port
        Where the store listens.
    emit
        Takes the events.
    count
        Takes counters: calls have a price.
    """

    def __init__(
        self,
        host: str,
        port: int,
        emit: Callable[[Event], None],
        count: Callable[[Count], None],
    ) -> None:
        self._host = host
        self._port = port
        self._emit = emit
        self._count = count
        self._client = HttpClient(CONNECTION_LIMIT, idle_seconds=IDLE_SECONDS)
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}

    def perform(self, action: StoreRequest) -> None:
        """Perform an operation."""
        self._run(self._operate(action))

    def start_watch(self, action: StartWatch) -> None:
        """Begin a watch."""
        self._watches[action.watch_id] = self._run(self._watch(action))

    def stop_watch(self, action: StopWatch) -> None:
        """End a watch."""
        task = self._watches.pop(action.watch_id, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """End everything under way; no further events follow."""
        for task in list(self._tasks):
            task.cancel()
        await self._client.close()

    def _run(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    async def _operate(self, action: StoreRequest) -> None:
        operation = action.operation
        if isinstance(operation, Read):
            result = await self._read_all(operation, action.timeout_seconds)
        else:
            result = await self._write(operation, action.timeout_seconds)
        self._emit(StoreResponse(action.operation_id, result))

    async def _write(self, operation: StoreOperation, timeout_seconds: float) -> Result:
        call = write_call(operation)
        if isinstance(call, Failure):
            return call
        answer = await self._send("POST", call.path, timeout_seconds, call.body)
        if isinstance(answer, Failure):
            return answer
        return write_result(operation, answer)

    async def _read_all(self, operation: Read, timeout_seconds: float) -> Result:
        """Read all pages, from a copy first where that is allowed: a tenth of the price a page."""
        if not operation.may_start_stale:
            return await self._read_pages(operation.key, False, timeout_seconds)
        copy = await self._read_pages(operation.key, True, timeout_seconds)
        if isinstance(copy, Failure):
            return copy
        current = await self._catch_up(operation.key, copy, timeout_seconds)
        if isinstance(current, Failure) and current.kind is StoreFailureKind.HISTORY_LOST:
            # The copy is older than what the store remembers of its changes.
            return await self._read_pages(operation.key, False, timeout_seconds)
        return current

    async def _read_pages(self, key: str, is_copy: bool, timeout_seconds: float) -> PagesResult:
        """Return all pages and the oldest revision among them.

        Pages form no snapshot: what changed since the oldest one has to be asked for.
        """
        values: list[StoredValue] = []
        revisions: list[int] = []
        path = f"{STORE_RANGE}?pathPrefix={quote(key, safe='')}"
        if is_copy:
            path += STALE_ALLOWED
        after = ""
        begun_at = self._loop.time()
        while True:
            document = await self._call(path + after, timeout_seconds)
            if isinstance(document, Failure):
                return document
            try:
                values += [stored_value(item) for item in document["items"]]
                revisions.append(int(document["at"]))
                has_more = bool(document["more"])
            except (KeyError, TypeError, ValueError) as error:
                return Failure(StoreFailureKind.MALFORMED, f"page: {error!r}")
            if not has_more or not values:
                # A copy may be older than what the store has acknowledged by now.
                return ReadResult(tuple(values), min(revisions), None if is_copy else begun_at)
            after = f"&after={quote(values[-1].key, safe='')}"

    async def _catch_up(self, key: str, copy: ReadResult, timeout_seconds: float) -> PagesResult:
        """Return what a copy becomes by all that has changed since."""
        items = {item.key: item for item in copy.values}
        revision = copy.store_revision
        while True:
            begun_at = self._loop.time()
            path = watch_path(key, revision, CATCH_UP_WAIT_MS)
            document = await self._call(path, timeout_seconds)
            if isinstance(document, Failure):
                return document
            try:
                event = watch_changed("", document)
            except (KeyError, TypeError, ValueError) as error:
                return Failure(StoreFailureKind.MALFORMED, f"events: {error!r}")
            items.update({item.key: item for item in event.changed})
            for gone in event.deleted:
                items.pop(gone, None)
            revision = max(revision, event.store_revision)
            if not event.may_have_more:
                return ReadResult(tuple(items.values()), revision, begun_at)

    async def _watch(self, action: StartWatch) -> None:
        after = action.from_store_revision
        wait_ms = max(int(action.hold_seconds * MILLISECONDS_PER_SECOND), CATCH_UP_WAIT_MS)
        await asyncio.sleep(action.pause_seconds)
        while True:
            asked_at = self._loop.time()
            path = watch_path(action.key, after, wait_ms)
            document = await self._call(path, action.timeout_seconds)
            if isinstance(document, Failure):
                is_lost = document.kind is StoreFailureKind.HISTORY_LOST
                self._emit(WatchBroken(action.watch_id, document.reason, is_lost))
                return
            try:
                event = watch_changed(action.watch_id, document, asked_at)
            except (KeyError, TypeError, ValueError) as error:
                self._emit(WatchBroken(action.watch_id, f"events: {error!r}"))
                return
            after = max(after, event.store_revision)
            self._emit(event)
            if event.may_have_more:
                continue
            await asyncio.sleep(
                max(0.0, asked_at + action.poll_interval_seconds - self._loop.time())
            )

    async def _call(self, path: str, timeout_seconds: float) -> Any:
        answer = await self._send("GET", path, timeout_seconds)
        if isinstance(answer, Failure):
            return answer
        if answer.status != STATUS_OK:
            return refused(answer)
        try:
            return orjson.loads(answer.whole_body)
        except ValueError as error:
            return Failure(StoreFailureKind.MALFORMED, str(error))

    async def _send(
        self, method: str, path: str, timeout_seconds: float, body: bytes = b""
    ) -> HttpResponse | Failure[StoreFailureKind]:
        self._count(Count("store_calls_total"))
        headers = {"content-type": "application/json"} if body else {}
        result = await self._client.request(
            self._host, self._port, method, path, headers, body, timeout_seconds
        )
        if isinstance(result, Failure):
            not_sent = result.kind in NOT_SENT_KINDS
            kind = StoreFailureKind.UNREACHABLE if not_sent else StoreFailureKind.LOST_REPLY
            return Failure(kind, result.reason)
        return result
