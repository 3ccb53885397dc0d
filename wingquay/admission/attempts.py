"""The exchanges with replicas that are going on, and what is learnt when they end."""

from ..model.identifiers import AttemptId, NodeId
from ..model.mechanisms import Mechanism
from ..model.request import SubRequest
from ..model.value import value
from ..ports.backend import BackendFailureKind, CancelAttempt, StartAttempt
from ..ports.machine import Action, Schedule
from ..routing.replica_tracker import ReplicaTracker
from .backend_failures import REPLICA_AT_FAULT
from .dispatcher_events import HedgeDue
from .hedging import HedgePolicy
from .service_times import ServiceTimes
from .settings import AdmissionSettings
from .shard_lane import ShardLane
from .work import RunningAttempt, Work


@value
class Running:
    """An exchange, whose sub-request it is and where it runs."""

    work: Work
    lane: ShardLane
    tracker: ReplicaTracker
    attempt: RunningAttempt


def kind_key(sub_request: SubRequest) -> str:
    """Return the name under which service times of a kind are kept."""
    return f"{sub_request.service}/{sub_request.kind}"


class Attempts:
    """Starts and cancels exchanges; counts the slots they take.

    Parameters
    ----------
    node_id
        Makes attempt ids unique across nodes.
    """

    def __init__(
        self, node_id: NodeId, settings: AdmissionSettings, disabled: frozenset[Mechanism]
    ) -> None:
        self._node_id = node_id
        self._disabled = disabled
        self._running: dict[AttemptId, Running] = {}
        self._counter = 0
        self._service_times = ServiceTimes(settings.initial_service_seconds)
        self.hedging = HedgePolicy(
            settings,
            enabled=Mechanism.HEDGING not in disabled,
            budgeted=Mechanism.HEDGE_BUDGET not in disabled,
        )

    def running(self, attempt_id: AttemptId) -> Running | None:
        """Return an exchange that goes on, or ``None``."""
        return self._running.get(attempt_id)

    def expected_seconds(self, sub_request: SubRequest) -> float:
        """Return the slot time that a sub-request is expected to take."""
        return self._service_times.expected_seconds(kind_key(sub_request))

    def may_repeat(self, work: Work) -> bool:
        """Whether a sub-request may run more than once."""
        if work.sub_request.repeatable:
            return True
        return Mechanism.UNREPEATABLE_GUARD in self._disabled

    def start(
        self, work: Work, lane: ShardLane, tracker: ReplicaTracker, now: float
    ) -> list[Action]:
        """Send a sub-request to a replica."""
        self._counter += 1
        attempt_id = AttemptId(f"{self._node_id}.{self._counter}")
        replica = tracker.replica
        attempt = RunningAttempt(attempt_id, replica.replica_id, now)
        tracker.in_flight += 1
        work.on_started(attempt)
        self._running[attempt_id] = Running(work, lane, tracker, attempt)
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

    def _schedule_hedge(self, work: Work, attempt: RunningAttempt, now: float) -> list[Action]:
        if not self.may_repeat(work):
            return []
        delay = self.hedging.delay_seconds(
            kind_key(work.sub_request), work.hedges, self.expected_seconds(work.sub_request)
        )
        if delay is None or now + delay >= work.deadline_at:
            return []
        due = HedgeDue(work.sub_request.sub_request_id, attempt.attempt_id)
        return [Schedule(now + delay, due)]

    def postpone_hedge(self, running: Running, now: float) -> list[Action]:
        """Look again later at a hedge that the budget did not allow now."""
        return self._schedule_hedge(running.work, running.attempt, now)

    def end(self, attempt_id: AttemptId) -> Running | None:
        """Forget an exchange that ended and free its slot; ``None`` if it was not going on."""
        running = self._running.pop(attempt_id, None)
        if running is not None:
            running.tracker.in_flight -= 1
            running.work.running.pop(attempt_id, None)
        return running

    def cancel_all(self, work: Work, now: float) -> list[Action]:
        """End every exchange of a sub-request."""
        if not work.running or Mechanism.CANCEL_LOSERS in self._disabled:
            return []
        return [self._cancel(attempt, now) for attempt in list(work.running.values())]

    def _cancel(self, attempt: RunningAttempt, now: float) -> CancelAttempt:
        running = self.end(attempt.attempt_id)
        if running is not None:
            # A cancelled attempt took at least this long: leaving it out would make the slow
            # look rare and pull the hedge delay down.
            elapsed = now - attempt.started_at
            self.hedging.on_service_time(kind_key(running.work.sub_request), elapsed, now)
        return CancelAttempt(attempt.attempt_id)

    def learn_answer(self, running: Running, now: float) -> None:
        """Take in how long a whole answer took."""
        service_seconds = now - running.attempt.started_at
        key = kind_key(running.work.sub_request)
        running.tracker.on_answer(service_seconds)
        self.hedging.on_service_time(key, service_seconds, now)
        self._service_times.record(key, service_seconds)

    def learn_lost_races(self, winner: Running, now: float) -> None:
        """Take in that a replica answered before others that were asked earlier."""
        for attempt in winner.work.running.values():
            if attempt.started_at < winner.attempt.started_at:
                self._running[attempt.attempt_id].tracker.on_lost_race(now)

    def learn_failure(self, running: Running, kind: BackendFailureKind, now: float) -> None:
        """Take in why an exchange brought no answer."""
        tracker = running.tracker
        if kind is BackendFailureKind.SHED:
            tracker.on_shed()
            running.lane.shedding_until = now + tracker.settings.shedding_hold_seconds
        if kind in REPLICA_AT_FAULT:
            tracker.on_failure(now)
