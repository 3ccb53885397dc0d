"""What clients, replicas and the operator saw: the only things that the checks go by."""

import bisect
from collections import defaultdict
from enum import Enum

import attrs

from wingquay.model.routing_table import Route, RoutingTable
from wingquay.platform.standins.replica_record import Arrival


class Ending(Enum):
    """How a client's attempt ended without an answer."""

    OPEN = "open"
    ANSWERED = "answered"
    NOT_CONNECTED = "not_connected"
    CLOSED = "closed"
    """The connection ended without a whole answer."""
    MALFORMED = "malformed"
    """What came is no answer in the protocol."""
    DEADLINE = "deadline"
    """The client's deadline passed."""
    LEFT = "left"
    """The client left on purpose."""


@attrs.define(slots=True)
class Attempt:
    """One request of a client; times are on the loop's clock.

    Parameters
    ----------
    node
        Name of the node that it was sent to.
    key
        The key that the client showed; empty: none.
    is_on_kept
        Whether its connection had served before.
    """

    request_id: str
    node: str
    method: str
    target: str
    body: bytes
    key: str
    deadline_seconds: float
    is_on_kept: bool
    sent_at: float
    last_byte_at: float = 0.0
    ended_at: float | None = None
    ending: Ending = Ending.OPEN
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    answer_body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def outcome(self) -> str:
        """The status, or how the attempt ended without one."""
        return str(self.status) if self.ending is Ending.ANSWERED else self.ending.value


@attrs.define(slots=True)
class PublishedTable:
    """A configuration, and when the operator sent it and the store acknowledged it."""

    table: RoutingTable
    sent_at: float
    acknowledged_at: float


class SpanKind(Enum):
    """What was wrong in a span."""

    STOP = "stop"
    """From SIGTERM of a node to its end."""
    KILL = "kill"
    """From the end of a node by force until it is ready again."""
    FREEZE = "freeze"
    START = "start"
    """From the start of a node until it is ready."""
    LINK = "link"
    """The way between a node and the store was disturbed."""
    STORE = "store"
    RESTORED = "restored"
    """The store was away, came back from an older copy and was written again."""
    REPLICA = "replica"
    HANGUP = "hangup"
    """SIGHUP of a node."""
    LAG = "lag"
    """The soak's own process was late, so that its times are not exact."""


@attrs.define(slots=True)
class Span:
    """A span of trouble; ``subject`` is a node or a replica, empty: everything."""

    kind: SpanKind
    subject: str
    begun_at: float
    ended_at: float = float("inf")
    detail: str = ""


class Ledger:
    """Collects what happened."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        """Arrivals at replicas by request id, in order."""
        self.tables: list[PublishedTable] = []
        self.spans: list[Span] = []
        self.began_at = 0.0
        self.ended_at = float("inf")

    def note_arrival(self, arrival: Arrival) -> None:
        """Take in a request that reached a replica."""
        self.arrivals[arrival.request_id].append(arrival)

    def begin_span(self, kind: SpanKind, subject: str, now: float, detail: str = "") -> Span:
        """Begin a span of trouble."""
        span = Span(kind, subject, now, detail=detail)
        self.spans.append(span)
        return span

    def spans_of(
        self, kinds: frozenset[SpanKind], subject: str, begun: float, ended: float
    ) -> bool:
        """Return whether a span of these kinds touches a time; ``subject`` may be any node."""
        return any(
            span.kind in kinds
            and span.subject in ("", subject)
            and span.begun_at <= ended
            and span.ended_at >= begun
            for span in self.spans
        )

    def runs(self, request_id: str) -> list[Arrival]:
        """Return the arrivals of a request that were run."""
        return [item for item in self.arrivals.get(request_id, ()) if item.has_run]

    def tables_in_force(self, at: float, bound_seconds: float) -> list[RoutingTable]:
        """Return the configurations by which a node that is in touch may go at a time."""
        due = [
            index
            for index, item in enumerate(self.tables)
            if item.acknowledged_at + bound_seconds < at
        ]
        first = due[-1] if due else 0
        return [item.table for item in self.tables[first:] if item.sent_at <= at]

    def all_tables(self, until: float = float("inf")) -> list[RoutingTable]:
        """Return all configurations that were sent by a time."""
        return [item.table for item in self.tables if item.sent_at <= until]

    def route_of(self, attempt: Attempt, host: str, tables: list[RoutingTable]) -> list[Route]:
        """Return the routes by which an attempt may have been handled."""
        routes = [table.find(host, attempt.path) for table in tables]
        return [route for route in routes if route is not None]


def count_between(times: list[float], begun: float, ended: float) -> int:
    """Return how many of the sorted times lie in a span, its begin excluded."""
    return bisect.bisect_right(times, ended) - bisect.bisect_right(times, begun)
