"""A sub-request at its owner, from arrival to result."""

from dataclasses import dataclass, field

from wingquay.model.answer import HeldVersions, SubFailureKind
from wingquay.model.failure import Failure
from wingquay.model.identifiers import AttemptId, ReplicaId
from wingquay.model.request import SubRequest
from wingquay.ports.peer import NodeIdentity


@dataclass(slots=True)
class RunningAttempt:
    """An exchange with a replica that has not ended."""

    attempt_id: AttemptId
    replica_id: ReplicaId
    started_at: float
    is_hedge: bool


@dataclass(slots=True)
class Work:
    """The state of one sub-request.

    Parameters
    ----------
    cost_seconds
        Slot time that it is expected to take.
    may_have_run
        Whether any back end may have run it; once true it stays so.
    wants_hedge
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
    wants_hedge: bool = False
    last_failure: Failure[SubFailureKind] | None = None
    last_replica: str = ""
    held: list[HeldVersions] = field(default_factory=list)

    @property
    def queue_seconds(self) -> float:
        """Time from arrival to the first attempt; 0 if there was none."""
        if self.first_started_at is None:
            return 0.0
        return self.first_started_at - self.accepted_at
