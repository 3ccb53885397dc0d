"""Counts requests in a sliding window."""

from collections import deque
from dataclasses import dataclass

BUCKET_SECONDS = 0.02
"""Width of a bucket. All requests of a bucket leave the window with its last one, which bounds
memory at a small loss of precision. A window of 5 s has 250 buckets at most, and a caller at its
limit loses 0.4% of it."""


@dataclass(slots=True, eq=False)
class _Bucket:
    """Requests that arrived within one bucket width."""

    first_at: float
    last_at: float
    requests: int


class SlidingWindowCounter:
    """Counts the requests of the last window; never counts too few.

    Parameters
    ----------
    window_seconds
        Time for which a request counts.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._buckets: deque[_Bucket] = deque()
        self._total = 0

    def total(self, now: float) -> int:
        """Return the number of requests in the window."""
        buckets = self._buckets
        while buckets and buckets[0].last_at <= now - self._window_seconds:
            self._total -= buckets.popleft().requests
        return self._total

    def add(self, requests: int, at: float) -> None:
        """Count requests.

        A time before the latest counted request is counted in the newest bucket.
        """
        last = self._buckets[-1] if self._buckets else None
        self._total += requests
        if last is not None and at < last.first_at + BUCKET_SECONDS:
            last.last_at = max(last.last_at, at)
            last.requests += requests
        else:
            self._buckets.append(_Bucket(at, at, requests))

    def remove(self, requests: int) -> None:
        """Remove requests that have not run.

        The oldest are removed, because they leave the window first. The count is thus never too
        low, whichever requests have run.
        """
        while requests > 0 and self._buckets:
            oldest = self._buckets[0]
            taken = min(requests, oldest.requests)
            oldest.requests -= taken
            self._total -= taken
            requests -= taken
            if not oldest.requests:
                self._buckets.popleft()

    def seconds_until_capacity(self, limit: float, now: float) -> float:
        """Return the time until one more request does not exceed ``limit``, in seconds."""
        surplus = self.total(now) + 1 - limit
        for bucket in self._buckets:
            if surplus <= 0:
                break
            surplus -= bucket.requests
            if surplus <= 0:
                return bucket.last_at + self._window_seconds - now
        return 0.0 if surplus <= 0 else self._window_seconds

    def entries(self, now: float) -> list[tuple[float, int]]:
        """Return the age in seconds and the number of requests of each bucket, oldest first."""
        self.total(now)
        return [(now - bucket.last_at, bucket.requests) for bucket in self._buckets]

    def merge(self, entries: list[tuple[float, int]], now: float) -> None:
        """Merge the entries of another counter of the same window.

        Both may contain the same requests, so the larger running total applies at each age.
        """
        own = self.entries(now)
        merged = _merge_max(own, entries)
        self._buckets.clear()
        self._total = 0
        for age, requests in merged:
            self._buckets.append(_Bucket(now - age, now - age, requests))
            self._total += requests


def _merge_max(
    own: list[tuple[float, int]], other: list[tuple[float, int]]
) -> list[tuple[float, int]]:
    """Return a series, oldest first, whose running totals are at least those of both."""
    steps = sorted(
        [(age, 0, count) for age, count in own] + [(age, 1, count) for age, count in other]
    )
    sums = [0, 0]
    merged: list[tuple[float, int]] = []
    highest = 0
    for age, series, count in steps:
        sums[series] += count
        if sums[series] > highest:
            merged.append((age, sums[series] - highest))
            highest = sums[series]
    merged.reverse()
    return merged
