"""Latencies as HDR histograms in microseconds: small, mergeable, and true to 0.1% in the tail.

Source: http://hdrhistogram.org, format V2 as written by the ``hdrhistogram`` package.
"""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000
LONGEST_SECONDS = 3600
SIGNIFICANT_FIGURES = 3
MILLISECOND_DIGITS = 3


class LatencyHistogram:
    """Counts latencies; longer ones than an hour count as an hour."""

    def __init__(self) -> None:
        self._longest = LONGEST_SECONDS * MICROSECONDS_PER_SECOND
        self._histogram = HdrHistogram(1, self._longest, SIGNIFICANT_FIGURES)

    @property
    def count(self) -> int:
        """How many latencies were recorded."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Count one latency."""
        microseconds = max(1, round(seconds * MICROSECONDS_PER_SECOND))
        self._histogram.record_value(min(microseconds, self._longest))

    def record_all(self, latencies_seconds: Iterable[float]) -> None:
        """Count several latencies."""
        for seconds in latencies_seconds:
            self.record(seconds)

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile in milliseconds (``None``: nothing was recorded)."""
        if not self.count:
            return None
        microseconds = self._histogram.get_value_at_percentile(share * 100.0)
        return round(float(microseconds) / MICROSECONDS_PER_MILLISECOND, MILLISECOND_DIGITS)

    def distribution(self) -> tuple[list[float], list[float]]:
        """Return latencies in milliseconds and the share of all that are at most so long."""
        milliseconds: list[float] = []
        shares: list[float] = []
        total = self.count
        for item in self._histogram.get_recorded_iterator():
            milliseconds.append(item.value_iterated_to / MICROSECONDS_PER_MILLISECOND)
            shares.append(item.total_count_to_this_value / total)
        return milliseconds, shares

    def encode(self) -> str:
        """Return the histogram as text (base64 of the compressed V2 format)."""
        return str(self._histogram.encode().decode())

    def add_encoded(self, text: str) -> None:
        """Add what ``encode`` returned."""
        self._histogram.decode_and_add(text)
