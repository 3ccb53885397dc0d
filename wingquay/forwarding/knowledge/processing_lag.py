"""How late this node does its work."""

from dataclasses import dataclass


@dataclass(slots=True)
class ProcessingLag:
    """What this node's own timers show.

    Parameters
    ----------
    timer_lag_seconds
        How late the last regular timer fired.
    due_at
        When the next one that shows how late this node is should fire.
    """

    timer_lag_seconds: float = 0.0
    timer_due_at: float = float("inf")

    def seconds(self, now: float) -> float:
        """Return how late this node is with its work.

        A timer that is overdue counts as well: after a node stood still, what waits at its sockets
        is handled before its timers, and is as old as that.
        """
        return max(self.timer_lag_seconds, now - self.timer_due_at)
