"""Gathers the inputs of the decision whether a request is sent, waits, or is rejected."""

from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..exchange import Exchange, ServiceCall
from ..settings import ForwardingSettings
from .call_queue import CallQueue
from .capacity import (
    NEVER,
    NO_CAPACITY,
    ReplicaCapacity,
    capacity_for_share,
    expected_capacity,
)
from .decision import Decision, WaitingRequest, WaitUntil, decide
from .latencies import RouteLatencies
from .sending_quotas import SendingQuotas
from .waiting_settings import WaitingSettings


class WaitingPolicy:
    """Decides on requests that have no attempt in flight.

    Parameters
    ----------
    settings
        Waiting rule and waiting times.
    forwarding
        Times after which silent replicas count as unreachable.
    queue
        The waiting calls.
    """

    def __init__(
        self,
        settings: WaitingSettings,
        forwarding: ForwardingSettings,
        directory: ReplicaDirectory,
        latencies: RouteLatencies,
        quotas: SendingQuotas,
        queue: CallQueue,
    ) -> None:
        self._settings = settings
        self._forwarding = forwarding
        self._directory = directory
        self._latencies = latencies
        self._quotas = quotas
        self._queue = queue

    def decide(self, exchange: Exchange, now: float) -> Decision:
        """Return the decision on a request that has no attempt in flight."""
        if exchange.route.shards:
            return self._decide_merged(exchange, now)
        call = exchange.calls[0]
        capacities = self._replica_capacities(call, now)
        has_unblocked = any(not self._is_blocked(state, now) for state, _ in capacities)
        expected = expected_capacity(
            (capacity for _, capacity in capacities), self._queue.queued_before(call, now), now
        )
        request = WaitingRequest(
            exchange.arrived_at,
            exchange.cutoff_at,
            exchange.ends_at,
            exchange.route.objective_seconds,
            has_unblocked,
            self._directory.is_settling(now),
            exchange.may_have_run,
            exchange.is_repeatable and call.attempts_left > 0,
            extra_request_at=self._quotas.extra_request_at(call, now) if call.send_count else now,
        )
        return decide(request, expected, self._settings, now)

    def recheck_at(self, exchange: Exchange, now: float) -> float:
        """Return when to decide again on a waiting request."""
        if not exchange.route.shards:
            match self.decide(exchange, now):
                case WaitUntil(when=when):
                    return when
        return now + self._settings.recheck_seconds

    def _decide_merged(self, exchange: Exchange, now: float) -> Decision:
        """Return the decision on a request over several shards that has reached none of them."""
        expected = NO_CAPACITY
        if any(call.is_begun for call in exchange.calls):
            not_before = now + self._settings.recheck_seconds
            capacity_times = (
                self._unblocked_at(call.service, not_before, now) for call in exchange.calls
            )
            expected = capacity_for_share(capacity_times, exchange.route.min_share)
        has_unblocked = expected.at < NEVER and any(
            self._directory.has_unblocked(call.service, now) for call in exchange.calls
        )
        request = WaitingRequest(
            exchange.arrived_at,
            exchange.cutoff_at,
            exchange.ends_at,
            exchange.route.objective_seconds,
            has_unblocked,
            self._directory.is_settling(now),
            is_merged=True,
        )
        return decide(request, expected, self._settings, now)

    def _unblocked_at(self, service: str, not_before: float, now: float) -> float:
        """Return when a shard may receive requests, but no earlier than ``not_before``.

        A shard may seem available now although sending to it has just failed.
        """
        return max(not_before, self._directory.unblocked_at(service, now))

    def _replica_capacities(
        self, call: ServiceCall, now: float
    ) -> list[tuple[ReplicaState, ReplicaCapacity]]:
        """Return the capacities of the replicas that a call may still be sent to."""
        temporarily_excluded = call.refused_incarnations | self._quotas.with_used_up_cold_quota(
            call, now
        )
        return [
            (
                state,
                self._replica_capacity(call, state, state.incarnation in temporarily_excluded, now),
            )
            for state in self._directory.candidates(call.service, now)
            if state.incarnation not in call.tried_incarnations
        ]

    def _replica_capacity(
        self, call: ServiceCall, state: ReplicaState, is_temporarily_excluded: bool, now: float
    ) -> ReplicaCapacity:
        work_seconds = self._latencies.work_seconds(call.exchange.route)
        if self._is_blocked(state, now):
            # Requests at a blocked replica are not expected to complete.
            work_seconds = NEVER
        available_at = now
        if is_temporarily_excluded:
            available_at = max(now + self._settings.recheck_seconds, state.blocked_until)
        return ReplicaCapacity(
            state.incarnation,
            available_at,
            state.known_slots,
            self._quotas.max_in_flight(call, state, now),
            len(state.in_flight),
            state.reported_requests(now),
            work_seconds,
        )

    def _is_blocked(self, state: ReplicaState, now: float) -> bool:
        return state.is_blocked(self._forwarding, now)
