"""Load reports that lag behind the truth, or lie."""

from collections import deque
from dataclasses import replace

from ...ports.backend import LoadReport


class LoadHistory:
    """Keeps true reports for a while and shows the one of ``delay_seconds`` ago.

    Parameters
    ----------
    delay_seconds
        Age of what is shown.
    first
        What is shown until the first record is old enough.
    """

    def __init__(self, delay_seconds: float, first: LoadReport) -> None:
        self._delay_seconds = delay_seconds
        self._shown = first
        self._later: deque[tuple[float, LoadReport]] = deque()
        self._lie: LoadReport | None = None

    def record(self, report: LoadReport, now: float) -> None:
        """Take in the true state at ``now``; times must not go back."""
        if self._later and self._later[-1][0] == now:
            self._later.pop()
        self._later.append((now, report))
        self._forget_until(now)

    def lie(self, report: LoadReport | None) -> None:
        """Show ``report`` whatever the truth is; its ``None`` fields stay true (but late).

        ``None`` ends the lie.
        """
        self._lie = report

    def shown(self, now: float) -> LoadReport:
        """Return the report that the replica gives at ``now``."""
        self._forget_until(now)
        if self._lie is None:
            return self._shown
        return _overlaid(self._shown, self._lie)

    def _forget_until(self, now: float) -> None:
        while self._later and self._later[0][0] + self._delay_seconds <= now:
            self._shown = self._later.popleft()[1]


def _overlaid(truth: LoadReport, lie: LoadReport) -> LoadReport:
    shown = replace(lie)
    if lie.utilization is None:
        shown = replace(shown, utilization=truth.utilization)
    if lie.oldest_version is None:
        shown = replace(shown, oldest_version=truth.oldest_version)
    if lie.newest_version is None:
        shown = replace(shown, newest_version=truth.newest_version)
    return shown
