"""What a modelled back end is asked and what it replies, apart from any wire format."""

from dataclasses import dataclass
from enum import Enum

from ...model.answer import Row
from ...model.failure import Failure
from ...model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from ...model.key_range import KeyRange
from ...ports.backend import (
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    LoadReport,
    StartAttempt,
)


@dataclass(frozen=True, slots=True)
class BackendExchange:
    """One request as it arrives at a back end.

    Parameters
    ----------
    snapshot
        Index version to answer from; ``None`` for a write, which may run at most once.
    remaining_seconds
        Time until the deadline, counted from arrival.
    """

    attempt_id: AttemptId
    service: ServiceName
    shard_id: ShardId
    kind: RequestKindName
    key_ranges: tuple[KeyRange, ...]
    snapshot: SnapshotVersion | None
    remaining_seconds: float
    body: str = ""

    @property
    def is_write(self) -> bool:
        """Whether the exchange changes what the back end holds."""
        return self.snapshot is None

    @staticmethod
    def of_attempt(attempt: StartAttempt, elapsed_seconds: float = 0.0) -> "BackendExchange":
        """Return ``attempt`` as it arrives ``elapsed_seconds`` after it was sent."""
        return BackendExchange(
            attempt_id=attempt.attempt_id,
            service=attempt.service,
            shard_id=attempt.shard_id,
            kind=attempt.kind,
            key_ranges=attempt.key_ranges,
            snapshot=attempt.snapshot,
            remaining_seconds=attempt.remaining_seconds - elapsed_seconds,
            body=attempt.body,
        )


class ReplyKind(Enum):
    """What a back end replies."""

    ANSWERED = "answered"
    SHED = "shed"
    DRAINING = "draining"
    NOT_HELD = "snapshot-not-held"
    WRONG_SHARD = "wrong-shard"
    DEADLINE_PASSED = "deadline-passed"
    """``not_run`` tells whether the deadline passed before the work began."""
    ERROR = "error"


_FAILURE_KINDS = {
    ReplyKind.SHED: BackendFailureKind.SHED,
    ReplyKind.DRAINING: BackendFailureKind.DRAINING,
    ReplyKind.NOT_HELD: BackendFailureKind.NOT_HELD,
    ReplyKind.WRONG_SHARD: BackendFailureKind.WRONG_SHARD,
    ReplyKind.ERROR: BackendFailureKind.ERROR,
}


@dataclass(frozen=True, slots=True)
class BackendReply:
    """A back end's reply to one exchange.

    Parameters
    ----------
    not_run
        Whether the back end votes that it did not begin to work on the exchange.
    load
        The load report that goes with the reply; it lags and may lie, except for the versions
        of a reply that a snapshot is not held.
    oldest, newest
        The versions truly held when the reply was made.
    retry_after_seconds
        Set on refusals that may pass.
    """

    attempt_id: AttemptId
    kind: ReplyKind
    not_run: bool
    load: LoadReport
    oldest: SnapshotVersion
    newest: SnapshotVersion
    snapshot: SnapshotVersion | None = None
    covered: tuple[KeyRange, ...] = ()
    rows: tuple[Row, ...] = ()
    retry_after_seconds: float | None = None

    def to_attempt_finished(self, replica_id: ReplicaId) -> AttemptFinished:
        """Return the event that a back-end adapter makes of this reply."""
        load = LoadReport(
            utilization=self.load.utilization,
            draining=self.load.draining,
            cold=self.load.cold,
            oldest_version=self.oldest,
            newest_version=self.newest,
        )
        return AttemptFinished(self.attempt_id, replica_id, self._result(), load)

    def _result(self) -> BackendAnswer | Failure[BackendFailureKind]:
        if self.kind is ReplyKind.ANSWERED:
            return BackendAnswer(self.snapshot, self.covered, self.rows)
        reason = f"the back end answered {self.kind.value}"
        if self.kind is ReplyKind.DEADLINE_PASSED:
            # The port has no "deadline, not run" kind: a deadline that passed in the back end's
            # own queue is a refusal for overload.
            kind = BackendFailureKind.SHED if self.not_run else BackendFailureKind.TIMED_OUT
            return Failure(kind, reason)
        return Failure(_FAILURE_KINDS[self.kind], reason)
