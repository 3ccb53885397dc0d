"""The rate limit of the modelled store: a token bucket."""


class RateLimit:
    """Lets ``rate_per_second`` operations through, and ``burst`` at once after a pause."""

    def __init__(self, rate_per_second: float, burst: float) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        """Whether an operation at ``now`` is let through; times must not go back."""
        gained = (now - self._filled_at) * self._rate_per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
