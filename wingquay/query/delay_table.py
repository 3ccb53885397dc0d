"""How long each class would wait at each shard, as owners last reported it.

A request is refused before any part of it leaves when one of its shards would keep it waiting
too long. Reports come with every sub-result; between two of them a queue is taken to drain at
the speed of the clock, so that a class that is refused altogether is tried again by itself.
Source: Breakwater (OSDI 2020) and DAGOR (SoCC 2018): decide at the caller's side on the
server's queueing delay.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class _Report:
    delay_seconds: float
    reported_at: float


class DelayTable:
    """Last reported queueing delays by shard and class."""

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], _Report] = {}

    def record(self, shard_id: str, class_name: str, delay_seconds: float, now: float) -> None:
        """Take in a report; only delays worth remembering are kept."""
        key = (shard_id, class_name)
        if delay_seconds <= 0.0:
            self._reports.pop(key, None)
            return
        report = self._reports.get(key)
        if report is None:
            self._reports[key] = _Report(delay_seconds, now)
            return
        report.delay_seconds = delay_seconds
        report.reported_at = now

    def expected_seconds(self, shard_id: str, class_name: str, now: float) -> float:
        """Return how long a sub-request of the class would wait now."""
        report = self._reports.get((shard_id, class_name))
        if report is None:
            return 0.0
        return max(0.0, report.delay_seconds - (now - report.reported_at))
