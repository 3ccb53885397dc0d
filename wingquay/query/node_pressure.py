"""Refuses the classes of the lowest prices while this node's event loop is overloaded.

If the processor of the node is the bottleneck, its timers fire late although the queues of the
replicas are short. A probe measures this lag. After ``LATE_PROBES_TO_RAISE`` late probes in a row
the classes of the next lowest price are refused too; after ``ON_TIME_PROBES_TO_LOWER`` probes on
time in a row they are admitted again, as in DAGOR (SoCC 2018), section 4. Classes of the highest
price are never refused.
"""

from ..model.configuration import Configuration

LATE_PROBES_TO_RAISE = 3
"""Late probes in a row after which the next lowest price is refused."""

ON_TIME_LAG_SHARE = 0.2
"""Share of the lag limit up to which a probe counts as on time."""

ON_TIME_PROBES_TO_LOWER = 10
"""On-time probes in a row after which the highest refused price is admitted."""


class NodePressure:
    """Lowest class price that is admitted, adjusted to the lag of the event loop.

    Parameters
    ----------
    lag_limit_seconds
        Lag of the event loop from which a probe counts as late.
    """

    def __init__(self, lag_limit_seconds: float) -> None:
        self._lag_limit_seconds = lag_limit_seconds
        self._prices: list[float] = []
        self._refused_price_count = 0
        self._on_time_probes = 0
        self._late_probes = 0

    def apply(self, configuration: Configuration) -> None:
        """Apply the configured classes."""
        self._prices = sorted({entry.price for entry in configuration.classes})
        self._refused_price_count = min(self._refused_price_count, max(0, len(self._prices) - 1))

    def on_lag(self, lag_seconds: float) -> None:
        """Record the lag of the event loop measured by a probe."""
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
            self._refused_price_count = max(0, self._refused_price_count - 1)

    def _on_late_probe(self) -> None:
        self._late_probes += 1
        if self._late_probes >= LATE_PROBES_TO_RAISE:
            self._late_probes = 0
            self._refused_price_count = min(
                self._refused_price_count + 1, max(0, len(self._prices) - 1)
            )

    def refuses(self, price: float) -> bool:
        """Return whether a class of ``price`` is refused now."""
        return self._refused_price_count > 0 and price < self._prices[self._refused_price_count]
