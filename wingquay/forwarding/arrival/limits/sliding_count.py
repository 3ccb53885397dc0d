"""Counts requests in a window that slides, so that no moment is better than another for a burst."""

from collections import deque
from dataclasses import dataclass

GRAIN_SECONDS = 0.02
"""Requests that came so near to each other are kept as one entry and leave the window with the last
of them: 250 entries for a window of 5 s, however many requests a tenant sends. A caller at its
limit loses 0.4% of it so."""


@dataclass(slots=True, eq=False)
class _Entry:
    """Requests that came at about the same time."""

    first_at: float
    last_at: float
    requests: int


class SlidingCount:
    """How many requests there were within the last window; never less than there were.

    Parameters
    ----------
    window_seconds
        For how long a request counts.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._entries: deque[_Entry] = deque()
        self._total = 0

    def total(self, now: float) -> int:
        """Return the number of requests that still count."""
        entries = self._entries
        while entries and entries[0].last_at <= now - self._window_seconds:
            self._total -= entries.popleft().requests
        return self._total

    def add(self, requests: int, at: float) -> None:
        """Count requests; times that go back count as the last one."""
        last = self._entries[-1] if self._entries else None
        self._total += requests
        if last is not None and at < last.first_at + GRAIN_SECONDS:
            last.last_at = max(last.last_at, at)
            last.requests += requests
        else:
            self._entries.append(_Entry(at, at, requests))

    def take_back(self, requests: int) -> None:
        """Take out requests that ran nowhere.

        The oldest go: which ones ran is not known, and so the count errs on the side of too many.
        """
        while requests > 0 and self._entries:
            oldest = self._entries[0]
            taken = min(requests, oldest.requests)
            oldest.requests -= taken
            self._total -= taken
            requests -= taken
            if not oldest.requests:
                self._entries.popleft()

    def room_after_seconds(self, most: float, now: float) -> float:
        """Return after which time one more request makes no more than ``most``."""
        surplus = self.total(now) + 1 - most
        for entry in self._entries:
            if surplus <= 0:
                break
            surplus -= entry.requests
            if surplus <= 0:
                return entry.last_at + self._window_seconds - now
        return 0.0 if surplus <= 0 else self._window_seconds

    def entries(self, now: float) -> list[tuple[float, int]]:
        """Return how long ago requests came, and how many, the oldest first."""
        self.total(now)
        return [(now - entry.last_at, entry.requests) for entry in self._entries]

    def put_before(self, entries: list[tuple[float, int]], now: float) -> None:
        """Take in what another count of the same window has, where that is more.

        Both may hold the same requests, so the greater of the two stands for each grain of time.
        """
        own = self.entries(now)
        merged = _greater_of(own, entries)
        self._entries.clear()
        self._total = 0
        for age, requests in merged:
            self._entries.append(_Entry(now - age, now - age, requests))
            self._total += requests


def _greater_of(
    own: list[tuple[float, int]], other: list[tuple[float, int]]
) -> list[tuple[float, int]]:
    """Return a series, oldest first, whose sums up to each age are at least those of both."""
    steps = sorted(
        [(age, 0, count) for age, count in own] + [(age, 1, count) for age, count in other]
    )
    sums = [0, 0]
    merged: list[tuple[float, int]] = []
    whole = 0
    for age, series, count in steps:
        sums[series] += count
        if sums[series] > whole:
            merged.append((age, sums[series] - whole))
            whole = sums[series]
    merged.reverse()
    return merged
