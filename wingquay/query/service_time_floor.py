"""The service time that a kind of request rarely stays below, and that is forgotten in time.

It follows shorter times quickly and longer ones slowly, so that a straggler or a paused node does
not raise it much. Without new samples it fades: a kind that is refused because of it brings no
samples, and must be tried again by itself.
"""

from dataclasses import dataclass

DECREASE_WEIGHT = 0.3
INCREASE_WEIGHT = 0.01
HALF_LIFE_SECONDS = 1.0


@dataclass(slots=True)
class ServiceTimeFloor:
    """A low estimate of a service time.

    Parameters
    ----------
    estimate_seconds, sampled_at
        The estimate and when it was last confirmed by a sample.
    """

    estimate_seconds: float
    sampled_at: float

    def record(self, service_seconds: float, now: float) -> None:
        """Take in a service time."""
        estimate = self.seconds(now)
        weight = DECREASE_WEIGHT if service_seconds < estimate else INCREASE_WEIGHT
        self.estimate_seconds = estimate + weight * (service_seconds - estimate)
        self.sampled_at = now

    def seconds(self, now: float) -> float:
        """Return the estimate, faded by the time since the last sample."""
        age = max(0.0, now - self.sampled_at)
        decay: float = 0.5 ** (age / HALF_LIFE_SECONDS)
        return self.estimate_seconds * decay
