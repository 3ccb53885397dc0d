"""Answers to callers, and the sub-results that they are merged from."""

from dataclasses import dataclass
from enum import Enum

from .failure import Failure
from .identifiers import (
    ReplicaId,
    RequestId,
    ShardId,
    SnapshotVersion,
    SubRequestId,
)
from .key_range import KeyRange
from .value import value


@value
class Row:
    """One result: a key and its value, which wingquay does not interpret."""

    key: str
    value: str


class Outcome(Enum):
    """Outcome of a request."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REFUSED_NOT_RUN = "refused_not_run"
    """No back end ran any part of the request."""
    UNKNOWN = "unknown"
    """The request is unrepeatable and may have run."""
    INVALID = "invalid"


class MissingReason(Enum):
    """Reason why some keys are not covered."""

    DEADLINE = "deadline"
    NO_REPLICA = "no_replica"
    SNAPSHOT_UNAVAILABLE = "snapshot_unavailable"
    OVERLOADED = "overloaded"
    NO_SHARD = "no_shard"
    """No shard of the service holds the keys."""
    BACKEND_ERROR = "backend_error"


@dataclass(frozen=True, slots=True)
class MissingPart:
    """Keys that the answer does not cover, and the reason."""

    key_range: KeyRange
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Timings:
    """Time spent, in seconds; queue and service time are those of the slowest sub-request."""

    total_seconds: float = 0.0
    queue_seconds: float = 0.0
    service_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request; there is exactly one.

    Parameters
    ----------
    covered, missing
        Key ranges that the answer covers, and those that it does not.
    retry_after_seconds
        Time after which the caller may retry; ``None``: not stated.
    """

    request_id: RequestId
    outcome: Outcome
    snapshot: SnapshotVersion | None = None
    covered: tuple[KeyRange, ...] = ()
    missing: tuple[MissingPart, ...] = ()
    rows: tuple[Row, ...] = ()
    timings: Timings = Timings()
    reason: str = ""
    retry_after_seconds: float | None = None
    sub_requests: int = 0
    attempts: int = 0
    """Number of attempts at back ends, including hedges and retries."""


class SubFailureKind(Enum):
    """Reason why a sub-request has no answer."""

    REFUSED = "refused"
    """Rejected before any byte was sent to a back end, or by every back end tried."""
    NO_REPLICA = "no_replica"
    NOT_HELD = "not_held"
    """The replicas do not hold the requested snapshot."""
    DEADLINE = "deadline"
    BACKEND_ERROR = "backend_error"
    OWNER_LEAVING = "owner_leaving"
    NOT_OWNED = "not_owned"
    """The receiving node's configuration, older or newer than the sender's, lacks the shard."""


@value
class HeldVersions:
    """The snapshot versions that a replica last reported to hold, both bounds included."""

    replica_id: ReplicaId
    oldest: SnapshotVersion
    newest: SnapshotVersion


@value
class SubAnswer:
    """A replica's answer to a sub-request, validated by the owner."""

    snapshot: SnapshotVersion | None
    covered: tuple[KeyRange, ...]
    rows: tuple[Row, ...]


@value
class SubResult:
    """Result of a sub-request, as returned by the shard's owner.

    Parameters
    ----------
    may_have_run
        Whether a back end may have run it. ``False`` only if no byte was sent to a back end, or if
        the back end itself reported that it did not run it.
    queue_seconds, service_seconds
        Time spent in the owner's queue and at the replica.
    held
        Versions held by the shard's replicas in the owner's view. The coordinator uses them to pin
        a better snapshot next time.
    replica_id
        The replica that answered, or the last one tried; empty if none was tried.
    class_delay_seconds
        Expected queueing time at the owner for a new sub-request of the same class. Coordinators
        use it to reject whole requests before any part of them runs.
    """

    sub_request_id: SubRequestId
    shard_id: ShardId
    result: SubAnswer | Failure[SubFailureKind]
    may_have_run: bool
    attempts: int = 0
    queue_seconds: float = 0.0
    service_seconds: float = 0.0
    held: tuple[HeldVersions, ...] = ()
    replica_id: str = ""
    class_delay_seconds: float = 0.0
