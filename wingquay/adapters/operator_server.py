"""The adapter towards operators: plans, configuration and status over HTTP/1.1."""

import asyncio
import time
from collections.abc import Callable
from itertools import count

from ..model.failure import Failure
from ..model.identifiers import OperatorName
from ..ports.machine import Event
from ..ports.operator import (
    OperatorFailureKind,
    OperatorMessage,
    OperatorReply,
    OperatorRequest,
)
from .bearer_tokens import CHALLENGE, TokenTable, bearer_token
from .health_pages import HealthPages
from .http_messages import HttpLimits, HttpRequest, HttpResponse
from .http_server import HttpServer
from .listening_server import ListeningServer
from .operator_json import command_of, result_response
from .problem_details import problem, server_refusal

REPLY_LIMIT_SECONDS = 30.0
"""A command that the node left unanswered for so long is given up."""

OPERATOR_LIMITS = HttpLimits(body_bytes=8 * 1024 * 1024, connections=100)
"""A body holds a service with thousands of replicas."""

Outcome = OperatorMessage | Failure[OperatorFailureKind]


class OperatorServer(ListeningServer):
    """Turns HTTP requests into ``OperatorRequest`` events and replies into responses.

    A command goes on when its client goes away: what became of a confirm can be asked again.

    Parameters
    ----------
    emit
        Takes ``OperatorRequest``; ``OperatorReply`` may be performed meanwhile.
    operators
        The operators' tokens.
    pages
        The health and metrics pages; they need no token.
    clock
        Returns the Unix time in seconds, for records that people read.
    """

    def __init__(
        self,
        emit: Callable[[Event], None],
        operators: TokenTable,
        pages: HealthPages,
        limits: HttpLimits = OPERATOR_LIMITS,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._emit = emit
        self._operators = operators
        self._pages = pages
        self._clock = clock
        self._numbers = count(1)
        self._waiting: dict[str, asyncio.Future[Outcome]] = {}
        super().__init__(HttpServer(self._handle, limits, server_refusal))

    def perform(self, action: OperatorReply) -> None:
        """Send a reply; one whose client has gone away is dropped."""
        future = self._waiting.get(action.exchange_id)
        if future is not None and not future.done():
            future.set_result(action.result)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        page = self._pages.answer(request)
        if page is not None:
            return page
        token = bearer_token(request.headers)
        if token is None:
            detail = "Authorization: a bearer token is required"
            return problem(401, "token-missing", detail, CHALLENGE)
        operator = self._operators.owner_of(token)
        if operator is None:
            return problem(401, "token-unknown", "Authorization: the token is unknown", CHALLENGE)
        command = command_of(request)
        if isinstance(command, HttpResponse):
            return command
        return result_response(await self._carry_out(OperatorName(operator), command))

    async def _carry_out(self, operator: OperatorName, command: OperatorMessage) -> Outcome:
        """Hand the command to the node and wait for its reply."""
        exchange_id = f"operator-{next(self._numbers)}"
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiting[exchange_id] = future
        try:
            self._emit(OperatorRequest(exchange_id, operator, command, self._clock()))
            async with asyncio.timeout(REPLY_LIMIT_SECONDS):
                return await future
        except TimeoutError:
            reason = f"the node gave no reply within {REPLY_LIMIT_SECONDS:g} s; ask again"
            return Failure(OperatorFailureKind.NOT_KNOWN_YET, reason)
        finally:
            del self._waiting[exchange_id]
