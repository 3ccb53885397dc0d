"""Counts requests in a window that slides, so that no moment is better than another for a burst."""

from collections import deque
from dataclasses import dataclass

BUCKET_SECONDS = 0.02
"""Requests that came so near to each other are kept as one entry and leave the window with the last
of them: 250 entries for a window of 5 s, however many requests a tenant sends. A caller at its
limit loses 0.4% of it so."""


@dataclass(slots=True, eq=False)
class _Bucket:
    """Requests that came at about the same time."""

    first_at: float
    last_at: float
    requests: int


class SlidingWindowCounter:
    """How many requests there were within the last window; never less than there were.

    Parameters
    ----------
    window_seconds
        For how long a request counts.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._buckets: deque[_Bucket] = deque()
        self._total = 0

    def total(self, now: float) -> int:
        """Return the number of requests that still count."""
        entries = self._buckets
        while entries and entries[0].last_at <= now - self._window_seconds:
            self._total -= entries.popleft().requests
        return self._total

    def add(self, requests: int, at: float) -> None:
        """Count requests; times that go back count as the last one."""
        last = self._buckets[-1] if self._buckets else None
        self._total += requests
        if last is not None and at < last.first_at + BUCKET_SECONDS:
            last.last_at = max(last.last_at, at)
            last.requests += requests
        else:
            self._buckets.append(_Bucket(at, at, requests))

    def remove(self, requests: int) -> None:
        """Take out requests that ran nowhere.

        The oldest go: which ones ran is not known, and so the count errs on the side of too many.
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
        """Return after which time one more request makes no more than ``most``."""
        surplus = self.total(now) + 1 - limit
        for bucket in self._buckets:
            if surplus <= 0:
                break
            surplus -= bucket.requests
            if surplus <= 0:
                return bucket.last_at + self._window_seconds - now
        return 0.0 if surplus <= 0 else self._window_seconds

    def entries(self, now: float) -> list[tuple[float, int]]:
        """Return how long ago requests came, and how many, the oldest first."""
        self.total(now)
        return [(now - bucket.last_at, bucket.requests) for bucket in self._buckets]

    def merge(self, entries: list[tuple[float, int]], now: float) -> None:
        """Take in what another count of the same window has, where that is more.

        Both may hold the same requests, so the greater of the two stands for each grain of time.
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
    """Return a series, oldest first, whose sums up to each age are at least those of both."""
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
