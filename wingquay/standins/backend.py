"""One back end (replica) on a real socket, over the same model that the simulator uses."""

import asyncio
import random

from ..adapters.http_messages import ConnectionCutError, HttpRequest, HttpResponse
from ..model.failure import Failure
from ..model.identifiers import AttemptId
from ..simulation.models.backend_messages import BackendReply
from ..simulation.models.backend_model import BackendModel
from ..simulation.models.backend_settings import BackendSettings
from ..simulation.models.dataset import Dataset
from ..simulation.models.execution_ledger import ExecutionLedger
from .admin_commands import ADMIN_PREFIX
from .backend_admin import BackendAdmin, Misbehaviour
from .backend_wire import (
    exchange_from_http,
    health_to_http,
    problem_response,
    reply_to_http,
)
from .costly_server import CostlyServer
from .misbehaviour import wrong_response
from .model_driver import ModelDriver


class BackendStandin:
    """Serves ``POST /search``, ``GET /health`` and ``POST /admin/...`` for one replica.

    Parameters
    ----------
    settings, rng, dataset, ledger
        Of the model; see ``BackendModel``.
    """

    def __init__(
        self,
        settings: BackendSettings,
        rng: random.Random,
        dataset: Dataset,
        ledger: ExecutionLedger | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.model = BackendModel(settings, rng, dataset, ledger, started_at=self._loop.time())
        self._driver = ModelDriver(self.model, self._deliver)
        self.admin = BackendAdmin(self.model, self._driver, self._lose_all)
        self._server = CostlyServer(
            self._handle,
            connection_limit=settings.connection_limit,
            connection_cost_seconds=settings.connection_cost_seconds,
        )
        self._waiting: dict[AttemptId, asyncio.Future[BackendReply]] = {}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the port; raises ``OSError`` if the address is not free."""
        return await self._server.start(host, port)

    async def close(self, grace_seconds: float = 0.0) -> None:
        """Stop; exchanges in flight may finish for ``grace_seconds``."""
        await self._server.close(grace_seconds)
        self._driver.stop()

    def _deliver(self, reply: BackendReply) -> None:
        future = self._waiting.get(reply.attempt_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def _lose_all(self) -> None:
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionCutError())

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith(ADMIN_PREFIX):
            return self.admin.handle(request)
        match (request.method, request.path):
            case ("GET", "/health"):
                return health_to_http(self.model.report(self._driver.now))
            case ("POST", "/search"):
                return await self._search(request)
            case _:
                return problem_response(404, "unknown-path", request.path)

    async def _search(self, request: HttpRequest) -> HttpResponse:
        exchange = exchange_from_http(request)
        if isinstance(exchange, Failure):
            return problem_response(400, exchange.kind.value, exchange.reason)
        attempt_id = exchange.attempt_id
        if attempt_id in self._waiting:
            return problem_response(400, "attempt-in-flight", attempt_id)
        mode = self.admin.next_misbehaviour()
        self._waiting[attempt_id] = self._loop.create_future()
        self.model.arrive(exchange, self._driver.now)
        self._driver.run()
        reply = await self._reply(attempt_id)
        if mode is Misbehaviour.SILENT:
            await asyncio.Event().wait()
        return reply_to_http(reply) if mode is None else wrong_response(reply, mode)

    async def _reply(self, attempt_id: AttemptId) -> BackendReply:
        try:
            return await self._waiting[attempt_id]
        except asyncio.CancelledError:
            self.model.cancel(attempt_id, self._driver.now)
            self._driver.run()
            raise
        finally:
            del self._waiting[attempt_id]
