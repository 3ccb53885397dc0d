"""The port for requests that are passed on unchanged, towards callers and replicas."""

from dataclasses import field
from enum import Enum

from ..model.replica_record import ReplicaRecord
from ..model.routing_table import CallerLimits
from ..model.value import value
from .machine import Action, Event

Headers = tuple[tuple[bytes, bytes], ...]
"""End-to-end headers in the order in which they came, names as they came."""


@value
class OpaqueRequest:
    """A whole request as its caller sent it, without the headers of one connection.

    Its text leaves the headers out: they may hold secrets of the caller.
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
        This node's own number for it; never used again.
    request_id
        The caller's id; each attempt of a caller has its own.
    deadline_seconds
        How long the caller waits, from now; ``None``: it did not say.
    transit_seconds
        Time that the caller spends on the network for it, here and back.
    caller
        The address that it came from, for the log; empty where unknown.
    key
        The secret that the caller showed; empty: none. It goes to no other process and no log.
    stripped_request
        The request without that secret and without what its caller says of its tenant; ``None``: it
        held neither.
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
    """The caller is gone; no reply to this exchange can reach it."""

    exchange_id: int


@value
class ReplicaAnswer:
    """A whole answer of a replica.

    Parameters
    ----------
    signature
        The replica's signature of this answer, if it bears one.
    not_run
        The replica said that it has not run the request and never will.
    is_other_replica
        Another replica than the one addressed answered: it did not run the request.
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
    """What a replica said of its load on an answer.

    Parameters
    ----------
    running, waiting
        Requests of all callers that it worked on, and that waited for a slot.
    slots
        Requests that it works on at a time.
    work_factor
        How long work took there just then, in usual times; it changes many times a second.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float = 1.0


@value
class SendToReplica(Action):
    """Send a request to one replica; one of the two events below follows unless cancelled.

    Parameters
    ----------
    remaining_seconds
        Time left, which the replica is told.
    fresh_connection
        Do not use a kept connection.
    tenant
        The name of the tenant that calls, which the replica is told; empty: none is.
    """

    attempt_id: int
    replica: ReplicaRecord
    request_id: str
    request: OpaqueRequest
    remaining_seconds: float
    fresh_connection: bool = False
    tenant: str = ""


@value
class CancelSend(Action):
    """End an attempt and its connection; no event of it follows."""

    attempt_id: int


@value
class OpenConnection(Action):
    """Open a connection to a replica and keep it; ``ConnectionTried`` follows."""

    replica: ReplicaRecord


@value
class ConnectionTried(Event):
    """A connection came up and is kept, or did not come up.

    Parameters
    ----------
    life
        The life of the replica that was meant; another one may have taken the connection.
    reason
        Why it did not; empty if it did.
    is_refused
        Nothing listens at the replica's address any more.
    """

    incarnation: str
    reason: str = ""
    is_refused: bool = False

    @property
    def is_open(self) -> bool:
        """Whether it came up."""
        return not self.reason


@value
class ReplicaAnswered(Event):
    """A replica answered an attempt."""

    attempt_id: int
    answer: ReplicaAnswer
    load: ReportedLoad | None = None


class SendFailureKind(Enum):
    """Why an attempt brought no whole answer."""

    NOT_SENT = "not_sent"
    """No connection came up: no byte of the request left."""
    BROKEN = "broken"
    """The connection ended after bytes had left; the request may have run."""
    MALFORMED = "malformed"
    """What came was no answer to this request; it may have run."""


@value
class SendFailed(Event):
    """An attempt ended without an answer.

    Parameters
    ----------
    is_unanswered
        The connection ended after the request had left and before a byte of an answer came.
    """

    attempt_id: int
    kind: SendFailureKind
    reason: str
    is_unanswered: bool = False


@value
class ReplyUnchanged(Action):
    """Answer the caller with a replica's answer."""

    exchange_id: int
    answer: ReplicaAnswer


@value
class ReplyMerged(Action):
    """Answer the caller with the records merged from several shards.

    Parameters
    ----------
    signatures
        Of the answers that were merged.
    missing_shards
        How many shards are left out.
    """

    exchange_id: int
    body: bytes
    signatures: tuple[str, ...]
    missing_shards: int


class ForwardFailureKind(Enum):
    """Why a request is answered by this node itself."""

    NO_ROUTE = "no_route"
    """No route of the configuration in force fits."""
    UNKNOWN_CALLER = "unknown_caller"
    """The route needs a key, and no tenant of the configuration in force holds the one shown."""
    OVER_LIMIT = "over_limit"
    """Its tenant has had its requests; it has run nowhere and never will."""
    NOT_RUN = "not_run"
    """It has run nowhere and never will."""
    FAILED = "failed"
    """Replicas failed; it may have run."""
    TIMED_OUT = "timed_out"
    """No answer in time; it may have run."""


@value
class ReplyFailure(Action):
    """Answer the caller with a failure of this node's own.

    Parameters
    ----------
    retry_after_seconds
        When the caller may come back; ``None``: nothing is known of that.
    """

    exchange_id: int
    kind: ForwardFailureKind
    reason: str
    retry_after_seconds: float | None = None


@value
class SetForwarding(Action):
    """Say whether this node is ready for new connections, and what callers may cost.

    Parameters
    ----------
    closes_connections
        Whether every answer closes its connection.
    closes_idle
        Whether connections on which nothing is under way are closed now.
    """

    is_ready: bool
    closes_connections: bool
    limits: CallerLimits
    closes_idle: bool = False
