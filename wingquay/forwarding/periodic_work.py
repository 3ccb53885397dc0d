"""Timer-driven work of a node: sweeps, lag checks, resuming, and the interval of store polls."""

from ..model.value import value
from ..ports.machine import Action, Count, Event, Log, LogLevel, ProcessResumed, Schedule
from .choice.replica_directory import ReplicaDirectory
from .forwarding_machine import ForwardingMachine
from .knowledge.node_membership import NodeMembership
from .knowledge.proof_manager import ProofManager
from .knowledge.store_follower import StoreFollower
from .settings import ForwardingSettings
from .timers import PeerConnectDue

SWEEP_INTERVAL_SECONDS = 0.5
"""Time between two sweeps, which remove replicas whose grace period is over."""
LAG_CHECK_SECONDS = 0.2
"""Time between two checks of the event loop's lag. Requests that wait for half a second are
affected; more frequent checks are dear on slow machines."""
RESUME_SECONDS = 0.05
"""Delay of the first lag check after a suspension. Until then the lag is the length of the
suspension, so requests that are read in this time count as delayed by it."""


@value
class SweepDue(Event):
    """Perform the periodic sweep of a node."""


@value
class LagDue(Event):
    """Measure the lag of the event loop, which is added to the age of requests and reports."""

    due_at: float


class PeriodicWork:
    """Performs the timer-driven work of a node.

    Parameters
    ----------
    directory
        Removes replicas whose grace period is over.
    forwarding
        Keeps exchanges waiting while replica records are missing, and opens connections to other
        nodes and to replicas.
    members
        Provides whether nodes are still joining.
    follower
        Polls the store at the interval set here.
    proof_manager
        Detects that the proof of the configuration has expired.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        forwarding: ForwardingMachine,
        members: NodeMembership,
        follower: StoreFollower,
        proof_manager: ProofManager,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._forwarding = forwarding
        self._members = members
        self._follower = follower
        self._proof_manager = proof_manager

    def start(self, now: float) -> list[Action]:
        """Schedule the first sweep and the first lag check."""
        return [
            Schedule(now + SWEEP_INTERVAL_SECONDS, SweepDue()),
            *self._schedule_lag(now),
        ]

    def handle(self, event: SweepDue | LagDue | ProcessResumed, now: float) -> list[Action]:
        """Handle a timer or the end of a suspension."""
        match event:
            case SweepDue():
                self._directory.remove_expired(now)
                peer_connects = self._forwarding.handle(PeerConnectDue(), now)
                proof_actions = self._proof_manager.sweep(self._members.update_recipients, now)
                sweep = Schedule(now + SWEEP_INTERVAL_SECONDS, SweepDue())
                return [*peer_connects, *proof_actions, *self.adjust_poll_interval(now), sweep]
            case LagDue():
                return self._lag_due(event, now)
            case ProcessResumed():
                return self._resumed(event, now)

    def adjust_poll_interval(self, now: float) -> list[Action]:
        """Poll the store more often while records of replicas or nodes are missing."""
        has_stale_records = self._directory.found_stale_recently(now)
        if has_stale_records or self._forwarding.exchanges_awaiting_records > 0:
            return self._follower.set_poll_interval(
                self._settings.settle_poll_interval_seconds, now
            )
        if self._members.is_joining(now):
            seconds = self._settings.join_idle_poll_interval_seconds
            if self._forwarding.has_received_request:
                seconds = self._settings.join_poll_interval_seconds
            return self._follower.set_poll_interval(seconds, now)
        return self._follower.set_poll_interval(None, now)

    def _resumed(self, event: ProcessResumed, now: float) -> list[Action]:
        """Treat the suspension as an equally long store outage, and end overdue exchanges."""
        self._directory.on_outage(now)
        self._proof_manager.poll_failed("suspended")
        open_requests = self._forwarding.open_exchanges
        actions = self._forwarding.on_resumed(event, now)
        fields = (
            ("suspended_seconds", round(event.seconds, 3)),
            ("open_requests", open_requests),
            ("ended_requests", open_requests - self._forwarding.open_exchanges),
        )
        return [
            Log("woken", LogLevel.WARNING, fields),
            Count("suspensions_total"),
            *actions,
            *self._follower.poll_now(now),
            *self._schedule_lag(now, RESUME_SECONDS),
        ]

    def _lag_due(self, event: LagDue, now: float) -> list[Action]:
        lag = self._forwarding.lag
        if event.due_at != lag.timer_due_at:
            return []
        lag.measured_seconds = max(now - event.due_at, 0.0)
        return self._schedule_lag(now)

    def _schedule_lag(self, now: float, seconds: float = LAG_CHECK_SECONDS) -> list[Action]:
        due_at = now + seconds
        self._forwarding.lag.timer_due_at = due_at
        return [Schedule(due_at, LagDue(due_at))]
