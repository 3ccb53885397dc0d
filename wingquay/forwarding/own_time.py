"""What a node does by its own clock: sweeps, looks how late it is, wakes, sets the store's pace."""

from ..model.value import value
from ..ports.machine import Action, Count, Event, Log, LogLevel, Schedule, Woken
from .choice.replica_directory import ReplicaDirectory
from .forwarding_machine import ForwardingMachine
from .knowledge.node_membership import NodeMembership
from .knowledge.processing_lag import ProcessingLag
from .knowledge.proof_manager import ProofManager
from .knowledge.store_follower import StoreFollower
from .settings import ForwardingSettings
from .timers import PeerConnectDue

SWEEP_SECONDS = 0.5
"""Time between two looks for replicas whose time of grace is over."""
LAG_SECONDS = 0.2
"""Time between two looks how late this node is. It matters where requests wait for half a second;
ten looks a second cost 0.03 of the credit of 16 nodes of 0.12 core (two seeds)."""
WAKING_SECONDS = 0.05
"""Time after waking for which requests that are read count as having waited all the while."""


@value
class SweepDue(Event):
    """Forget replicas whose time of grace is over, and see how late this node does its work."""

    due_at: float


@value
class LagDue(Event):
    """See how late this node is."""

    due_at: float


class OwnTime:
    """The regular work of a node.

    Parameters
    ----------
    directory
        Forgets replicas whose time of grace is over.
    forwarding
        Has requests that wait for records, and opens connections ahead.
    members
        Knows whether nodes are still joining.
    follower
        Looks at the store as often as it is told.
    lateness
        Takes in how late the timers were.
    keeper
        Notices when the configuration ceases to be proven.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        forwarding: ForwardingMachine,
        members: NodeMembership,
        follower: StoreFollower,
        lateness: ProcessingLag,
        keeper: ProofManager,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._forwarding = forwarding
        self._members = members
        self._follower = follower
        self._lateness = lateness
        self._keeper = keeper

    def start(self, now: float) -> list[Action]:
        """Begin the regular looks."""
        return [
            Schedule(now + SWEEP_SECONDS, SweepDue(now + SWEEP_SECONDS)),
            *self._schedule_lag(now),
        ]

    def handle(self, event: SweepDue | LagDue | Woken, now: float) -> list[Action]:
        """Take in that a time has come."""
        match event:
            case SweepDue():
                self._lateness.timer_lag_seconds = max(now - event.due_at, 0.0)
                self._directory.remove_expired(now)
                due_at = now + SWEEP_SECONDS
                greetings = self._forwarding.handle(PeerConnectDue(), now)
                proving = self._keeper.sweep(self._members.update_recipients, now)
                sweep = Schedule(due_at, SweepDue(due_at))
                return [*greetings, *proving, *self.pace(now), sweep]
            case LagDue():
                return self._lag_due(event, now)
            case Woken():
                return self._woken(event, now)

    def pace(self, now: float) -> list[Action]:
        """Look at the store more often while records of replicas or nodes are missing."""
        is_old = self._directory.found_stale_recently(now)
        if is_old or self._forwarding.held_exchanges > 0:
            return self._follower.set_poll_interval(self._settings.settle_poll_seconds, now)
        if self._members.is_joining(now):
            seconds = self._settings.join_idle_poll_seconds
            if self._forwarding.is_asked:
                seconds = self._settings.join_poll_seconds
            return self._follower.set_poll_interval(seconds, now)
        return self._follower.set_poll_interval(None, now)

    def _woken(self, event: Woken, now: float) -> list[Action]:
        """Behave as a node whose store was away for as long, and give up what is too late."""
        self._directory.on_outage(now)
        self._lateness.timer_lag_seconds = event.seconds
        self._keeper.poll_failed("suspended")
        open_requests = self._forwarding.open_exchanges
        actions = self._forwarding.woken(event, now)
        fields = (
            ("suspended_seconds", round(event.seconds, 3)),
            ("open_requests", open_requests),
            ("given_up", open_requests - self._forwarding.open_exchanges),
        )
        return [
            Log("woken", LogLevel.WARNING, fields),
            Count("suspensions_total"),
            *actions,
            *self._follower.poll_now(now),
            *self._schedule_lag(now, WAKING_SECONDS),
        ]

    def _lag_due(self, event: LagDue, now: float) -> list[Action]:
        if event.due_at != self._lateness.timer_due_at:
            return []
        self._forwarding.lag.seconds = max(now - event.due_at, 0.0)
        return self._schedule_lag(now)

    def _schedule_lag(self, now: float, seconds: float = LAG_SECONDS) -> list[Action]:
        self._lateness.timer_due_at = now + seconds
        return [Schedule(self._lateness.timer_due_at, LagDue(self._lateness.timer_due_at))]
