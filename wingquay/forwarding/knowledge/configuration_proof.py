"""Tracks the time as of which a node's configuration is proven to be complete.

A read of the store returns everything that the store had acknowledged when the read began, so each
read proves the configuration as of its start. A key whose revocation was acknowledged after that
start may still be accepted. Once the proof is older than the revocation bound, no request with a
key is served. Times are those of a clock that includes suspension of the machine.
"""

from collections.abc import Callable

BOUND_RESERVE_SECONDS = 0.1
"""Margin before the bound at which requests with keys are rejected. It covers the drift between two
machines' clocks while a proof request is valid, and one iteration of the event loop."""
MIN_RETRY_SECONDS = 0.05
"""Minimum delay before a rejected caller is told to retry."""


class AlwaysProven:
    """Proof for platforms that state no revocation bound: every configuration counts as proven."""

    def is_proven(self, now: float) -> bool:
        """Whether the configuration is recent enough to serve requests with keys."""
        return True

    def retry_after_seconds(self, now: float) -> float:
        """Return the seconds after which a rejected caller should retry."""
        return 0.0


class TimedProof:
    """Proof by the latest time as of which the node's configuration is complete.

    Parameters
    ----------
    bound_seconds
        Time after the store acknowledged a key's revocation by which the key must be rejected.
    next_answer_at
        Returns, for a time, when the next proof from the store or another node may arrive.
    """

    def __init__(self, bound_seconds: float, next_answer_at: Callable[[float], float]) -> None:
        self._max_age_seconds = max(bound_seconds - BOUND_RESERVE_SECONDS, 0.0)
        self._next_answer_at = next_answer_at
        self._proven_as_of = float("-inf")

    @property
    def proven_as_of(self) -> float:
        """The time up to which everything that the store acknowledged is in the configuration."""
        return self._proven_as_of

    def extend(self, as_of: float, now: float) -> bool:
        """Record that everything acknowledged before ``as_of`` is in the configuration.

        Returns
        -------
        bool
            Whether ``as_of`` is later than the time proven before. A time in the future is an error
            of the sender and is ignored.
        """
        if not self._proven_as_of < as_of <= now:
            return False
        self._proven_as_of = as_of
        return True

    def is_proven(self, now: float) -> bool:
        """Whether the configuration is recent enough to serve requests with keys."""
        return now - self._proven_as_of <= self._max_age_seconds

    def retry_after_seconds(self, now: float) -> float:
        """Return the seconds after which a rejected caller should retry."""
        return max(self._next_answer_at(now) - now, MIN_RETRY_SECONDS)
