"""A rate over the recent past, forgotten exponentially."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingRate:
    """Amount a second, where what lies ``time_constant_seconds`` back counts 1/e."""

    time_constant_seconds: float
    _weight: float = 0.0
    _at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count ``amount`` at ``now``."""
        self._weight = self._decayed(now) + amount
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the present rate."""
        return self._decayed(now) / self.time_constant_seconds

    def _decayed(self, now: float) -> float:
        return self._weight * math.exp(-(now - self._at) / self.time_constant_seconds)
