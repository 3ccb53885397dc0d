"""Sub-requests that are queued or running at their owner, and the results sent for them."""

from ..model.answer import SubAnswer, SubFailureKind, SubResult
from ..model.failure import Failure
from ..model.mechanisms import Mechanism
from ..model.request import SubRequest
from ..ports.machine import Action
from ..ports.peer import NodeIdentity, SendToPeer, SubResultBatch
from .attempt_runner import AttemptRunner
from .requesters import Requesters
from .shard_table import ShardTable
from .work_item import WorkItem


class WorkTable:
    """Unfinished sub-requests by id; sends at most one result for each.

    Parameters
    ----------
    shards
        Shards whose held versions and queueing delay are reported with each result.
    attempt_runner
        Cancels the running attempts of a finished sub-request.
    """

    def __init__(
        self, shards: ShardTable, attempt_runner: AttemptRunner, disabled: frozenset[Mechanism]
    ) -> None:
        self._shards = shards
        self._attempt_runner = attempt_runner
        self._disabled = disabled
        self._work: dict[str, WorkItem] = {}
        self.requesters = Requesters()
        """Nodes that wait for results."""

    def __len__(self) -> int:
        return len(self._work)

    def __contains__(self, sub_request_id: str) -> bool:
        return sub_request_id in self._work

    def find(self, sub_request_id: str) -> WorkItem | None:
        """Return an unfinished sub-request, or ``None``."""
        return self._work.get(sub_request_id)

    def add(self, sub_request: SubRequest, sender: NodeIdentity, now: float) -> WorkItem:
        """Add a sub-request received from ``sender``."""
        work = WorkItem(
            sub_request=sub_request,
            requester=sender,
            received_at=now,
            deadline_at=now + sub_request.remaining_seconds,
            expected_service_seconds=self._attempt_runner.expected_service_seconds(sub_request),
        )
        self._work[sub_request.sub_request_id] = work
        self.requesters.on_received(sender, now)
        return work

    def finish(
        self, work: WorkItem, result: SubAnswer | Failure[SubFailureKind], now: float
    ) -> list[Action]:
        """Remove ``work``, cancel its attempts and send its result."""
        may_have_run = isinstance(result, SubAnswer) or work.may_have_run or bool(work.running)
        if Mechanism.RUN_TRACKING in self._disabled and not isinstance(result, SubAnswer):
            may_have_run = False
        actions = self.discard(work, now)
        sub_request = work.sub_request
        shard_state = self._shards.shard_state(sub_request.shard_id)
        sub_result = SubResult(
            sub_request_id=sub_request.sub_request_id,
            shard_id=sub_request.shard_id,
            result=result,
            may_have_run=may_have_run,
            attempts=work.attempt_count,
            queue_seconds=work.queue_seconds(now),
            service_seconds=work.service_seconds(now),
            held=() if shard_state is None else shard_state.held(),
            replica_id=work.last_replica,
            class_delay_seconds=0.0
            if shard_state is None
            else shard_state.class_delay_seconds(sub_request, now),
        )
        return [*actions, SendToPeer(work.requester, SubResultBatch((sub_result,)))]

    def discard(self, work: WorkItem, now: float) -> list[Action]:
        """Remove ``work`` and cancel its attempts without sending a result."""
        work.is_finished = True
        self._work.pop(work.sub_request.sub_request_id, None)
        self.requesters.on_finished(work.requester, now)
        if work.awaits_hedge:
            work.awaits_hedge = False
            self._attempt_runner.hedging.refund(work.sub_request.class_name)
        return self._attempt_runner.cancel_all(work, now)
