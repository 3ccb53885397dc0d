"""Queues sub-requests at the owner of their shards, runs them on replicas, returns results.

Performs no I/O; see ``ports/machine.py``. Sub-requests arrive in ``SubRequestBatch`` messages
both from the coordinator of this node and from other nodes.
"""

from collections.abc import Callable

from ..model.answer import SubAnswer, SubFailureKind
from ..model.failure import Failure
from ..model.identifiers import NodeId
from ..model.mechanisms import Mechanism
from ..model.request import SubRequest
from ..ports.backend import AttemptFinished, BackendAnswer, BackendFailureKind
from ..ports.machine import Action, Count
from ..ports.peer import (
    CancelSubRequests,
    NodeIdentity,
    SubRequestBatch,
)
from ..routing.replica_choice import ReplicaChoice
from ..routing.replica_tracker import ReplicaTracker
from .arrival import early_refusal, replicas_to_avoid, schedule_expiry
from .attempt_runner import AttemptContext, AttemptRunner
from .backend_failures import may_have_run, to_sub_failure
from .owner_events import HedgeDue, WorkExpired
from .requesters import Requesters
from .retrying import RetryPolicy
from .settings import AdmissionSettings
from .shard_state import ShardState
from .shard_table import ShardTable
from .work_item import WorkItem
from .work_table import WorkTable

_NO_REPLICA = Failure(SubFailureKind.NO_REPLICA, "the shard has no usable replica")
_OWNER_LEAVING = Failure(SubFailureKind.OWNER_LEAVING, "the owner of the shard is stopping")
_SHARD_REMOVED = Failure(SubFailureKind.NOT_OWNED, "the shard was removed from the configuration")
_EXPIRED_IN_QUEUE = Failure(SubFailureKind.DEADLINE, "the deadline passed in the queue")
_EXPIRED_RUNNING = Failure(SubFailureKind.DEADLINE, "no complete answer before the deadline")


class Dispatcher:
    """Runs sub-requests on the replicas of shards.

    Parameters
    ----------
    shards
        The shards; shared with the replica observer, which updates the replica trackers.
    """

    def __init__(
        self,
        node_id: NodeId,
        settings: AdmissionSettings,
        shards: ShardTable,
        choice: ReplicaChoice,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._node_id = node_id
        self._shards = shards
        self._choice = choice
        self._disabled = disabled
        self._attempt_runner = AttemptRunner(node_id, settings, disabled)
        self._work_table = WorkTable(shards, self._attempt_runner, disabled)
        self._retrying = RetryPolicy(settings, Mechanism.RETRY_BUDGET not in disabled)
        self.is_stopping = False
        """Whether this node is stopping and refuses new sub-requests of other nodes."""

    @property
    def in_flight(self) -> int:
        """Number of sub-requests that are queued or running."""
        return len(self._work_table)

    @property
    def requesters(self) -> Requesters:
        """Nodes that wait for results."""
        return self._work_table.requesters

    def on_batch(self, batch: SubRequestBatch, sender: NodeIdentity, now: float) -> list[Action]:
        """Handle the sub-requests of ``sender``; ignore those already queued or running here."""
        actions: list[Action] = []
        for sub_request in batch.sub_requests:
            if sub_request.sub_request_id not in self._work_table:
                actions += self._on_sub_request(sub_request, sender, now)
        return actions

    def on_cancel(self, message: CancelSubRequests, now: float) -> list[Action]:
        """Discard cancelled sub-requests without sending results."""
        actions: list[Action] = []
        for sub_request_id in message.sub_request_ids:
            work = self._work_table.find(sub_request_id)
            if work is None:
                continue
            actions += self._work_table.discard(work, now)
            actions += self._dispatch_shard(work.sub_request.shard_id, now)
        return actions

    def on_shard_removed(self, shard_state: ShardState, now: float) -> list[Action]:
        """Fail the queued sub-requests of a shard that is no longer configured."""
        return self._fail_queued(shard_state, _SHARD_REMOVED, now)

    def on_work_expired(self, event: WorkExpired, now: float) -> list[Action]:
        """Send the final result of an unrepeatable sub-request at its deadline."""
        work = self._work_table.find(event.sub_request_id)
        if work is None:
            return []
        actions = self._work_table.finish(work, _EXPIRED_RUNNING, now)
        return actions + self._dispatch_shard(work.sub_request.shard_id, now)

    def on_replica_changed(self, replica_id: str, now: float) -> list[Action]:
        """Start queued sub-requests that can run after a change of a replica's state."""
        found = self._shards.find_replica(replica_id)
        return [] if found is None else self._dispatch(found[0], now)

    # Arrival -----------------------------------------------------------------------------

    def _on_sub_request(
        self, sub_request: SubRequest, sender: NodeIdentity, now: float
    ) -> list[Action]:
        work = self._work_table.add(sub_request, sender, now)
        if self.is_stopping and sender.node_id != self._node_id:
            return self._work_table.finish(work, _OWNER_LEAVING, now)
        shard_state = self._shards.shard_state(sub_request.shard_id)
        if shard_state is None:
            reason = f"shard {sub_request.shard_id!r} is not in this node's configuration"
            return self._work_table.finish(work, Failure(SubFailureKind.NOT_OWNED, reason), now)
        usable = self._choice.usable(shard_state.tracker_list, now)
        if not usable:
            return self._work_table.finish(work, _NO_REPLICA, now)
        work.excluded_replicas += replicas_to_avoid(sub_request, usable)
        refuses_early = Mechanism.EARLY_REFUSAL not in self._disabled
        refusal = early_refusal(shard_state, work, now) if refuses_early else None
        if refusal is not None:
            return self._work_table.finish(work, refusal, now)
        return schedule_expiry(work) + self._start_or_queue(shard_state, work, usable, now)

    def _start_or_queue(
        self, shard_state: ShardState, work: WorkItem, usable: list[ReplicaTracker], now: float
    ) -> list[Action]:
        if not shard_state.queue and not shard_state.hedge_queue:
            free = self._choice.with_free_slot(usable, now)
            tracker = self._choice.choose(free, work.excluded_replicas, work.sub_request.snapshot)
            if tracker is not None:
                return self._start_attempt(work, shard_state, tracker, now)
        shard_state.queue.push(work)
        return self._dispatch(shard_state, now)

    # Starting attempts -------------------------------------------------------------------

    def _dispatch_shard(self, shard_id: str, now: float) -> list[Action]:
        shard_state = self._shards.shard_state(shard_id)
        return [] if shard_state is None else self._dispatch(shard_state, now)

    def _dispatch(self, shard_state: ShardState, now: float) -> list[Action]:
        """Start hedges, then queued sub-requests, while replicas have free slots."""
        if not shard_state.queue and not shard_state.hedge_queue:
            return []
        usable = self._choice.usable(shard_state.tracker_list, now)
        if not usable:
            return self._fail_queued(shard_state, _NO_REPLICA, now)
        actions: list[Action] = []
        while True:
            free = self._choice.with_free_slot(usable, now)
            if not free:
                return actions
            new_actions = self._start_hedge(shard_state, free, now)
            if new_actions is None:
                new_actions = self._process_next_queued(shard_state, free, usable, now)
            if new_actions is None:
                return actions
            actions += new_actions

    def _start_hedge(
        self, shard_state: ShardState, free: list[ReplicaTracker], now: float
    ) -> list[Action] | None:
        work = shard_state.next_hedge()
        if work is None:
            return None
        tracker = self._choice.choose(free, work.excluded_replicas, work.sub_request.snapshot)
        if tracker is None:
            return None
        shard_state.hedge_queue.popleft()
        work.awaits_hedge = False
        work.hedge_count += 1
        labels = (("class", work.sub_request.class_name),)
        started = self._attempt_runner.start(work, shard_state, tracker, now)
        return [Count("wingquay_hedges_total", labels=labels), *started]

    def _process_next_queued(
        self,
        shard_state: ShardState,
        free: list[ReplicaTracker],
        usable: list[ReplicaTracker],
        now: float,
    ) -> list[Action] | None:
        work = shard_state.queue.pop(self._dequeue_predicate(free, usable, now), now)
        if work is None:
            return None
        if self._is_expired(work, now):
            return self._work_table.finish(work, work.last_failure or _EXPIRED_IN_QUEUE, now)
        tracker = self._choice.choose(free, work.excluded_replicas, work.sub_request.snapshot)
        if tracker is None:
            return self._work_table.finish(work, _no_candidate_failure(work), now)
        return self._start_attempt(work, shard_state, tracker, now)

    def _is_expired(self, work: WorkItem, now: float) -> bool:
        return Mechanism.DEADLINE_CHECK not in self._disabled and now >= work.deadline_at

    def _dequeue_predicate(
        self, free: list[ReplicaTracker], usable: list[ReplicaTracker], now: float
    ) -> Callable[[WorkItem], bool]:
        """Return a predicate for work to dequeue now.

        It accepts work that can start on a free replica, and work that must fail because it
        has expired or no usable replica can run it.
        """

        def accepts(work: WorkItem) -> bool:
            snapshot = work.sub_request.snapshot
            if self._is_expired(work, now):
                return True
            if self._choice.choose(free, work.excluded_replicas, snapshot) is not None:
                return True
            return self._choice.choose(usable, work.excluded_replicas, snapshot) is None

        return accepts

    def _start_attempt(
        self, work: WorkItem, shard_state: ShardState, tracker: ReplicaTracker, now: float
    ) -> list[Action]:
        if work.first_started_at is None:
            self._attempt_runner.hedging.on_first_attempt(work.sub_request.class_name)
            self._retrying.on_first_attempt(work.sub_request.service)
        return self._attempt_runner.start(work, shard_state, tracker, now)

    def on_hedge_due(self, event: HedgeDue, now: float) -> list[Action]:
        """Queue a hedge for a slow attempt if the budget allows it, else check again later."""
        context = self._attempt_runner.find(event.attempt_id)
        if context is None or context.work.is_finished or context.work.awaits_hedge:
            return []
        work, shard_state = context.work, context.shard_state
        usable = self._choice.usable(shard_state.tracker_list, now)
        if self._choice.choose(usable, work.excluded_replicas, work.sub_request.snapshot) is None:
            return []
        class_name = work.sub_request.class_name
        if now < shard_state.shedding_until or not self._attempt_runner.hedging.try_acquire(
            class_name
        ):
            withheld = Count("wingquay_hedges_withheld_total")
            return [withheld, *self._attempt_runner.reschedule_hedge(context, now)]
        work.awaits_hedge = True
        shard_state.hedge_queue.append(work)
        return self._dispatch(shard_state, now)

    # Finished attempts -------------------------------------------------------------------

    def on_attempt_finished(self, event: AttemptFinished, now: float) -> list[Action]:
        """Handle a finished attempt: send the result, retry, or wait for other attempts."""
        context = self._attempt_runner.remove(event.attempt_id)
        if context is None:
            return [Count("wingquay_stray_attempts_total")]
        if isinstance(event.result, BackendAnswer):
            self._attempt_runner.record_answer(context, now)
            self._attempt_runner.record_lost_races(context, now)
            actions = self._on_answer(context.work, event.result, now)
        else:
            self._attempt_runner.record_failure(context, event.result.kind, now)
            actions = self._on_failure(context, event.result, now)
        return actions + self._dispatch(context.shard_state, now)

    def _on_answer(self, work: WorkItem, answer: BackendAnswer, now: float) -> list[Action]:
        if work.is_finished:
            return [Count("wingquay_late_answers_total")]
        covered = answer.covered
        if Mechanism.COVERAGE_ACCOUNTING in self._disabled:
            covered = work.sub_request.key_ranges
        result = SubAnswer(answer.snapshot, covered, answer.rows)
        return self._work_table.finish(work, result, now)

    def _on_failure(
        self, context: AttemptContext, failure: Failure[BackendFailureKind], now: float
    ) -> list[Action]:
        work, shard_state = context.work, context.shard_state
        work.may_have_run = work.may_have_run or may_have_run(failure)
        work.last_failure = to_sub_failure(failure)
        if work.is_finished or work.running:
            return []
        if self._try_acquire_retry(shard_state, work, failure.kind, now):
            work.retry_count += 1
            work.awaits_hedge = False
            shard_state.queue.push_front(work)
            return [
                Count("wingquay_retries_total", labels=(("service", shard_state.service.name),))
            ]
        return self._work_table.finish(work, work.last_failure, now)

    def _try_acquire_retry(
        self, shard_state: ShardState, work: WorkItem, kind: BackendFailureKind, now: float
    ) -> bool:
        if work.may_have_run and not self._attempt_runner.may_repeat(work):
            return False
        if now >= work.deadline_at:
            return False
        usable = self._choice.usable(shard_state.tracker_list, now)
        if self._choice.choose(usable, work.excluded_replicas, work.sub_request.snapshot) is None:
            return False
        is_unbudgeted = kind is BackendFailureKind.NOT_HELD
        return self._retrying.try_acquire(work.sub_request.service, work.retry_count, is_unbudgeted)

    # Queued work -------------------------------------------------------------------------

    def _fail_queued(
        self, shard_state: ShardState, failure: Failure[SubFailureKind], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        while True:
            work = shard_state.queue.pop(lambda _: True, now)
            if work is None:
                return actions
            actions += self._work_table.finish(work, work.last_failure or failure, now)


def _no_candidate_failure(work: WorkItem) -> Failure[SubFailureKind]:
    if work.last_failure is not None:
        return work.last_failure
    reason = f"no untried usable replica holds snapshot {work.sub_request.snapshot}"
    return Failure(SubFailureKind.NOT_HELD, reason)
