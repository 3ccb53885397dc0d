"""How many requests arrive at this node in a second, remembered for some seconds."""

import math

RATE_MEMORY_SECONDS = 10.0
"""Time constant of the mean: a node of a large fleet sees a request every few seconds."""


class RequestRate:
    """A mean that fades: each request counts for less the longer ago it was."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._counted_at = 0.0

    def count(self, now: float) -> None:
        """Take in a request."""
        self._requests = self._decayed(now) + 1.0
        self._counted_at = now

    def per_second(self, now: float) -> float:
        """Return the mean number of requests a second."""
        return self._decayed(now) / RATE_MEMORY_SECONDS

    def _decayed(self, now: float) -> float:
        return self._requests * math.exp(-(now - self._counted_at) / RATE_MEMORY_SECONDS)
