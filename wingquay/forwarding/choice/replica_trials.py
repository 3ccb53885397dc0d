"""Limits how often slow replicas are tried again.

A trial request may miss its objective. When many replicas become slow at the same time, their
measured slowdowns also decay at the same time, and one request could then try all of them. A node
therefore makes at most one trial per interval; the interval is longer for replicas that were slow
again in a trial.
"""

from ..settings import ForwardingSettings
from .replica_state import ReplicaState

MIN_SLOW_STREAK = 2
"""Consecutive slow attempts from which on a replica is considered slow; fewer are a pause."""


class ReplicaTrials:
    """Limits the rate of trials of slow replicas."""

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._next_trial_at = float("-inf")
        self._next_slow_trial_at = float("-inf")

    def is_allowed(self, replica: ReplicaState, now: float) -> bool:
        """Whether the replica may be tried now, if it was slow."""
        if replica.slow_streak == 0:
            return True
        if replica.slow_streak < MIN_SLOW_STREAK:
            return now >= self._next_trial_at
        return now >= self._next_slow_trial_at

    def on_chosen(self, replica: ReplicaState, now: float) -> None:
        """Record that a request is sent to a replica, which may be a trial."""
        if replica.slow_streak == 0 or not self.is_allowed(replica, now):
            return
        self._next_trial_at = now + self._settings.paused_trial_seconds
        if replica.slow_streak >= MIN_SLOW_STREAK:
            self._next_slow_trial_at = now + self._settings.slow_trial_seconds
