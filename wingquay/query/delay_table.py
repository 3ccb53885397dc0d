"""Queueing delays by shard and class, as reported by owners with every sub-result.

The coordinator refuses a request if one of its shards would delay it too long. The time since the
report is subtracted from a reported delay. A class that is refused entirely, and so brings no new
reports, is therefore admitted again after a while. Admission by the coordinator from the delay of
the owner follows Breakwater (OSDI 2020) and DAGOR (SoCC 2018).
"""

from dataclasses import dataclass


@dataclass(slots=True)
class _Report:
    delay_seconds: float
    reported_at: float


class DelayTable:
    """Latest reported queueing delays by shard and class."""

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], _Report] = {}

    def record(self, shard_id: str, class_name: str, delay_seconds: float, now: float) -> None:
        """Record a reported delay; a delay of 0 removes the entry."""
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

    def expected_delay_seconds(self, shard_id: str, class_name: str, now: float) -> float:
        """Return the expected queueing delay of a new sub-request of the class."""
        report = self._reports.get((shard_id, class_name))
        if report is None:
            return 0.0
        return max(0.0, report.delay_seconds - (now - report.reported_at))
