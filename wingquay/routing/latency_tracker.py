"""Quantiles of recent latencies.

Two HDR histograms alternate. A quantile is taken from the histogram of the current period, or from
the previous one while the current one has few samples.
"""

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LOWEST_MICROSECONDS = 10
HIGHEST_MICROSECONDS = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
REFRESH_SAMPLES = 64
"""Number of samples after which a cached quantile is recomputed."""


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


class LatencyTracker:
    """Records latencies and returns quantiles of the recent ones.

    Parameters
    ----------
    period_seconds
        Time for which samples are added to one histogram before the older one is reset.
    """

    def __init__(self, period_seconds: float) -> None:
        self._period_seconds = period_seconds
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._period_started_at: float | None = None
        self._since_refresh = 0
        self._cached: dict[float, float] = {}

    def record(self, latency_seconds: float, now: float) -> None:
        """Record one latency."""
        self._rotate(now)
        self._current.record_value(self._to_microseconds(latency_seconds))
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_SAMPLES:
            self._clear_cache()

    def quantile_seconds(self, quantile: float, min_samples: int) -> float | None:
        """Return the latency at ``quantile`` (0 to 1), or ``None`` if there are too few samples."""
        cached = self._cached.get(quantile)
        if cached is not None:
            return cached
        histogram = self._most_complete()
        if histogram.get_total_count() < min_samples:
            return None
        value: float = histogram.get_value_at_percentile(quantile * 100.0) / MICROSECONDS
        self._cached[quantile] = value
        return value

    def _most_complete(self) -> HdrHistogram:
        # The current histogram is used once it has a quarter of the samples of the previous one.
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
        self._clear_cache()

    def _clear_cache(self) -> None:
        self._since_refresh = 0
        self._cached.clear()

    @staticmethod
    def _to_microseconds(latency_seconds: float) -> int:
        value = int(latency_seconds * MICROSECONDS)
        return min(max(value, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
