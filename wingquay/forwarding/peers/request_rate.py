"""Moving average of the number of requests per second at this node."""

import math

RATE_MEMORY_SECONDS = 10.0
"""Time constant of the moving average."""


class RequestRate:
    """Exponentially decaying request rate."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._counted_at = 0.0

    def count(self, now: float) -> None:
        """Count a request."""
        self._requests = self._decayed(now) + 1.0
        self._counted_at = now

    def per_second(self, now: float) -> float:
        """Return the average number of requests per second."""
        return self._decayed(now) / RATE_MEMORY_SECONDS

    def _decayed(self, now: float) -> float:
        return self._requests * math.exp(-(now - self._counted_at) / RATE_MEMORY_SECONDS)
