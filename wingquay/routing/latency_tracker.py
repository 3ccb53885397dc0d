"""Recent latencies of one kind of sub-request, as a sliding histogram.

Two HDR histograms take turns, so that quantiles speak of the last one to two periods.
"""

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LOWEST_MICROSECONDS = 10
HIGHEST_MICROSECONDS = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
REFRESH_SAMPLES = 64
"""Samples after which a cached quantile is computed anew."""


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


class LatencyTracker:
    """Quantiles of recent latencies.

    Parameters
    ----------
    period_seconds
        How long samples go into one histogram before the older one is emptied.
    """

    def __init__(self, period_seconds: float) -> None:
        self._period_seconds = period_seconds
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._period_started_at: float | None = None
        self._since_refresh = 0
        self._cached: dict[float, float] = {}

    def record(self, latency_seconds: float, now: float) -> None:
        """Take in one latency."""
        self._rotate(now)
        self._current.record_value(self._to_microseconds(latency_seconds))
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_SAMPLES:
            self._forget_cached()

    def quantile_seconds(self, quantile: float, min_samples: int) -> float | None:
        """Return the latency at ``quantile`` (0 to 1), or ``None`` with too few samples."""
        cached = self._cached.get(quantile)
        if cached is not None:
            return cached
        histogram = self._fuller()
        if histogram.get_total_count() < min_samples:
            return None
        value: float = histogram.get_value_at_percentile(quantile * 100.0) / MICROSECONDS
        self._cached[quantile] = value
        return value

    def _fuller(self) -> HdrHistogram:
        # The current histogram is used once it has as much to say as the one before it.
        if self._current.get_total_count() * 4 >= self._previous.get_total_count():
            return self._current
        return self._previous

    def _rotate(self, now: float) -> None:
        if self._period_started_at is None:
            self._period_started_at = now
        if now - self._period_started_at < self._period_seconds:
            return
        self._period_started_at = now
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        self._forget_cached()

    def _forget_cached(self) -> None:
        self._since_refresh = 0
        self._cached.clear()

    @staticmethod
    def _to_microseconds(latency_seconds: float) -> int:
        value = int(latency_seconds * MICROSECONDS)
        return min(max(value, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
