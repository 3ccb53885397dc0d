"""State of a sub-request at its owner, from arrival to result."""

from dataclasses import dataclass, field

from ..model.answer import SubFailureKind
from ..model.failure import Failure
from ..model.identifiers import AttemptId, ReplicaId
from ..model.request import SubRequest
from ..ports.peer import NodeIdentity


@dataclass(slots=True)
class RunningAttempt:
    """A running attempt at a replica."""

    attempt_id: AttemptId
    replica_id: ReplicaId
    started_at: float


@dataclass(slots=True)
class WorkItem:
    """State of one sub-request.

    Parameters
    ----------
    requester
        Node that the result is sent to.
    expected_service_seconds
        Expected service time.
    excluded_replicas
        Replicas already tried or to be avoided; not chosen for further attempts.
    may_have_run
        Whether any replica may have run it; never reset.
    awaits_hedge
        Whether it waits for a free slot for a hedge.
    last_replica
        Replica of the latest attempt, not necessarily of the answer; empty before the first.
    """

    sub_request: SubRequest
    requester: NodeIdentity
    received_at: float
    deadline_at: float
    expected_service_seconds: float
    running: dict[AttemptId, RunningAttempt] = field(default_factory=dict)
    excluded_replicas: list[ReplicaId] = field(default_factory=list)
    attempt_count: int = 0
    hedge_count: int = 0
    retry_count: int = 0
    first_started_at: float | None = None
    may_have_run: bool = False
    is_finished: bool = False
    is_queued: bool = False
    awaits_hedge: bool = False
    last_failure: Failure[SubFailureKind] | None = None
    last_replica: str = ""

    def on_started(self, attempt: RunningAttempt) -> None:
        """Record a started attempt."""
        self.running[attempt.attempt_id] = attempt
        self.excluded_replicas.append(attempt.replica_id)
        self.attempt_count += 1
        self.last_replica = attempt.replica_id
        if self.first_started_at is None:
            self.first_started_at = attempt.started_at

    def queue_seconds(self, now: float) -> float:
        """Return the time from arrival to the first attempt, or to ``now`` before it."""
        ended_at = now if self.first_started_at is None else self.first_started_at
        return ended_at - self.received_at

    def service_seconds(self, now: float) -> float:
        """Return the time since the first attempt started; 0 before it."""
        return 0.0 if self.first_started_at is None else now - self.first_started_at
