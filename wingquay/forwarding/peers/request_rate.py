"""Moving average of the number of requests per second at this node."""

import math

TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the moving average. A node of a large fleet gets a request every few seconds."""


class RequestRate:
    """Moving average of the request rate with exponential decay."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._counted_at = 0.0

    def count(self, now: float) -> None:
        """Count a request."""
        self._requests = self._decayed(now) + 1.0
        self._counted_at = now

    def per_second(self, now: float) -> float:
        """Return the average number of requests per second."""
        return self._decayed(now) / TIME_CONSTANT_SECONDS

    def _decayed(self, now: float) -> float:
        return self._requests * math.exp(-(now - self._counted_at) / TIME_CONSTANT_SECONDS)
