"""A sub-request at its owner, from arrival to result."""

from dataclasses import dataclass, field

from ..model.answer import SubFailureKind
from ..model.failure import Failure
from ..model.identifiers import AttemptId, ReplicaId
from ..model.request import SubRequest
from ..ports.peer import NodeIdentity


@dataclass(slots=True)
class RunningAttempt:
    """An exchange with a replica that has not ended."""

    attempt_id: AttemptId
    replica_id: ReplicaId
    started_at: float


@dataclass(slots=True)
class WorkItem:
    """The state of one sub-request.

    Parameters
    ----------
    cost_seconds
        Slot time that it is expected to take.
    may_have_run
        Whether any back end may have run it; once true it stays so.
    awaits_hedge
        Whether it stands in line for a second replica.
    """

    sub_request: SubRequest
    requester: NodeIdentity
    accepted_at: float
    deadline_at: float
    cost_seconds: float
    running: dict[AttemptId, RunningAttempt] = field(default_factory=dict)
    tried: list[ReplicaId] = field(default_factory=list)
    attempts: int = 0
    hedges: int = 0
    retries: int = 0
    first_started_at: float | None = None
    may_have_run: bool = False
    is_finished: bool = False
    is_queued: bool = False
    awaits_hedge: bool = False
    last_failure: Failure[SubFailureKind] | None = None
    last_replica: str = ""

    def on_started(self, attempt: RunningAttempt) -> None:
        """Take in that an exchange has begun."""
        self.running[attempt.attempt_id] = attempt
        self.tried.append(attempt.replica_id)
        self.attempts += 1
        self.last_replica = attempt.replica_id
        if self.first_started_at is None:
            self.first_started_at = attempt.started_at

    def queue_seconds(self, now: float) -> float:
        """Return the time from arrival to the first attempt, or to now if there was none."""
        ended_at = now if self.first_started_at is None else self.first_started_at
        return ended_at - self.accepted_at

    def service_seconds(self, now: float) -> float:
        """Return the time since the first attempt; 0 if there was none."""
        return 0.0 if self.first_started_at is None else now - self.first_started_at
