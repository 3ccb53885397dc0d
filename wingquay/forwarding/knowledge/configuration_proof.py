"""Until when the configuration that a node goes by is proven to be the one in force.

A read of the store proves what it told as of the moment at which it began: whatever the store had
acknowledged by then is in it. So a key that was taken away later than that may still be known here,
and from the bound on, counted from that moment, no key is served. Times are those of the clock that
counts what a machine was suspended for.
"""

from collections.abc import Callable

BOUND_RESERVE_SECONDS = 0.1
"""Time before the bound from which on requests with keys are rejected. Callers must not run past
the bound by the clocks of other machines: two that run apart by 200 parts in a million for the
lifetime of an ask, a minute, differ by 0.012 s; the rest is for a turn of the event loop."""
MIN_RETRY_SECONDS = 0.05
"""Earliest time at which a rejected caller is asked back: sooner it would be rejected again."""


class AlwaysProven:
    """The proof where the platform states no bound for nodes that are out of touch."""

    def is_proven(self, now: float) -> bool:
        """Whether no key that callers show may have been taken away for too long."""
        return True

    def retry_after_seconds(self, now: float) -> float:
        """Return after which time the node may know again."""
        return 0.0


class TimedProof:
    """Proven as of the latest moment of which the node knows everything.

    Parameters
    ----------
    bound_seconds
        Time after the store acknowledged that a key is taken away from which on it is not served.
    next_answer_at
        Tells, for a moment, when the store or another node may prove more.
    """

    def __init__(self, bound_seconds: float, next_answer_at: Callable[[float], float]) -> None:
        self._served_seconds = max(bound_seconds - BOUND_RESERVE_SECONDS, 0.0)
        self._next_answer_at = next_answer_at
        self._proven_as_of = float("-inf")

    @property
    def proven_as_of(self) -> float:
        """The moment up to which everything that the store acknowledged is known."""
        return self._proven_as_of

    def extend(self, as_of: float, now: float) -> bool:
        """Take in that everything is known that was acknowledged before a moment.

        Returns
        -------
        bool
            Whether that is later than what was proven before. A moment that has yet to come proves
            nothing: whoever told it is wrong.
        """
        if not self._proven_as_of < as_of <= now:
            return False
        self._proven_as_of = as_of
        return True

    def is_proven(self, now: float) -> bool:
        """Whether no key that callers show may have been taken away for too long."""
        return now - self._proven_as_of <= self._served_seconds

    def retry_after_seconds(self, now: float) -> float:
        """Return after which time the node may know again."""
        return max(self._next_answer_at(now) - now, MIN_RETRY_SECONDS)
