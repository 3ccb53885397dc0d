"""How far this node lags behind with its work."""

from dataclasses import dataclass


@dataclass(slots=True)
class ProcessingLag:
    """The lag of this node, from its sweep timer and its lag timer.

    ``LoopLag`` is the last value of the lag timer alone.

    Parameters
    ----------
    timer_lag_seconds
        How late the last sweep timer fired, or how long the node was suspended.
    timer_due_at
        When the next lag timer is due.
    """

    timer_lag_seconds: float = 0.0
    timer_due_at: float = float("inf")

    def seconds(self, now: float) -> float:
        """Return how far this node lags behind.

        A lag timer that is overdue counts as well: after a suspension, messages at the sockets
        are handled before timers, and may be as old as the suspension.
        """
        return max(self.timer_lag_seconds, now - self.timer_due_at)
