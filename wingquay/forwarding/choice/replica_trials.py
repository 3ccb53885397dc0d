"""How often a replica that was slow is tried again.

A slow replica is found out by asking it, and the request that asks may miss its answer. When many
turn slow at once they are found out together, so what is known of them would also be forgotten
together, and one request would try all of them: more than it may do without. So trials are spaced:
a node makes one at a time, sooner at replicas that were slow once (a pause, most often) than at
those that were slow again when they were tried.
"""

from ..settings import ForwardingSettings
from .replica_state import ReplicaState

MIN_SLOW_STREAK = 2
"""Slow attempts in a row from which on a replica counts as slow rather than paused."""


class ReplicaTrials:
    """Spaces a node's trials of slow replicas."""

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._next_trial_at = float("-inf")
        self._next_slow_trial_at = float("-inf")

    def is_allowed(self, replica: ReplicaState, now: float) -> bool:
        """Whether the replica may be asked as if it had become faster."""
        if replica.slow_streak == 0:
            return True
        if replica.slow_streak < MIN_SLOW_STREAK:
            return now >= self._next_trial_at
        return now >= self._next_slow_trial_at

    def on_chosen(self, replica: ReplicaState, now: float) -> None:
        """Take in that a replica is asked."""
        if replica.slow_streak == 0 or not self.is_allowed(replica, now):
            return
        self._next_trial_at = now + self._settings.paused_trial_seconds
        if replica.slow_streak >= MIN_SLOW_STREAK:
            self._next_slow_trial_at = now + self._settings.slow_trial_seconds
