"""Refuses the cheapest classes while this node's own event loop cannot keep up.

Back ends' queues say nothing of a node whose processor is the bottleneck; how late its timers
fire does. The level rises by one class with every few late probes and falls slowly, as in DAGOR
(SoCC 2018), section 4. The class with the highest price is never refused here.
"""

from ..model.configuration import Configuration

LATE_PROBES_TO_RAISE = 3
"""Late probes in a row after which one more class is refused: one alone may be a pause."""

ON_TIME_LAG_SHARE = 0.2
"""Lag below this share of the limit counts as calm."""

ON_TIME_PROBES_TO_LOWER = 10
"""Calm probes in a row after which one more class is let in."""


class NodePressure:
    """The lowest price that is let in.

    Parameters
    ----------
    lag_limit_seconds
        Lateness of the event loop from which a class more is refused.
    """

    def __init__(self, lag_limit_seconds: float) -> None:
        self._lag_limit_seconds = lag_limit_seconds
        self._prices: list[float] = []
        self._level = 0
        self._on_time_probes = 0
        self._late_probes = 0

    def apply(self, configuration: Configuration) -> None:
        """Follow the configured classes."""
        self._prices = sorted({entry.price for entry in configuration.classes})
        self._level = min(self._level, max(0, len(self._prices) - 1))

    def on_lag(self, lag_seconds: float) -> None:
        """Take in how late the event loop was at a probe."""
        if lag_seconds >= self._lag_limit_seconds:
            self._on_time_probes = 0
            self._on_late_probe()
            return
        self._late_probes = 0
        if lag_seconds > self._lag_limit_seconds * ON_TIME_LAG_SHARE:
            self._on_time_probes = 0
            return
        self._on_time_probes += 1
        if self._on_time_probes >= ON_TIME_PROBES_TO_LOWER:
            self._on_time_probes = 0
            self._level = max(0, self._level - 1)

    def _on_late_probe(self) -> None:
        self._late_probes += 1
        if self._late_probes >= LATE_PROBES_TO_RAISE:
            self._late_probes = 0
            self._level = min(self._level + 1, max(0, len(self._prices) - 1))

    def refuses(self, price: float) -> bool:
        """Whether a class of ``price`` is refused now."""
        return self._level > 0 and price < self._prices[self._level]
