"""Keeps figures until the metrics library is loaded.

The library takes some tens of milliseconds of processor time to load, which a process that has
just started needs for its first requests. What is counted meanwhile is kept and handed on later.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..ports.machine import Count, Observe

if TYPE_CHECKING:
    from .metrics import Metrics

KEPT_ACTIONS = 20_000
"""Actions kept until the library is loaded; further ones load it."""


class DeferredMetrics:
    """Performs ``Count`` and ``Observe``; ``load`` or a look at the page loads the library."""

    def __init__(self) -> None:
        self._kept: list[Count | Observe] = []
        self._metrics: Metrics | None = None

    def count(self, action: Count) -> None:
        """Add to a counter."""
        if self._metrics is not None:
            self._metrics.count(action)
        else:
            self._keep(action)

    def observe(self, action: Observe) -> None:
        """Add to a histogram."""
        if self._metrics is not None:
            self._metrics.observe(action)
        else:
            self._keep(action)

    def load(self) -> "Metrics":
        """Load the library and hand on what was kept."""
        if self._metrics is None:
            from .metrics import Metrics

            self._metrics = Metrics()
            for action in self._kept:
                perform: Callable[..., None] = self._metrics.count
                if isinstance(action, Observe):
                    perform = self._metrics.observe
                perform(action)
            self._kept.clear()
        return self._metrics

    def page(self) -> bytes:
        """Return the page in the Prometheus text format."""
        return self.load().page()

    def _keep(self, action: Count | Observe) -> None:
        self._kept.append(action)
        if len(self._kept) >= KEPT_ACTIONS:
            self.load()
