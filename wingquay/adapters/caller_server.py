"""The adapter towards callers: ``POST /v1/query`` over HTTP/1.1, and the health pages.

The metrics page is not served here: it names services that a caller may not be attached to.
"""

import asyncio
from collections.abc import Callable
from itertools import count

from ..model.answer import Answer, Outcome
from ..model.identifiers import NodeId, RequestId
from ..model.request import QueryRequest
from ..ports.caller import AnswerCaller, CallerGone, CallerRequest, SetReady
from ..ports.machine import Event
from .bearer_tokens import CHALLENGE, CallerDirectory, bearer_token
from .caller_json import LONGEST_DEADLINE_MS, read_query, write_answer
from .health_pages import HealthPages, method_not_allowed
from .http_messages import HttpLimits, HttpRequest, HttpResponse
from .http_server import HttpServer
from .listening_server import ListeningServer
from .problem_details import JSON_TYPE, problem, server_refusal

QUERY_PATH = "/v1/query"

ANSWER_GRACE_SECONDS = 5.0
"""A request that the node left unanswered for so long after its deadline is given up."""

UNCONFIGURED_RETRY_SECONDS = 1.0
"""When to try a node again that has just started."""

STOPPED_REASON = "the node stopped before the request was answered"

LONGEST_DEADLINE_SECONDS = LONGEST_DEADLINE_MS / 1_000

Performable = AnswerCaller | SetReady


class CallerServer(ListeningServer):
    """Turns HTTP requests into ``CallerRequest`` events and answers into responses.

    Every request is answered once; if its connection ends before, ``CallerGone`` is emitted and
    the answer is dropped.

    Parameters
    ----------
    node_id
        Makes request ids unique across nodes.
    emit
        Takes ``CallerRequest`` and ``CallerGone``; ``AnswerCaller`` may be performed meanwhile.
    callers
        Knows who may call.
    pages
        The health pages.
    limits
        What a caller may cost.
    """

    def __init__(
        self,
        node_id: NodeId,
        emit: Callable[[Event], None],
        callers: CallerDirectory,
        pages: HealthPages,
        limits: HttpLimits | None = None,
    ) -> None:
        self._node_id = node_id
        self._emit = emit
        self._callers = callers
        self._pages = pages
        self._numbers = count(1)
        self._waiting: dict[RequestId, asyncio.Future[Answer]] = {}
        super().__init__(HttpServer(self._handle, limits, server_refusal))

    @property
    def requests_in_flight(self) -> int:
        """The number of requests that wait for their answer."""
        return len(self._waiting)

    def perform(self, action: Performable) -> None:
        """Perform an action of the caller port."""
        match action:
            case AnswerCaller(answer):
                self._answer(answer)
            case SetReady():
                self._pages.set_ready(action)
                self._server.is_leaving = not action.ready

    async def close(self, grace_seconds: float = 0.0) -> None:
        """Tell callers that still wait that the outcome is unknown, then close."""
        for request_id, future in self._waiting.items():
            if not future.done():
                future.set_result(Answer(request_id, Outcome.UNKNOWN, reason=STOPPED_REASON))
        await super().close(grace_seconds)

    def _answer(self, answer: Answer) -> None:
        future = self._waiting.get(answer.request_id)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        page = self._pages.health(request)
        if page is not None:
            return page
        if request.path != QUERY_PATH:
            return problem(404, "unknown-path", f"there is no {request.path!r}; try {QUERY_PATH}")
        if request.method != "POST":
            return method_not_allowed("POST")
        query = self._read(request)
        if isinstance(query, HttpResponse):
            return query
        return write_answer(await self._ask(query))

    def _read(self, request: HttpRequest) -> QueryRequest | HttpResponse:
        token = bearer_token(request.headers)
        if token is None:
            detail = "Authorization: a bearer token is required"
            return problem(401, "token-missing", detail, CHALLENGE)
        if not self._callers.is_known:
            return self._refuse_before_configuration()
        caller = self._callers.authenticate(token)
        if caller is None:
            return problem(401, "token-unknown", "Authorization: the token is unknown", CHALLENGE)
        content_type = request.headers.get("content-type", JSON_TYPE)
        if content_type.partition(";")[0].strip().lower() != JSON_TYPE:
            detail = f"Content-Type: {content_type!r} must be {JSON_TYPE}"
            return problem(415, "unsupported-media-type", detail)
        return read_query(request.body, request.headers, caller, self._next_request_id())

    def _next_request_id(self) -> RequestId:
        return RequestId(f"{self._node_id}-{next(self._numbers)}")

    def _refuse_before_configuration(self) -> HttpResponse:
        """Refuse for now, rather than call a caller unknown whom the configuration will name."""
        answer = Answer(
            self._next_request_id(),
            Outcome.REFUSED_NOT_RUN,
            reason="this node knows no configuration yet; ask another",
            retry_after_seconds=UNCONFIGURED_RETRY_SECONDS,
        )
        return write_answer(answer)

    async def _ask(self, query: QueryRequest) -> Answer:
        """Hand the request to the node and wait for its answer."""
        request_id = query.request_id
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        deadline_seconds = query.deadline_seconds or LONGEST_DEADLINE_SECONDS
        try:
            self._emit(CallerRequest(query))
            async with asyncio.timeout(deadline_seconds + ANSWER_GRACE_SECONDS):
                return await future
        except TimeoutError:
            self._emit(CallerGone(request_id))
            return Answer(request_id, Outcome.UNKNOWN, reason="the node gave no answer in time")
        except asyncio.CancelledError:
            self._emit(CallerGone(request_id))
            raise
        finally:
            del self._waiting[request_id]
