"""Performs attempts on replicas: one HTTP exchange each, matched by attempt id."""

from collections.abc import Callable
from functools import partial

from ..model.failure import Failure
from ..model.identifiers import AttemptId
from ..ports.backend import (
    AttemptFinished,
    BackendFailureKind,
    CancelAttempt,
    ProbeReplica,
    ReplicaProbed,
    StartAttempt,
)
from ..ports.machine import Action, Count, Event
from .backend_json import (
    ATTEMPT_HEADER,
    read_health,
    read_load,
    read_search_response,
    search_request,
)
from .http_client import HttpClient
from .http_client_connection import OutgoingRequest
from .http_exchange import HttpExchange, HttpResult
from .http_messages import HttpFailureKind, HttpResponse

ANSWER_BYTES = 16_777_216
"""Largest body of a back end's answer; a larger one is an error."""

CROSSED_COUNTER = "backend_crossed_answers_total"
"""Counts answers that named another attempt; they are dropped."""

PROBE_CONNECTION_LIMIT = 1
"""Connections to a replica to which no attempt holds one at present."""

UNREPEATABLE_IDLE_SECONDS = 1.0
"""An unrepeatable attempt uses no connection that was idle for longer.

If the back end closes a connection just as it is reused, nobody can tell whether the attempt ran.
A new connection costs about a millisecond; such a doubt costs the caller its answer.
"""

_HEALTH_REQUEST = OutgoingRequest(b"GET", b"/health", [])

_FAILURE_KINDS = {
    HttpFailureKind.CONNECT_FAILED: BackendFailureKind.CONNECT_FAILED,
    HttpFailureKind.NO_CONNECTION_FREE: BackendFailureKind.NO_CONNECTION_FREE,
    # Nothing was sent, but neither would another try be; so it must not look worth a retry.
    HttpFailureKind.UNSENDABLE: BackendFailureKind.ERROR,
    HttpFailureKind.BROKEN: BackendFailureKind.BROKEN,
    HttpFailureKind.TOO_LARGE: BackendFailureKind.ERROR,
    HttpFailureKind.TIMED_OUT: BackendFailureKind.TIMED_OUT,
}

Performable = StartAttempt | CancelAttempt | ProbeReplica


def _ignore(_action: Action) -> None:
    """Stand in for a performer of ``Count`` actions."""


class BackendClient:
    """The adapter towards back ends; create it inside a running event loop.

    Parameters
    ----------
    emit
        Takes ``AttemptFinished`` (once for each attempt that was not cancelled) and
        ``ReplicaProbed`` (once for each probe); it may be called before ``perform`` returns.
    count
        Performs ``Count`` actions.
    answer_bytes
        Largest body of an answer.
    """

    def __init__(
        self,
        emit: Callable[[Event], None],
        count: Callable[[Count], None] = _ignore,
        answer_bytes: int = ANSWER_BYTES,
    ) -> None:
        self._emit = emit
        self._count = count
        self._client = HttpClient(body_bytes=answer_bytes)
        self._exchanges: dict[AttemptId, HttpExchange] = {}

    async def start(self) -> None:
        """Do nothing: connections are made when they are needed."""

    async def close(self) -> None:
        """End every exchange without further events."""
        for exchange in list(self._exchanges.values()):
            exchange.cancel()
        self._exchanges.clear()
        await self._client.close()

    def open_connections(self, host: str, port: int) -> int:
        """Return the number of connections to a replica."""
        return self._client.open_connections(host, port)

    def perform(self, action: Performable) -> None:
        """Perform an action of the back-end port."""
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case CancelAttempt():
                self._cancel_attempt(action.attempt_id)
            case ProbeReplica():
                self._probe(action)

    def _start_attempt(self, attempt: StartAttempt) -> None:
        if attempt.remaining_seconds <= 0:
            reason = "the deadline passed before anything was sent"
            failure = Failure(BackendFailureKind.NO_CONNECTION_FREE, reason)
            self._emit(AttemptFinished(attempt.attempt_id, attempt.replica_id, failure))
            return
        exchange = self._client.prepare(
            search_request(attempt),
            on_done=partial(self._attempt_done, attempt),
            accepts=partial(_is_answer_to, attempt.attempt_id),
        )
        self._exchanges[attempt.attempt_id] = exchange
        self._client.begin(
            exchange,
            attempt.host,
            attempt.port,
            attempt.remaining_seconds,
            attempt.connection_limit,
            None if attempt.repeatable else UNREPEATABLE_IDLE_SECONDS,
        )

    def _cancel_attempt(self, attempt_id: AttemptId) -> None:
        exchange = self._exchanges.pop(attempt_id, None)
        if exchange is not None:
            exchange.cancel()

    def _attempt_done(self, attempt: StartAttempt, result: HttpResult) -> None:
        attempt_id = attempt.attempt_id
        del self._exchanges[attempt_id]
        if isinstance(result, Failure):
            failure = Failure(_FAILURE_KINDS[result.kind], result.reason)
            self._emit(AttemptFinished(attempt_id, attempt.replica_id, failure))
            return
        if not _is_answer_to(attempt_id, result):
            self._drop_crossed(attempt)
            return
        answer = read_search_response(result, attempt_id)
        self._emit(AttemptFinished(attempt_id, attempt.replica_id, answer, read_load(result)))

    def _drop_crossed(self, attempt: StartAttempt) -> None:
        self._count(Count(CROSSED_COUNTER))
        failure = Failure(BackendFailureKind.BROKEN, "the answer is not to this attempt")
        self._emit(AttemptFinished(attempt.attempt_id, attempt.replica_id, failure))

    def _probe(self, probe: ProbeReplica) -> None:
        address = probe.host, probe.port
        exchange = self._client.prepare(_HEALTH_REQUEST, on_done=partial(self._probe_done, probe))
        connection_limit = self._client.limit_in_use(*address) or PROBE_CONNECTION_LIMIT
        self._client.begin(exchange, *address, probe.timeout_seconds, connection_limit)

    def _probe_done(self, probe: ProbeReplica, result: HttpResult) -> None:
        if isinstance(result, Failure):
            failure = Failure(_FAILURE_KINDS[result.kind], result.reason)
            self._emit(ReplicaProbed(probe.replica_id, failure))
        else:
            self._emit(ReplicaProbed(probe.replica_id, read_health(result)))


def _is_answer_to(attempt_id: AttemptId, response: HttpResponse) -> bool:
    """Whether a response may belong to the attempt.

    An answer must name it; an error that names no attempt, as a proxy or a crashed back end may
    send, belongs to it too but is never believed to say "not run".
    """
    named = response.headers.get(ATTEMPT_HEADER)
    return named == attempt_id or (named is None and response.status != 200)
