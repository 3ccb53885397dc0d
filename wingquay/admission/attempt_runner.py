"""Running attempts at replicas and the statistics recorded when they finish."""

from ..model.identifiers import AttemptId, NodeId
from ..model.mechanisms import Mechanism
from ..model.request import SubRequest
from ..model.value import value
from ..ports.backend import BackendFailureKind, CancelAttempt, StartAttempt
from ..ports.machine import Action, Schedule
from ..routing.replica_tracker import ReplicaTracker
from .backend_failures import EJECTION_FAILURE_KINDS
from .hedging import HedgePolicy
from .owner_events import HedgeDue
from .service_times import ServiceTimes
from .settings import AdmissionSettings
from .shard_state import ShardState
from .work_item import RunningAttempt, WorkItem


@value
class AttemptContext:
    """Sub-request, shard and replica of a running attempt."""

    work: WorkItem
    shard_state: ShardState
    tracker: ReplicaTracker
    attempt: RunningAttempt


def kind_key(sub_request: SubRequest) -> str:
    """Return the key for service times of this service and request kind."""
    return f"{sub_request.service}/{sub_request.kind}"


class AttemptRunner:
    """Starts and cancels attempts and counts the slots they occupy.

    Parameters
    ----------
    node_id
        Prefix that makes attempt ids unique across nodes.
    """

    def __init__(
        self, node_id: NodeId, settings: AdmissionSettings, disabled: frozenset[Mechanism]
    ) -> None:
        self._node_id = node_id
        self._disabled = disabled
        self._contexts: dict[AttemptId, AttemptContext] = {}
        self._counter = 0
        self._service_times = ServiceTimes(settings.initial_service_seconds)
        self.hedging = HedgePolicy(
            settings,
            enabled=Mechanism.HEDGING not in disabled,
            budgeted=Mechanism.HEDGE_BUDGET not in disabled,
        )

    def find(self, attempt_id: AttemptId) -> AttemptContext | None:
        """Return the context of a running attempt, or ``None`` if it is not running."""
        return self._contexts.get(attempt_id)

    def expected_service_seconds(self, sub_request: SubRequest) -> float:
        """Return the expected service time of a sub-request."""
        return self._service_times.expected_service_seconds(kind_key(sub_request))

    def may_repeat(self, work: WorkItem) -> bool:
        """Return whether a sub-request may run more than once."""
        if work.sub_request.repeatable:
            return True
        return Mechanism.UNREPEATABLE_GUARD in self._disabled

    def start(
        self, work: WorkItem, shard_state: ShardState, tracker: ReplicaTracker, now: float
    ) -> list[Action]:
        """Send a sub-request to a replica."""
        self._counter += 1
        attempt_id = AttemptId(f"{self._node_id}.{self._counter}")
        replica = tracker.replica
        attempt = RunningAttempt(attempt_id, replica.replica_id, now)
        tracker.in_flight += 1
        work.on_started(attempt)
        self._contexts[attempt_id] = AttemptContext(work, shard_state, tracker, attempt)
        sub_request = work.sub_request
        start = StartAttempt(
            attempt_id=attempt_id,
            replica_id=replica.replica_id,
            host=replica.host,
            port=replica.port,
            connection_limit=tracker.connection_limit,
            service=sub_request.service,
            shard_id=sub_request.shard_id,
            kind=sub_request.kind,
            key_ranges=sub_request.key_ranges,
            snapshot=sub_request.snapshot,
            remaining_seconds=work.deadline_at - now,
            repeatable=sub_request.repeatable,
            body=sub_request.body,
            traceparent=sub_request.traceparent,
        )
        return [start, *self._schedule_hedge(work, attempt, now)]

    def _schedule_hedge(self, work: WorkItem, attempt: RunningAttempt, now: float) -> list[Action]:
        if not self.may_repeat(work):
            return []
        delay = self.hedging.hedge_delay_seconds(
            kind_key(work.sub_request),
            work.hedge_count,
            self.expected_service_seconds(work.sub_request),
        )
        if delay is None or now + delay >= work.deadline_at:
            return []
        due = HedgeDue(work.sub_request.sub_request_id, attempt.attempt_id)
        return [Schedule(now + delay, due)]

    def reschedule_hedge(self, context: AttemptContext, now: float) -> list[Action]:
        """Schedule another check for a hedge that is not allowed now."""
        return self._schedule_hedge(context.work, context.attempt, now)

    def remove(self, attempt_id: AttemptId) -> AttemptContext | None:
        """Remove an attempt, free its slot and return its context.

        Returns ``None`` if the attempt was not running.
        """
        context = self._contexts.pop(attempt_id, None)
        if context is not None:
            context.tracker.in_flight -= 1
            context.work.running.pop(attempt_id, None)
        return context

    def cancel_all(self, work: WorkItem, now: float) -> list[Action]:
        """Cancel all running attempts of a sub-request."""
        if not work.running or Mechanism.CANCEL_LOSERS in self._disabled:
            return []
        return [self._cancel(attempt, now) for attempt in list(work.running.values())]

    def _cancel(self, attempt: RunningAttempt, now: float) -> CancelAttempt:
        context = self.remove(attempt.attempt_id)
        if context is not None:
            # The elapsed time is a lower bound of the service time. Without it the slowest
            # attempts would be missing from the quantile, and the hedge delay would shrink.
            elapsed = now - attempt.started_at
            self.hedging.on_service_time(kind_key(context.work.sub_request), elapsed, now)
        return CancelAttempt(attempt.attempt_id)

    def record_answer(self, context: AttemptContext, now: float) -> None:
        """Record the service time of an answered attempt."""
        service_seconds = now - context.attempt.started_at
        key = kind_key(context.work.sub_request)
        context.tracker.on_answer(service_seconds)
        self.hedging.on_service_time(key, service_seconds, now)
        self._service_times.record(key, service_seconds)

    def record_lost_races(self, winner: AttemptContext, now: float) -> None:
        """Record a lost race for each replica whose earlier attempt is still running."""
        for attempt in winner.work.running.values():
            if attempt.started_at < winner.attempt.started_at:
                self._contexts[attempt.attempt_id].tracker.on_lost_race(now)

    def record_failure(self, context: AttemptContext, kind: BackendFailureKind, now: float) -> None:
        """Record why an attempt failed."""
        tracker = context.tracker
        if kind is BackendFailureKind.SHED:
            tracker.on_shed()
            context.shard_state.shedding_until = now + tracker.settings.shedding_hold_seconds
        if kind in EJECTION_FAILURE_KINDS:
            tracker.on_failure(now)
