"""Sends a load open-loop: each request starts at its intended time, whatever the answers do.

Latencies are counted from the intended start, so a slow answer, a full set of connections or a
generator that lags makes them longer and never leaves requests out (no coordinated omission).
"""

import asyncio
import secrets

import orjson

from ...adapters.caller_json import IDEMPOTENCY_HEADER
from ...adapters.http_client import HttpClient
from ...adapters.http_messages import HttpFailureKind, HttpResponse
from ...adapters.settings import Endpoint
from ...model.failure import Failure
from .load_plan import LoadPlan, PlannedRequest
from .load_tally import LoadTally

QUERY_PATH = "/v1/query"
RUN_ID_BYTES = 8
END_GRACE_SECONDS = 1.0


class LoadGenerator:
    """Sends the requests of a plan once; create it inside a running event loop.

    Parameters
    ----------
    token
        The caller's bearer token.
    """

    def __init__(self, plan: LoadPlan, token: str) -> None:
        self.tally = LoadTally(plan.keys)
        self.is_interrupted = False
        self.began_at = 0.0
        self.last_sent_at = 0.0
        self._plan = plan
        self._loop = asyncio.get_running_loop()
        self._client = HttpClient(connection_limit=plan.connections)
        self._free = {target: asyncio.Semaphore(plan.connections) for target in plan.targets}
        self._tasks: set[asyncio.Task[None]] = set()
        self._pacing: asyncio.Task[None] | None = None
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._headers = {
            "authorization": f"Bearer {token}",
            "content-type": "application/json",
        }

    @property
    def in_flight(self) -> int:
        """Requests that were begun and have no end yet."""
        return self.tally.sent - self.tally.finished

    @property
    def elapsed_seconds(self) -> float:
        """Time since the start of the load."""
        return self._loop.time() - self.began_at

    async def run(self) -> None:
        """Send every request and wait until each is answered or its time is over."""
        self.began_at = self.last_sent_at = self._loop.time()
        self._pacing = asyncio.create_task(self._pace())
        try:
            await asyncio.wait({self._pacing})
            if not self._pacing.cancelled():
                self._pacing.result()
            if self._tasks:
                await asyncio.wait(
                    self._tasks, timeout=self._plan.timeout_seconds + END_GRACE_SECONDS
                )
        finally:
            await self._end()

    def interrupt(self) -> None:
        """Send no further request; those in flight still have their time."""
        self.is_interrupted = True
        if self._pacing is not None:
            self._pacing.cancel()

    async def _end(self) -> None:
        if self._pacing is not None:
            self._pacing.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    async def _pace(self) -> None:
        for request in self._plan.requests():
            due_at = self.began_at + request.at_seconds
            # Also when this lags behind, so that answers are read between two requests.
            await asyncio.sleep(max(0.0, due_at - self._loop.time()))
            self.tally.started(request)
            self.last_sent_at = self._loop.time()
            task = asyncio.create_task(self._ask(request, due_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, request: PlannedRequest, due_at: float) -> None:
        try:
            async with asyncio.timeout_at(due_at + self._plan.timeout_seconds):
                result = await self._exchange(request, due_at)
        except TimeoutError:
            reason = f"no answer within {self._plan.timeout_seconds:g} s of the intended start"
            result = Failure(HttpFailureKind.TIMED_OUT, reason)
        self.tally.finish(request, result, self._loop.time() - due_at)

    async def _exchange(
        self, request: PlannedRequest, due_at: float
    ) -> HttpResponse | Failure[HttpFailureKind]:
        target: Endpoint = request.target
        async with self._free[target]:
            self.tally.start_lag.record(self._loop.time() - due_at)
            return await self._client.request(
                target.host,
                target.port,
                "POST",
                QUERY_PATH,
                self._headers | {IDEMPOTENCY_HEADER: f"load-{self._run_id}-{request.number}"},
                _body(request),
                self._plan.timeout_seconds,
            )


def _body(request: PlannedRequest) -> bytes:
    document: dict[str, object] = {
        "service": request.entry.service,
        "kind": request.entry.kind,
        "body": f"load-{request.number}",
    }
    if request.keys is None:
        document["key_ranges"] = [{}]
    else:
        document["keys"] = list(request.keys)
    return orjson.dumps(document)
