"""Sends attempts of calls to replicas and tracks those in flight."""

from itertools import count

from ...ports.forwarding import (
    CancelSend,
    ConnectionTried,
    OpenConnection,
    ReportedLoad,
    SendToReplica,
)
from ...ports.machine import Action, Count, Log, LogLevel, Schedule
from ..choice.completion import LatencyTarget
from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..exchange import Attempt, ServiceCall
from ..knowledge.reachability_evidence import ReachabilityEvidence
from ..settings import ForwardingSettings
from ..timers import AbandonDue, ReconnectDue
from .latencies import RouteLatencies
from .sending_quotas import SendingQuotas

SLOW_CHOICE_THRESHOLD = 2.0
"""Slowdown from which on the metric of choices counts a replica as slow."""


class AttemptSender:
    """Starts and ends attempts, and records their outcomes in the state of the replicas."""

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        latencies: RouteLatencies,
        quotas: SendingQuotas,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._latencies = latencies
        self._quotas = quotas
        self._ids = count(1)
        self._open: dict[int, Attempt] = {}
        self.evidence = ReachabilityEvidence()
        """Recent failures of replicas, by zone."""

    def get(self, attempt_id: int) -> Attempt | None:
        """Return an attempt in flight."""
        return self._open.get(attempt_id)

    def earn(self, service: str, now: float) -> None:
        """Add the extra requests that a request for a service earns."""
        self._quotas.earn(service, now)

    def try_send(
        self,
        call: ServiceCall,
        now: float,
        with_blocked: bool,
        is_hedge: bool = False,
    ) -> list[Action]:
        """Send the call to a replica; return no actions if none is available.

        Parameters
        ----------
        with_blocked
            Whether the call may be sent to a blocked replica when there is no other.
        """
        exchange = call.exchange
        route = exchange.route
        if call.attempts_left <= 0:
            return []
        if exchange.is_sequential and exchange.has_recent_attempt(now):
            return []
        excluded = (
            call.tried_incarnations
            | call.refused_incarnations
            | self._quotas.with_used_up_cold_quota(call, now)
        )
        if not route.shards:
            excluded |= self._quotas.saturated(call, now)
        limit = self._quotas.max_connections(call, now)
        prefers_reliable = not route.is_repeatable
        target = LatencyTarget(route.objective_seconds, self._latencies.median_seconds(route))
        replica = self._directory.choose(
            call.service,
            excluded,
            limit,
            now,
            with_blocked,
            prefers_reliable,
            call.is_owned_by_this_node,
            target,
        )
        if replica is None:
            return []
        if call.send_count and not self._quotas.take_extra_request(call, now):
            return []
        choice_count = self._choice_count(call, replica, is_hedge, now)
        attempt_id = next(self._ids)
        attempt = Attempt(attempt_id, call, replica, now, is_hedge, len(replica.in_flight))
        call.attempts[attempt_id] = attempt
        call.tried_incarnations.add(replica.incarnation)
        call.send_count += 1
        call.is_waiting = False
        if replica.is_cold(now):
            replica.on_cold_send(now)
        replica.in_flight[attempt_id] = (now, now + self._latencies.hedge_seconds(route))
        self._open[attempt_id] = attempt
        return [self._send_action(attempt, now), choice_count]

    def _choice_count(
        self, call: ServiceCall, replica: ReplicaState, is_hedge: bool, now: float
    ) -> Count:
        """Return the metric for a chosen replica, labeled by zone, slowdown and attempt."""
        attempt = "first"
        if call.send_count:
            attempt = "hedge" if is_hedge else "again"
        labels = (
            ("place", "near" if replica.record.zone == self._settings.zone else "far"),
            (
                "pace",
                "slow" if replica.expected_slowdown(now) >= SLOW_CHOICE_THRESHOLD else "usual",
            ),
            ("attempt", attempt),
        )
        return Count("replica_choices_total", labels=labels)

    def on_not_arrived(self, attempt: Attempt) -> None:
        """Record that no byte of the request was sent, and refund the extra request."""
        call = attempt.call
        call.send_count -= 1
        self._mark_not_run(attempt)
        if call.send_count:
            self._quotas.refund(call.service)

    def on_not_run(self, attempt: Attempt) -> None:
        """Record that a replica did not run the request."""
        self._mark_not_run(attempt)

    def on_suspended(self, seconds: float) -> None:
        """Move the attempts in flight forward by the time for which this node was suspended.

        Otherwise all replicas whose answers are still unread would count as silent and slow.
        """
        for attempt_id, attempt in self._open.items():
            attempt.was_suspended = True
            attempt.sent_at += seconds
            sent_at, overdue_at = attempt.replica.in_flight[attempt_id]
            attempt.replica.in_flight[attempt_id] = (sent_at + seconds, overdue_at + seconds)

    def finish(self, attempt: Attempt) -> None:
        """Remove an attempt that ended."""
        self._open.pop(attempt.attempt_id, None)
        attempt.call.attempts.pop(attempt.attempt_id, None)
        attempt.replica.in_flight.pop(attempt.attempt_id, None)

    def abandon(self, call: ServiceCall, now: float) -> list[Action]:
        """Mark the call's attempts as abandoned; they are cancelled unless they end soon."""
        actions: list[Action] = []
        for attempt in call.attempts.values():
            if not attempt.is_abandoned:
                attempt.is_abandoned = True
                due_at = now + self._settings.abandon_seconds
                actions.append(Schedule(due_at, AbandonDue(attempt.attempt_id)))
        return actions

    def cancel(self, attempt: Attempt, now: float) -> list[Action]:
        """Cancel an attempt and record its age as a lower bound of its latency."""
        self.finish(attempt)
        self.record_latency(attempt, now)
        is_long = now - attempt.sent_at >= self._settings.abandon_seconds
        actions: list[Action] = [CancelSend(attempt.attempt_id)]
        if (
            is_long
            and not attempt.was_suspended
            and attempt.replica.is_silent_since(attempt.sent_at)
        ):
            actions += self.on_failed(attempt, "silent", True, now)
        return actions

    def on_answered(self, attempt: Attempt, load: ReportedLoad | None, now: float) -> list[Action]:
        """Record that a replica answered an attempt."""
        was_blocked = attempt.replica.on_answer(load, now)
        self.evidence.record_answer(attempt.replica.record.zone)
        if now - attempt.sent_at <= attempt.call.exchange.route.objective_seconds:
            attempt.replica.on_answer_in_time(now)
        self.record_latency(attempt, now)
        return [replica_log("replica_unblocked", attempt.replica)] if was_blocked else []

    def on_failed(
        self, attempt: Attempt, reason: str, blocks_at_once: bool, now: float
    ) -> list[Action]:
        """Record that an attempt failed without an answer."""
        return self._record_failure(attempt.replica, reason, blocks_at_once, now)

    def on_unreachable(self, replica: ReplicaState, reason: str, now: float) -> list[Action]:
        """Record a failed connection attempt and schedule another one without a request.

        Probing with a request would delay that request until the connection attempt ends.
        """
        replica.is_unreachable = True
        actions = self._record_failure(replica, reason, True, now)
        if replica.is_reconnect_scheduled:
            return actions
        replica.is_reconnect_scheduled = True
        return [*actions, Schedule(replica.blocked_until, ReconnectDue(replica.incarnation))]

    def on_reconnect_due(self, event: ReconnectDue, now: float) -> list[Action]:
        """Try to connect to an unreachable replica, as soon as it is a candidate."""
        replica = self._directory.get_incarnation(event.incarnation)
        if replica is None:
            return []
        is_candidate = replica in self._directory.candidates(replica.record.service, now)
        if replica.is_unreachable and not is_candidate:
            due_at = now + self._settings.connect_backoff_max_seconds
            return [Schedule(due_at, event)]
        replica.is_reconnect_scheduled = False
        return [OpenConnection(replica.record)] if replica.is_unreachable else []

    def on_connection_tried(self, event: ConnectionTried, now: float) -> list[Action]:
        """Record the result of a connection attempt that was made without a request."""
        replica = self._directory.get_incarnation(event.incarnation)
        if replica is None:
            return []
        if not event.is_open:
            return self.on_unreachable(replica, event.reason, now)
        was_unreachable = replica.is_unreachable
        replica.on_connected()
        return [replica_log("replica_reachable", replica)] if was_unreachable else []

    def _record_failure(
        self, replica: ReplicaState, reason: str, blocks_at_once: bool, now: float
    ) -> list[Action]:
        """Record a failure of a replica, and log it if it leads to a backoff."""
        self.evidence.record_failure(replica.record.zone, replica.record.replica_id, now)
        seconds = replica.on_connection_failure(self._settings, blocks_at_once, now)
        if not seconds:
            return []
        fields = (("reason", reason), ("backoff_seconds", round(seconds, 2)))
        return [replica_log("replica_blocked", replica, fields)]

    def record_latency(self, attempt: Attempt, now: float) -> None:
        """Record how long an attempt has taken."""
        route = attempt.call.exchange.route
        seconds = now - attempt.sent_at
        self._latencies.record(route, seconds, now)
        if not route.shards:
            slots = attempt.replica.known_slots
            self._latencies.record_work(
                route, seconds * slots / max(slots, attempt.outstanding_before + 1)
            )
        median = self._latencies.median_seconds(route)
        if median is not None:
            attempt.replica.on_latency(seconds / median, attempt.sent_at, now)

    def _mark_not_run(self, attempt: Attempt) -> None:
        call = attempt.call
        call.tried_incarnations.discard(attempt.replica.incarnation)
        call.refused_incarnations.add(attempt.replica.incarnation)

    def _send_action(self, attempt: Attempt, now: float) -> SendToReplica:
        exchange = attempt.call.exchange
        return SendToReplica(
            attempt.attempt_id,
            attempt.replica.record,
            exchange.event.request_id,
            exchange.event.request,
            max(exchange.ends_at - now, 0.001),
            tenant=exchange.tenant_name,
        )


def replica_log(
    message: str,
    replica: ReplicaState,
    fields: tuple[tuple[str, str | int | float], ...] = (),
) -> Log:
    """Return a log line about a replica, with its failures and requests in flight."""
    record = replica.record
    log_fields = (
        ("replica", record.replica_id),
        ("service", record.service),
        ("failures", replica.failures_in_row),
        ("in_flight", len(replica.in_flight)),
    )
    return Log(message, LogLevel.INFO, (*log_fields, *fields))
