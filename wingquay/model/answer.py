"""What callers are answered, and the pieces it is merged from."""

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
    """One result: the key it belongs to and its value, opaque to wingquay."""

    key: str
    value: str


class Outcome(Enum):
    """What became of a request."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REFUSED_NOT_RUN = "refused_not_run"
    """No back end ran any part of it."""
    UNKNOWN = "unknown"
    """An unrepeatable request that may have run."""
    INVALID = "invalid"


class MissingReason(Enum):
    """Why a part of the keys is not covered."""

    DEADLINE = "deadline"
    NO_REPLICA = "no_replica"
    SNAPSHOT_UNAVAILABLE = "snapshot_unavailable"
    OVERLOADED = "overloaded"
    NO_SHARD = "no_shard"
    BACKEND_ERROR = "backend_error"


@dataclass(frozen=True, slots=True)
class MissingPart:
    """Keys that the answer does not cover, and why."""

    key_range: KeyRange
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Timings:
    """Where the time went, in seconds; the parts are those of the slowest sub-request."""

    total_seconds: float = 0.0
    queue_seconds: float = 0.0
    service_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The one answer to a request."""

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
    """Exchanges with back ends, hedges and retries included."""


class SubFailureKind(Enum):
    """Why a sub-request has no answer."""

    REFUSED = "refused"
    """Refused before any byte reached a back end, or by all back ends themselves."""
    NO_REPLICA = "no_replica"
    NOT_HELD = "not_held"
    DEADLINE = "deadline"
    BACKEND_ERROR = "backend_error"
    OWNER_LEAVING = "owner_leaving"
    NOT_OWNED = "not_owned"
    """The node asked does not know the shard (its configuration is older or newer)."""


@value
class HeldVersions:
    """The snapshots that a replica holds, as last heard; both ends included."""

    replica_id: ReplicaId
    oldest: SnapshotVersion
    newest: SnapshotVersion


@value
class SubAnswer:
    """A replica's answer to a sub-request, checked by the owner."""

    snapshot: SnapshotVersion | None
    covered: tuple[KeyRange, ...]
    rows: tuple[Row, ...]


@value
class SubResult:
    """What became of a sub-request at its owner.

    Parameters
    ----------
    may_have_run
        Whether a back end may have run it; ``False`` only when no byte left for a back end or
        the back end itself said that it did not run it.
    held
        Versions held by the shard's replicas as far as the owner knows, so that the coordinator
        can pin a better snapshot next time.
    replica_id
        The replica that answered, or the last one tried; empty if none was.
    class_delay_seconds
        Time that a sub-request of the same class would wait at the owner if it came now, so that
        coordinators refuse whole requests before any part of them runs.
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
