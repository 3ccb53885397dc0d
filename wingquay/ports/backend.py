"""The port towards back ends (replicas)."""

from dataclasses import dataclass
from enum import Enum

from ..model.answer import Row
from ..model.failure import Failure
from ..model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from ..model.key_range import KeyRange
from ..model.value import value
from .machine import Action, Event


@value
class StartAttempt(Action):
    """Send one sub-request to one replica.

    Parameters
    ----------
    remaining_seconds
        Deadline, as time left from now; the back end is told.
    connection_limit
        The most connections this node may hold to the replica.
    """

    attempt_id: AttemptId
    replica_id: ReplicaId
    host: str
    port: int
    connection_limit: int
    service: ServiceName
    shard_id: ShardId
    kind: RequestKindName
    key_ranges: tuple[KeyRange, ...]
    snapshot: SnapshotVersion | None
    remaining_seconds: float
    repeatable: bool
    body: str = ""
    traceparent: str | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """End the exchange; no ``AttemptFinished`` follows. Unknown attempts are ignored."""

    attempt_id: AttemptId


class BackendFailureKind(Enum):
    """Why an exchange with a replica brought no answer."""

    CONNECT_FAILED = "connect_failed"
    """No connection: nothing was sent."""
    NO_CONNECTION_FREE = "no_connection_free"
    """The connection limit is reached: nothing was sent."""
    SHED = "shed"
    """The back end said that it did not run it, because it is overloaded."""
    DRAINING = "draining"
    """The back end said that it did not run it, because it is leaving."""
    NOT_HELD = "not_held"
    """The back end said that it does not hold the snapshot."""
    WRONG_SHARD = "wrong_shard"
    """The back end said that it does not serve the shard (any more)."""
    BROKEN = "broken"
    """The connection broke or the answer was malformed after bytes had left."""
    TIMED_OUT = "timed_out"
    """No whole answer by the deadline, after bytes had left."""
    ERROR = "error"
    """The back end answered with an error; it may have run."""


NOT_RUN_KINDS = frozenset(
    {
        BackendFailureKind.CONNECT_FAILED,
        BackendFailureKind.NO_CONNECTION_FREE,
        BackendFailureKind.SHED,
        BackendFailureKind.DRAINING,
        BackendFailureKind.NOT_HELD,
        BackendFailureKind.WRONG_SHARD,
    }
)
"""Failures after which the attempt certainly did not run."""


@value
class BackendAnswer:
    """A whole, well-formed answer whose attempt id matched."""

    snapshot: SnapshotVersion | None
    covered: tuple[KeyRange, ...]
    rows: tuple[Row, ...]


@value
class LoadReport:
    """Load and state that a replica reported; a lagging hint, never proof.

    Parameters
    ----------
    utilization
        Share of slots in use, 0 to 1 and above when work waits (ORCA
        ``application_utilization``).
    """

    utilization: float | None = None
    draining: bool = False
    cold: bool = False
    oldest_version: SnapshotVersion | None = None
    newest_version: SnapshotVersion | None = None


@value
class AttemptFinished(Event):
    """The exchange ended; exactly one for each attempt that was not cancelled."""

    attempt_id: AttemptId
    replica_id: ReplicaId
    result: BackendAnswer | Failure[BackendFailureKind]
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ProbeReplica(Action):
    """Read the replica's health page."""

    replica_id: ReplicaId
    host: str
    port: int
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class ReplicaProbed(Event):
    """What the health page said, or why it could not be read."""

    replica_id: ReplicaId
    result: LoadReport | Failure[BackendFailureKind]
