"""Lag of the event loop.

A busy machine reads a request some time after it arrived. That delay uses up part of the request's
deadline but is not visible in the request itself.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class LoopLag:
    """The event loop lag, measured by the lag timer.

    Parameters
    ----------
    measured_seconds
        How late the latest lag timer fired, or how long the node was suspended.
    timer_due_at
        When the next lag timer is due.
    """

    measured_seconds: float = 0.0
    timer_due_at: float = float("inf")

    def seconds(self, now: float) -> float:
        """Return how old what is read now may be.

        A lag timer that is overdue counts as well: after a pause of the process, messages at the
        sockets are handled before timers.
        """
        return max(self.measured_seconds, now - self.timer_due_at)
