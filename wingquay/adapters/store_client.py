"""The store port over HTTP: etcd's JSON gateway at one or several endpoints."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from ..model.failure import Failure
from ..ports.machine import Action, Event
from ..ports.store import (
    CompareAndSwap,
    LeaseState,
    StartWatch,
    StopWatch,
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreResult,
    WatchBroken,
)
from .etcd_json import GatewayRequest, decode, encode, malformed, not_found
from .http_client import HttpClient
from .http_messages import NOT_SENT_KINDS, HttpResponse
from .settings import Endpoint
from .store_watch import run_watch

CONNECTION_LIMIT = 16
"""Connections to one endpoint; each watch holds one."""

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_RATE_LIMITED = 429
FIRST_SERVER_ERROR_STATUS = 500

Result = StoreResult | Failure[StoreFailureKind]


class StoreClient:
    """Performs ``StoreRequest``, ``StartWatch`` and ``StopWatch``.

    Operations go to one endpoint as long as it answers, then to the next. A swap or a grant that
    may have been sent is never sent again, since it may have taken effect; reads, renewals and
    revocations are, while their time lasts.

    Parameters
    ----------
    endpoints
        At least one; all of the same store.
    emit
        Takes the events.
    """

    def __init__(self, endpoints: Sequence[Endpoint], emit: Callable[[Event], None]) -> None:
        self._endpoints = tuple(endpoints)
        self._emit = emit
        self._preferred = 0
        self._client: HttpClient | None = None
        self._operations: dict[asyncio.Task[None], None] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Get ready; nothing is sent yet."""
        self._client = HttpClient(connection_limit=CONNECTION_LIMIT)

    async def close(self) -> None:
        """End everything under way; no further events follow."""
        tasks = [*self._operations, *self._watches.values()]
        self._watches.clear()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        if self._client is not None:
            await self._client.close()

    def perform(self, action: Action) -> None:
        """Carry out one of the port's actions; others are ignored."""
        match action:
            case StoreRequest():
                task = asyncio.create_task(self._respond(action))
                self._operations[task] = None
                task.add_done_callback(self._forget_operation)
            case StartWatch():
                self._start_watch(action)
            case StopWatch():
                self._stop_watch(action.watch_id)

    def _forget_operation(self, task: asyncio.Task[None]) -> None:
        self._operations.pop(task, None)

    # -- watches -------------------------------------------------------------------------------

    def _start_watch(self, watch: StartWatch) -> None:
        self._stop_watch(watch.watch_id)
        self._watches[watch.watch_id] = asyncio.create_task(self._watch(watch))

    def _stop_watch(self, watch_id: str) -> None:
        task = self._watches.pop(watch_id, None)
        if task is not None:
            task.cancel()

    async def _watch(self, watch: StartWatch) -> None:
        assert self._client is not None, "start() comes first"
        endpoint = self._endpoints[self._preferred]
        reason = await run_watch(self._client, endpoint.host, endpoint.port, watch, self._emit)
        # A watch that was stopped or replaced never comes here: its task is cancelled.
        del self._watches[watch.watch_id]
        self._prefer_next()
        self._emit(WatchBroken(watch.watch_id, reason))

    def _prefer_next(self) -> None:
        self._preferred = (self._preferred + 1) % len(self._endpoints)

    # -- operations ----------------------------------------------------------------------------

    async def _respond(self, request: StoreRequest) -> None:
        result = await self._perform(request.operation, request.timeout_seconds)
        self._emit(StoreResponse(request.operation_id, result))

    async def _perform(self, operation: StoreOperation, timeout_seconds: float) -> Result:
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + timeout_seconds
        gateway_request = encode(operation)
        was_sent = False
        failure = Failure(StoreFailureKind.UNREACHABLE, "no time to reach the store")
        for _ in self._endpoints:
            sent_at = loop.time()
            if sent_at >= deadline_at:
                break
            result = await self._exchange(gateway_request, operation, deadline_at - sent_at)
            if not isinstance(result, Failure):
                return _aged(result, loop.time() - sent_at)
            if result.kind not in _NEXT_ENDPOINT_KINDS:
                return result
            self._prefer_next()
            was_sent = was_sent or result.kind is StoreFailureKind.LOST_REPLY
            failure = result
            if was_sent and not _may_be_sent_again(operation):
                break
        if was_sent:
            return Failure(StoreFailureKind.LOST_REPLY, failure.reason)
        return failure

    async def _exchange(
        self,
        request: GatewayRequest,
        operation: StoreOperation,
        timeout_seconds: float,
    ) -> Result:
        assert self._client is not None, "start() comes first"
        endpoint = self._endpoints[self._preferred]
        response = await self._client.request(
            endpoint.host,
            endpoint.port,
            "POST",
            request.path,
            {"content-type": "application/json"},
            request.body,
            timeout_seconds,
        )
        if isinstance(response, Failure):
            is_sent = response.kind not in NOT_SENT_KINDS
            kind = StoreFailureKind.LOST_REPLY if is_sent else StoreFailureKind.UNREACHABLE
            return Failure(kind, response.reason)
        return _interpreted(response, operation)


_NEXT_ENDPOINT_KINDS = frozenset({StoreFailureKind.UNREACHABLE, StoreFailureKind.LOST_REPLY})


def _interpreted(response: HttpResponse, operation: StoreOperation) -> Result:
    status = response.status
    if status == STATUS_OK:
        return decode(operation, response.whole_body)
    if status == STATUS_RATE_LIMITED:
        return Failure(StoreFailureKind.RATE_LIMITED, "the store limits the rate")
    if status == STATUS_NOT_FOUND:
        return not_found(operation)
    if status >= FIRST_SERVER_ERROR_STATUS:
        # A change of the store's leader, for one, is answered so whether or not the operation
        # took effect.
        return Failure(StoreFailureKind.LOST_REPLY, f"the store answered {status}")
    return malformed(f"the store answered {status}")


def _may_be_sent_again(operation: StoreOperation) -> bool:
    return not isinstance(operation, CompareAndSwap)


def _aged(result: StoreResult, seconds: float) -> StoreResult:
    """Count a lease from when it was asked for, which is the latest that is certain."""
    if not isinstance(result, LeaseState):
        return result
    remaining_seconds = max(0.0, result.time_to_live_seconds - seconds)
    return replace(result, time_to_live_seconds=remaining_seconds)
