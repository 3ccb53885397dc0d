"""An exponentially weighted average rate."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingRate:
    """Exponentially weighted rate: each added amount decays with ``time_constant_seconds``."""

    time_constant_seconds: float
    _amount: float = 0.0
    _at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add ``amount`` at ``now``."""
        self._amount = self._decayed(now) + amount
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the current rate."""
        return self._decayed(now) / self.time_constant_seconds

    def _decayed(self, now: float) -> float:
        return self._amount * math.exp(-(now - self._at) / self.time_constant_seconds)
