"""Events and actions of the query interface for sub-requests to back-end replicas.

Requests that are forwarded unchanged have their own events and actions, see ``forwarding.py``.
"""

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
    snapshot
        Index version to answer from; ``None`` for requests that read no snapshot.
    remaining_seconds
        Time left until the deadline; sent to the back end.
    connection_limit
        Maximum number of connections from this node to the replica.
    repeatable
        Whether the request may run more than once.
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
    """Abort an attempt. No ``AttemptFinished`` follows; unknown attempt ids are ignored."""

    attempt_id: AttemptId


class BackendFailureKind(Enum):
    """Reason why an attempt returned no answer."""

    CONNECT_FAILED = "connect_failed"
    """No connection could be opened; nothing was sent."""
    NO_CONNECTION_FREE = "no_connection_free"
    """All connections allowed to the replica are in use; nothing was sent."""
    SHED = "shed"
    """The back end is overloaded and did not run the attempt."""
    DRAINING = "draining"
    """The back end is shutting down and did not run the attempt."""
    NOT_HELD = "not_held"
    """The back end does not hold the requested snapshot and did not run the attempt."""
    WRONG_SHARD = "wrong_shard"
    """The back end does not serve the shard and did not run the attempt."""
    BROKEN = "broken"
    """The connection broke or the answer was malformed after bytes were sent."""
    TIMED_OUT = "timed_out"
    """Bytes were sent, but no complete answer arrived before the deadline."""
    ERROR = "error"
    """The back end returned an error; the attempt may have run."""


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
"""Failures that guarantee that the attempt did not run."""


@value
class BackendAnswer:
    """A complete, well-formed answer with the attempt id that was sent.

    Parameters
    ----------
    covered
        Key ranges that the answer covers.
    """

    snapshot: SnapshotVersion | None
    covered: tuple[KeyRange, ...]
    rows: tuple[Row, ...]


@value
class LoadReport:
    """Load and state that a replica reported (forwarded requests: ``ReportedLoad``).

    The values may be outdated: use them as hints only.

    Parameters
    ----------
    utilization
        Fraction of slots in use; above 1 when requests are queued (ORCA
        ``application_utilization``). ``None``: not reported.
    cold
        Whether the replica is still warming up after its start.
    oldest_version, newest_version
        Range of snapshot versions that the replica holds; ``None``: not reported.
    """

    utilization: float | None = None
    draining: bool = False
    cold: bool = False
    oldest_version: SnapshotVersion | None = None
    newest_version: SnapshotVersion | None = None


@value
class AttemptFinished(Event):
    """Result of an attempt, sent exactly once unless the attempt was cancelled."""

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
    """Contents of the health page, or the reason why it could not be read."""

    replica_id: ReplicaId
    result: LoadReport | Failure[BackendFailureKind]
