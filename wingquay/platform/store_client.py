"""The store port over the platform's key-value service: HTTP/1.1 and JSON."""

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import orjson

from ..adapters.http_client import HttpClient
from ..adapters.http_messages import NOT_SENT_KINDS, HttpResponse
from ..model.failure import Failure
from ..model.store_version import StoreVersion, is_same_era
from ..ports.machine import Count, Event, Log
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
    StoreRestored,
    StoreResult,
    WatchBroken,
    WatchChanged,
)
from .names import STALE_ALLOWED, STORE_ERA, STORE_RANGE
from .store_era import AnswerEra, StoreEra
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
COPY_SECONDS = 30.0
"""Time after the store was restored in which a lagging copy may still show the time before it."""

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
    log
        Takes log lines.
    """

    def __init__(
        self,
        host: str,
        port: int,
        emit: Callable[[Event], None],
        count: Callable[[Count], None],
        log: Callable[[Log], None],
    ) -> None:
        self._host = host
        self._port = port
        self._emit = emit
        self._count = count
        self._client = HttpClient(CONNECTION_LIMIT, idle_seconds=IDLE_SECONDS)
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}
        self._era = StoreEra(log)
        self._restored_at = float("-inf")
        """When an answer showed that the store was restored from an older copy."""

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
        call = write_call(operation, self._era.latest)
        if isinstance(call, Failure):
            return call
        answer = await self._send("POST", call.path, timeout_seconds, call.body)
        if isinstance(answer, Failure):
            return answer
        return write_result(operation, answer, self._era.latest)

    async def _read_all(self, operation: Read, timeout_seconds: float) -> Result:
        """Read all pages, from a copy first where that is allowed: a tenth of the price a page."""
        was_restored = self._loop.time() - self._restored_at < COPY_SECONDS
        if was_restored or not operation.may_start_stale:
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
        versions: list[StoreVersion] = []
        path = f"{STORE_RANGE}?pathPrefix={quote(key, safe='')}"
        if is_copy:
            path += STALE_ALLOWED
        after = ""
        begun_at = self._loop.time()
        while True:
            document = await self._call(path + after, timeout_seconds)
            if isinstance(document, Failure):
                return document
            era = self._era.latest
            try:
                values += [stored_value(item, era) for item in document["items"]]
                versions.append(StoreVersion.of(era, int(document["at"])))
                has_more = bool(document["more"])
            except (KeyError, TypeError, ValueError) as error:
                return Failure(StoreFailureKind.MALFORMED, f"page: {error!r}")
            if not is_same_era(versions[0], versions[-1]):
                reason = f"the store came back in era {era} between two pages"
                return Failure(StoreFailureKind.UNREACHABLE, reason)
            if not has_more or not values:
                # A copy may be older than what the store has acknowledged by now.
                return ReadResult(tuple(values), min(versions), None if is_copy else begun_at)
            after = f"&after={quote(values[-1].key, safe='')}"

    async def _catch_up(self, key: str, copy: ReadResult, timeout_seconds: float) -> PagesResult:
        """Return what a copy becomes by all that has changed since."""
        items = {item.key: item for item in copy.values}
        version = StoreVersion(copy.store_revision)
        while True:
            begun_at = self._loop.time()
            event = await self._changes("", key, version, CATCH_UP_WAIT_MS, timeout_seconds)
            if isinstance(event, Failure):
                return event
            items.update({item.key: item for item in event.changed})
            for gone in event.deleted:
                items.pop(gone, None)
            version = StoreVersion(max(version, event.store_revision))
            if not event.may_have_more:
                return ReadResult(tuple(items.values()), version, begun_at)

    async def _watch(self, action: StartWatch) -> None:
        after = StoreVersion(action.from_store_revision)
        wait_ms = max(int(action.hold_seconds * MILLISECONDS_PER_SECOND), CATCH_UP_WAIT_MS)
        await asyncio.sleep(action.pause_seconds)
        while True:
            asked_at = self._loop.time()
            event = await self._changes(
                action.watch_id, action.key, after, wait_ms, action.timeout_seconds
            )
            if isinstance(event, Failure):
                is_lost = event.kind is StoreFailureKind.HISTORY_LOST
                self._emit(WatchBroken(action.watch_id, event.reason, is_lost))
                return
            after = StoreVersion(max(after, event.store_revision))
            self._emit(event)
            if event.may_have_more:
                continue
            await asyncio.sleep(
                max(0.0, asked_at + action.poll_interval_seconds - self._loop.time())
            )

    async def _changes(
        self, watch_id: str, key: str, after: StoreVersion, wait_ms: int, timeout_seconds: float
    ) -> WatchChanged | Failure[StoreFailureKind]:
        """Return what has changed since a version."""
        begun_at = self._loop.time()
        path = watch_path(key, after.revision, wait_ms)
        document = await self._call(path, timeout_seconds)
        if isinstance(document, Failure):
            return document
        if self._era.latest != after.era:
            # Revisions of the two eras can't be compared, even if the store has this one again.
            reason = f"the store is in era {self._era.latest}, the watch began in era {after.era}"
            return Failure(StoreFailureKind.HISTORY_LOST, reason)
        try:
            return watch_changed(watch_id, document, after.era, begun_at)
        except (KeyError, TypeError, ValueError) as error:
            return Failure(StoreFailureKind.MALFORMED, f"events: {error!r}")

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
        return self._check_era(result)

    def _check_era(self, answer: HttpResponse) -> HttpResponse | Failure[StoreFailureKind]:
        """Return an answer of the latest era; announce a new era before its first answer."""
        match self._era.observe(answer.headers.get(STORE_ERA)):
            case AnswerEra.LATE:
                reason = (
                    f"the answer was given before the store came back in era {self._era.latest}"
                )
                return Failure(StoreFailureKind.LOST_REPLY, reason)
            case AnswerEra.NEW:
                self._restored_at = self._loop.time()
                self._emit(StoreRestored(StoreVersion.of(self._era.latest, 0)))
        return answer
