"""Low estimate of the service time of a request kind.

The estimate follows shorter times quickly and longer ones slowly, so that a straggler or a paused
node hardly raises it. It decays without new samples. A kind that is refused because of the
estimate brings no samples and is admitted again once the estimate has decayed.
"""

from dataclasses import dataclass

DECREASE_WEIGHT = 0.3
INCREASE_WEIGHT = 0.01
HALF_LIFE_SECONDS = 1.0


@dataclass(slots=True)
class ServiceTimeFloor:
    """Low estimate of a service time.

    Parameters
    ----------
    estimate_seconds
        Estimate at the time of the last sample.
    sampled_at
        Time of the last sample.
    """

    estimate_seconds: float
    sampled_at: float

    def record(self, service_seconds: float, now: float) -> None:
        """Add a service time to the estimate."""
        estimate = self.current_seconds(now)
        weight = DECREASE_WEIGHT if service_seconds < estimate else INCREASE_WEIGHT
        self.estimate_seconds = estimate + weight * (service_seconds - estimate)
        self.sampled_at = now

    def current_seconds(self, now: float) -> float:
        """Return the estimate, decayed by the time since the last sample."""
        age = max(0.0, now - self.sampled_at)
        decay: float = 0.5 ** (age / HALF_LIFE_SECONDS)
        return self.estimate_seconds * decay
