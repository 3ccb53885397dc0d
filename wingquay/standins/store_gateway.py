"""Serves the store model as etcd's JSON gateway does."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from pydantic import ValidationError

from ..adapters.http_messages import ConnectionCutError, HttpRequest, HttpResponse
from ..model.failure import Failure
from ..ports.store import (
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    RevokeLease,
    StoreFailureKind,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from ..simulation.models.store_model import StoreModel
from ..simulation.models.store_operations import (
    ModelOperation,
    ModelResult,
    StoreOutput,
    TransactionReply,
)
from ..simulation.models.store_state import (
    Delete,
    Put,
    StateOperation,
    Transaction,
    TransactionResult,
)
from .backend_wire import json_response
from .etcd_wire import (
    LeaseGrantRequest,
    LeaseRequest,
    PutRequest,
    RangeRequest,
    TransactionRequest,
    WatchRequest,
    lease_document,
    range_document,
    transaction_document,
    watch_canceled_line,
    watch_changed_line,
    watch_created_line,
    write_document,
)
from .model_driver import ModelDriver

GATEWAY_PREFIX = "/v3/"

GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_UNIMPLEMENTED = 12

Route = Callable[[bytes], Awaitable[HttpResponse]]


class StoreGateway:
    """Answers the requests below ``/v3/``."""

    def __init__(self, model: StoreModel) -> None:
        self.driver: ModelDriver[StoreOutput] = ModelDriver(model, self._deliver)
        self._model = model
        self._loop = asyncio.get_running_loop()
        self._last_id = 0
        self._waiting: dict[str, asyncio.Future[ModelResult]] = {}
        self._watches: dict[str, asyncio.Queue[WatchChanged | WatchBroken]] = {}
        self._routes: dict[str, Route] = {
            "kv/range": self._range,
            "kv/put": self._put,
            "kv/deleterange": self._delete_range,
            "kv/txn": self._transaction,
            "lease/grant": self._grant,
            "lease/keepalive": self._keep_alive,
            "lease/revoke": self._revoke,
            "watch": self._watch,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request.

        Raises
        ------
        ConnectionCutError
            The store is down.
        """
        route = self._routes.get(request.path.removeprefix(GATEWAY_PREFIX))
        if route is None:
            return _error(501, GRPC_UNIMPLEMENTED, f"no such method: {request.path}")
        try:
            return await route(request.body)
        except ValidationError as error:
            return _error(400, GRPC_INVALID_ARGUMENT, str(error))

    # -- requests ------------------------------------------------------------------------------

    async def _range(self, body: bytes) -> HttpResponse:
        operation = RangeRequest.model_validate_json(body).operation
        result = await self._apply(operation)
        if isinstance(result, HttpResponse):
            return result
        return json_response(200, range_document(result.ranges[0] or (), result.revision))

    async def _put(self, body: bytes) -> HttpResponse:
        put = PutRequest.model_validate_json(body)
        result = await self._apply(Put(put.key, put.value, put.lease))
        if isinstance(result, HttpResponse):
            return result
        return json_response(200, write_document(result.revision))

    async def _delete_range(self, body: bytes) -> HttpResponse:
        span = RangeRequest.model_validate_json(body).span
        result = await self._apply(Delete(span))
        if isinstance(result, HttpResponse):
            return result
        return json_response(200, write_document(result.revision))

    async def _transaction(self, body: bytes) -> HttpResponse:
        try:
            transaction = TransactionRequest.model_validate_json(body).to_transaction()
        except ValueError as error:
            return _error(400, GRPC_INVALID_ARGUMENT, str(error))
        result = await self._perform(transaction)
        if isinstance(result, HttpResponse):
            return result
        assert isinstance(result, TransactionResult)
        if not result.lease_found:
            return _lease_not_found()
        return json_response(200, transaction_document(result))

    async def _grant(self, body: bytes) -> HttpResponse:
        request = LeaseGrantRequest.model_validate_json(body)
        result = await self._perform_on_lease(GrantLease(request.time_to_live))
        if isinstance(result, HttpResponse):
            return result
        return json_response(200, lease_document(result, self._model.state.revision))

    async def _keep_alive(self, body: bytes) -> HttpResponse:
        request = LeaseRequest.model_validate_json(body)
        result = await self._perform_on_lease(KeepLeaseAlive(request.lease_id))
        if isinstance(result, HttpResponse):
            return result
        document = lease_document(result, self._model.state.revision)
        return json_response(200, {"result": document})

    async def _revoke(self, body: bytes) -> HttpResponse:
        lease_id = LeaseRequest.model_validate_json(body).lease_id
        is_held = self._model.holds_lease(lease_id)
        result = await self._perform_on_lease(RevokeLease(lease_id))
        if isinstance(result, HttpResponse):
            return result
        if not is_held:
            return _lease_not_found()
        return json_response(200, write_document(self._model.state.revision))

    async def _watch(self, body: bytes) -> HttpResponse:
        create = WatchRequest.model_validate_json(body).create_request
        watch_id = self._next_id("watch")
        self._watches[watch_id] = asyncio.Queue()
        self._model.start_watch(watch_id, create.span, create.start_revision, self.driver.now)
        self.driver.run()
        return HttpResponse(200, {"content-type": "application/json"}, self._watch_lines(watch_id))

    async def _watch_lines(self, watch_id: str) -> AsyncIterator[bytes]:
        notices = self._watches[watch_id]
        try:
            yield watch_created_line(self._model.state.revision)
            while isinstance(notice := await notices.get(), WatchChanged):
                yield watch_changed_line(notice)
            yield watch_canceled_line(notice.reason, self._model.state.compacted_at)
        finally:
            self._model.stop_watch(watch_id, self.driver.now)
            del self._watches[watch_id]

    # -- operations ----------------------------------------------------------------------------

    async def _apply(self, operation: StateOperation) -> TransactionResult | HttpResponse:
        result = await self._perform(Transaction(success=(operation,)))
        if isinstance(result, HttpResponse):
            return result
        assert isinstance(result, TransactionResult)
        return result if result.lease_found else _lease_not_found()

    async def _perform_on_lease(
        self, operation: GrantLease | KeepLeaseAlive | RevokeLease
    ) -> LeaseState | HttpResponse:
        result = await self._perform(operation)
        assert isinstance(result, LeaseState | HttpResponse)
        return result

    async def _perform(self, operation: ModelOperation) -> ModelResult | HttpResponse:
        operation_id = self._next_id("operation")
        self._waiting[operation_id] = self._loop.create_future()
        self._model.submit(operation_id, operation, self.driver.now)
        self.driver.run()
        try:
            result = await self._waiting[operation_id]
        finally:
            del self._waiting[operation_id]
            self._model.forget(operation_id)
        if not isinstance(result, Failure):
            return result
        if result.kind is StoreFailureKind.RATE_LIMITED:
            return _error(429, GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        raise ConnectionCutError

    def _deliver(self, output: StoreOutput) -> None:
        if isinstance(output, WatchChanged | WatchBroken):
            notices = self._watches.get(output.watch_id)
            if notices is not None:
                notices.put_nowait(output)
            return
        assert isinstance(output, StoreResponse | TransactionReply)
        future = self._waiting.get(output.operation_id)
        if future is not None and not future.done():
            future.set_result(output.result)

    def _next_id(self, label: str) -> str:
        self._last_id += 1
        return f"{label}-{self._last_id}"


def _error(status: int, code: int, message: str) -> HttpResponse:
    return json_response(status, {"error": message, "code": code, "message": message})


def _lease_not_found() -> HttpResponse:
    return _error(404, GRPC_NOT_FOUND, "etcdserver: requested lease not found")
