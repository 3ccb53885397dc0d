"""Sends attempts of calls to replicas and keeps account of those under way."""

from itertools import count

from ...ports.forwarding import (
    CancelSend,
    ConnectionTried,
    OpenConnection,
    ReportedLoad,
    SendToReplica,
)
from ...ports.machine import Action, Count, Log, LogLevel, Schedule
from ..choice.completion import Task
from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..exchange import Attempt, ServiceCall
from ..knowledge.reachability_evidence import ReachabilityEvidence
from ..settings import ForwardingSettings
from ..timers import AbandonDue, ReconnectDue
from .latencies import RouteLatencies
from .sending_quotas import SendingQuotas

SLOW_PACE = 2.0
"""Usual times that work takes at a replica from which on its choice is counted as one of a slow
one: it may cost a caller with a short objective its answer."""


class AttemptSender:
    """Chooses replicas, spends the budget of extra arrivals, starts and ends attempts."""

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        latencies: RouteLatencies,
        limits: SendingQuotas,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._latencies = latencies
        self._limits = limits
        self._ids = count(1)
        self._open: dict[int, Attempt] = {}
        self.evidence = ReachabilityEvidence()
        """Which replicas failed lately, and where they are."""

    def get(self, attempt_id: int) -> Attempt | None:
        """Return an attempt under way."""
        return self._open.get(attempt_id)

    def earn(self, service: str, now: float) -> None:
        """Take in a request for a service: it earns extra arrivals there."""
        self._limits.earn(service, now)

    def try_send(
        self,
        call: ServiceCall,
        now: float,
        with_blocked: bool,
        is_hedge: bool = False,
    ) -> list[Action]:
        """Send the call to a replica; nothing is returned when none can be asked now.

        Parameters
        ----------
        with_blocked
            Whether a replica that just failed may be asked when there is no other.
        """
        exchange = call.exchange
        route = exchange.route
        if call.attempts_left <= 0:
            return []
        if exchange.is_sequential and exchange.has_recent_attempt(now):
            return []
        excluded = (
            call.tried_incarnations | call.refused_incarnations | self._limits.too_cold(call, now)
        )
        if not route.shards:
            excluded |= self._limits.full(call, now)
        limit = self._limits.connections(call, now)
        prefers_proven = not route.is_repeatable
        task = Task(route.objective_seconds, self._latencies.median_seconds(route))
        replica = self._directory.choose(
            call.service,
            excluded,
            limit,
            now,
            with_blocked,
            prefers_proven,
            call.is_owned_by_this_node,
            task,
        )
        if replica is None:
            return []
        if call.send_count and not self._limits.may_arrive_again(call, now):
            return []
        counted = self._count(call, replica, is_hedge, now)
        attempt_id = next(self._ids)
        attempt = Attempt(attempt_id, call, replica, now, is_hedge, len(replica.in_flight))
        call.attempts[attempt_id] = attempt
        call.tried_incarnations.add(replica.incarnation)
        call.send_count += 1
        call.is_waiting = False
        if replica.is_cold(now):
            replica.on_sent_cold(now)
        replica.in_flight[attempt_id] = (now, now + self._latencies.hedge_seconds(route))
        self._open[attempt_id] = attempt
        return [self._send_action(attempt, now), counted]

    def _count(self, call: ServiceCall, replica: ReplicaState, is_hedge: bool, now: float) -> Count:
        """Return the count of a choice: where, how fast by what is known, and which attempt."""
        attempt = "first"
        if call.send_count:
            attempt = "hedge" if is_hedge else "again"
        labels = (
            ("place", "near" if replica.record.zone == self._settings.zone else "far"),
            ("pace", "slow" if replica.pace(now) >= SLOW_PACE else "usual"),
            ("attempt", attempt),
        )
        return Count("replica_choices_total", labels=labels)

    def on_not_arrived(self, attempt: Attempt) -> None:
        """Take back that a replica may have got the request: no byte of it left."""
        call = attempt.call
        call.send_count -= 1
        self._not_run(attempt)
        if call.send_count:
            self._limits.give_back(call.service)

    def on_not_run(self, attempt: Attempt) -> None:
        """Take in that a replica did not run the request."""
        self._not_run(attempt)

    def on_suspended(self, seconds: float) -> None:
        """Take in that this node was suspended: its attempts are no older by that.

        Replicas whose answers wait to be read would count as silent and slow, all at once: nothing
        could be sent for up to 2 s.
        """
        for attempt_id, attempt in self._open.items():
            attempt.was_suspended = True
            attempt.sent_at += seconds
            sent_at, overdue_at = attempt.replica.in_flight[attempt_id]
            attempt.replica.in_flight[attempt_id] = (sent_at + seconds, overdue_at + seconds)

    def finish(self, attempt: Attempt) -> None:
        """Forget an attempt that ended."""
        self._open.pop(attempt.attempt_id, None)
        attempt.call.attempts.pop(attempt.attempt_id, None)
        attempt.replica.in_flight.pop(attempt.attempt_id, None)

    def abandon(self, call: ServiceCall, now: float) -> list[Action]:
        """Let the call's attempts end by themselves for a short time."""
        actions: list[Action] = []
        for attempt in call.attempts.values():
            if not attempt.is_abandoned:
                attempt.is_abandoned = True
                due_at = now + self._settings.abandon_seconds
                actions.append(Schedule(due_at, AbandonDue(attempt.attempt_id)))
        return actions

    def cancel(self, attempt: Attempt, now: float) -> list[Action]:
        """End an attempt and its connection; what it took so far is a lower bound."""
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
        """Take in that a replica answered an attempt."""
        was_left_out = attempt.replica.on_answer(load, now)
        self.evidence.record_answer(attempt.replica.record.zone)
        if now - attempt.sent_at <= attempt.call.exchange.route.objective_seconds:
            attempt.replica.on_good_answer(now)
        self.record_latency(attempt, now)
        return [replica_line("replica_back", attempt.replica)] if was_left_out else []

    def on_failed(
        self, attempt: Attempt, reason: str, is_certain: bool, now: float
    ) -> list[Action]:
        """Take in that a replica failed an attempt without an answer."""
        return self._left_out(attempt.replica, reason, is_certain, now)

    def on_unreachable(self, replica: ReplicaState, reason: str, now: float) -> list[Action]:
        """Take in that no connection to a replica came up; try again by itself later.

        Trying by a request costs that request its part for as long as the connection may take.
        """
        replica.is_out_of_reach = True
        actions = self._left_out(replica, reason, True, now)
        if replica.is_reach_due:
            return actions
        replica.is_reach_due = True
        return [*actions, Schedule(replica.blocked_until, ReconnectDue(replica.incarnation))]

    def on_reconnect_due(self, event: ReconnectDue, now: float) -> list[Action]:
        """Try whether a replica is in reach again, as long as it may get work."""
        replica = self._directory.get_incarnation(event.incarnation)
        if replica is None:
            return []
        is_usable = replica in self._directory.candidates(replica.record.service, now)
        if replica.is_out_of_reach and not is_usable:
            due_at = now + self._settings.connect_backoff_max_seconds
            return [Schedule(due_at, event)]
        replica.is_reach_due = False
        return [OpenConnection(replica.record)] if replica.is_out_of_reach else []

    def on_connection_tried(self, event: ConnectionTried, now: float) -> list[Action]:
        """Take in whether a connection that no request needed came up."""
        replica = self._directory.get_incarnation(event.incarnation)
        if replica is None:
            return []
        if not event.is_open:
            return self.on_unreachable(replica, event.reason, now)
        was_out = replica.is_out_of_reach
        replica.on_reached()
        return [replica_line("replica_in_reach", replica)] if was_out else []

    def _left_out(
        self, replica: ReplicaState, reason: str, is_certain: bool, now: float
    ) -> list[Action]:
        self.evidence.record_failure(replica.record.zone, replica.record.replica_id, now)
        seconds = replica.on_failure(self._settings, is_certain, now)
        if not seconds:
            return []
        fields = (("reason", reason), ("seconds", round(seconds, 2)))
        return [replica_line("replica_left_out", replica, fields)]

    def record_latency(self, attempt: Attempt, now: float) -> None:
        """Take in how long an attempt took."""
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

    def _not_run(self, attempt: Attempt) -> None:
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


def replica_line(
    message: str,
    replica: ReplicaState,
    fields: tuple[tuple[str, str | int | float], ...] = (),
) -> Log:
    """Return a log line about what the node believes of a replica."""
    record = replica.record
    known = (
        ("replica", record.replica_id),
        ("service", record.service),
        ("failures", replica.failures_in_row),
        ("in_flight", len(replica.in_flight)),
    )
    return Log(message, LogLevel.INFO, (*known, *fields))
