"""Events and actions for HTTP requests that are forwarded according to the routing table.

The query interface has its own events and actions, see ``caller.py`` and ``backend.py``.
"""

from dataclasses import field
from enum import Enum

from ..model.replica_record import ReplicaRecord
from ..model.routing_table import CallerLimits
from ..model.value import value
from .machine import Action, Event

Headers = tuple[tuple[bytes, bytes], ...]
"""End-to-end headers in their original order and spelling."""


@value
class OpaqueRequest:
    """A complete request as its caller sent it, without hop-by-hop headers.

    ``repr`` omits the headers because they may hold secrets of the caller.
    """

    method: bytes
    target: bytes
    headers: Headers = field(repr=False)
    body: bytes = b""


@value
class ForwardRequested(Event):
    """A caller sent a request.

    Parameters
    ----------
    exchange_id
        Number assigned by this node; never reused.
    request_id
        The caller's id; each retry by the caller has its own.
    deadline_seconds
        How long the caller waits, from now; ``None``: not stated.
    transit_seconds
        Network time between caller and node for this request, both directions together.
    caller
        Network address of the caller, for logs; empty if unknown.
    key
        Secret key that the caller presented; empty: none. Never sent to other processes or logged.
    stripped_request
        The request without the key and without the caller's tenant headers; ``None``: it has
        neither.
    """

    exchange_id: int
    request_id: str
    host: str
    path: str
    request: OpaqueRequest
    deadline_seconds: float | None = None
    transit_seconds: float = 0.0
    caller: str = ""
    key: str = field(default="", repr=False)
    stripped_request: OpaqueRequest | None = None


@value
class CallerDisconnected(Event):
    """The caller closed its connection; replies to this exchange can no longer be delivered."""

    exchange_id: int


@value
class ReplicaAnswer:
    """A complete answer of a replica.

    Parameters
    ----------
    signature
        The replica's signature of this answer; ``None``: unsigned.
    not_run
        The replica states that it did not run the request and never will.
    is_other_replica
        A replica other than the addressed one answered; it did not run the request.
    """

    status: int
    headers: Headers
    body: bytes
    signature: str | None
    not_run: bool = False
    is_other_replica: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the replica ran the request and succeeded."""
        return 200 <= self.status < 300 and self.signature is not None


@value
class ReportedLoad:
    """Load that a replica reported with a forwarded answer (query interface: ``LoadReport``).

    Parameters
    ----------
    running, waiting
        Requests of all callers that are running and that wait for a slot.
    slots
        Number of requests that the replica runs concurrently.
    work_factor
        Current service time divided by the usual one. It changes many times a second.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float = 1.0


@value
class SendToReplica(Action):
    """Send a request to one replica.

    ``ReplicaAnswered`` or ``SendFailed`` follows unless the attempt is cancelled.

    Parameters
    ----------
    remaining_seconds
        Time left until the deadline; sent to the replica.
    tenant
        Name of the calling tenant, sent to the replica; empty: none is sent.
    """

    attempt_id: int
    replica: ReplicaRecord
    request_id: str
    request: OpaqueRequest
    remaining_seconds: float
    tenant: str = ""


@value
class CancelSend(Action):
    """Abort an attempt and close its connection; no event for it follows."""

    attempt_id: int


@value
class OpenConnection(Action):
    """Open a connection to a replica and keep it open; ``ConnectionTried`` follows."""

    replica: ReplicaRecord


@value
class ConnectionTried(Event):
    """Result of ``OpenConnection``: the connection is open, or could not be opened.

    Parameters
    ----------
    incarnation
        Incarnation of the replica that was addressed. A later one may have accepted the connection.
    reason
        Reason of the failure; empty on success.
    is_refused
        Whether nothing listens at the replica's address any more.
    """

    incarnation: str
    reason: str = ""
    is_refused: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the connection was opened."""
        return not self.reason


@value
class ReplicaAnswered(Event):
    """A replica answered an attempt."""

    attempt_id: int
    answer: ReplicaAnswer
    load: ReportedLoad | None = None


class SendFailureKind(Enum):
    """Reason why an attempt returned no complete answer."""

    NOT_SENT = "not_sent"
    """No connection could be opened; no byte of the request was sent."""
    BROKEN = "broken"
    """The connection ended after bytes were sent; the request may have run."""
    MALFORMED = "malformed"
    """The bytes received are no valid answer to this request; it may have run."""


@value
class SendFailed(Event):
    """An attempt ended without an answer.

    Parameters
    ----------
    is_unanswered
        Whether the connection ended after the whole request was sent and before any byte of an
        answer.
    """

    attempt_id: int
    kind: SendFailureKind
    reason: str
    is_unanswered: bool = False


@value
class ReplyUnchanged(Action):
    """Return a replica's answer to the caller as it is."""

    exchange_id: int
    answer: ReplicaAnswer


@value
class ReplyMerged(Action):
    """Return the merged records of several shards to the caller.

    Parameters
    ----------
    signatures
        Signatures of the merged answers.
    missing_shards
        Number of shards without an answer.
    """

    exchange_id: int
    body: bytes
    signatures: tuple[str, ...]
    missing_shards: int


class ForwardFailureKind(Enum):
    """Reason why this node answers a request itself."""

    NO_ROUTE = "no_route"
    """No route of the configuration in force matches."""
    UNKNOWN_CALLER = "unknown_caller"
    """The route requires a key, and the presented one belongs to no tenant."""
    OVER_LIMIT = "over_limit"
    """The tenant has exceeded its request limit; the request did not run and never will."""
    NOT_RUN = "not_run"
    """The request did not run and never will."""
    FAILED = "failed"
    """Replicas failed; the request may have run."""
    TIMED_OUT = "timed_out"
    """No answer arrived in time; the request may have run."""


@value
class ReplyFailure(Action):
    """Answer the caller with a failure produced by this node.

    Parameters
    ----------
    retry_after_seconds
        Time after which the caller may retry; ``None``: unknown.
    """

    exchange_id: int
    kind: ForwardFailureKind
    reason: str
    retry_after_seconds: float | None = None


@value
class SetForwarding(Action):
    """Set whether this node accepts new connections, and the limits for callers.

    Parameters
    ----------
    closes_connections
        Whether every answer closes its connection.
    closes_idle
        Whether idle connections are closed now.
    """

    is_ready: bool
    closes_connections: bool
    limits: CallerLimits
    closes_idle: bool = False
