"""Hedge delays and hedge budgets.

See Dean and Barroso, "The Tail at Scale", 2013. The delay counts from the start of the attempt,
not from the arrival of the sub-request. Otherwise queueing alone would trigger hedges and prolong
an overload.
"""

from ..routing.latency_tracker import LatencyTracker
from .budget import RatioBudget
from .settings import AdmissionSettings

MEDIAN_QUANTILE = 0.5


class HedgePolicy:
    """Hedge delays by request kind and hedge budgets by class.

    Parameters
    ----------
    enabled
        Whether hedges are sent at all.
    budgeted
        Whether the budget of a class limits its hedges.
    """

    def __init__(self, settings: AdmissionSettings, enabled: bool, budgeted: bool) -> None:
        self._settings = settings
        self._enabled = enabled
        self._budgeted = budgeted
        self._trackers: dict[str, LatencyTracker] = {}
        self._budgets: dict[str, RatioBudget] = {}

    def on_first_attempt(self, class_name: str) -> None:
        """Add the hedges that a first attempt earns to the budget of its class."""
        self._budget(class_name).earn()

    def on_service_time(self, kind_key: str, service_seconds: float, now: float) -> None:
        """Record the service time of an attempt, or its elapsed time if cancelled."""
        tracker = self._trackers.get(kind_key)
        if tracker is None:
            tracker = LatencyTracker(self._settings.latency_period_seconds)
            self._trackers[kind_key] = tracker
        tracker.record(service_seconds, now)

    def hedge_delay_seconds(
        self, kind_key: str, hedges_so_far: int, expected_service_seconds: float
    ) -> float | None:
        """Return the time from an attempt's start to its hedge; ``None`` for no hedge.

        Uses a multiple of ``expected_service_seconds`` until enough service times are recorded.
        """
        if not self._enabled or hedges_so_far >= self._settings.most_hedges:
            return None
        tracker = self._trackers.get(kind_key)
        delay = None if tracker is None else self._quantile_delay(tracker)
        if delay is None:
            return expected_service_seconds * self._settings.hedge_initial_factor
        return delay

    def _quantile_delay(self, tracker: LatencyTracker) -> float | None:
        min_samples = self._settings.hedge_fewest_samples
        quantile = tracker.quantile_seconds(self._settings.hedge_quantile, min_samples)
        median = tracker.quantile_seconds(MEDIAN_QUANTILE, min_samples)
        if quantile is None or median is None:
            return None
        return max(quantile, median * self._settings.hedge_least_factor)

    def try_acquire(self, class_name: str) -> bool:
        """Take one hedge from the budget of the class; return ``False`` if none is left."""
        return not self._budgeted or self._budget(class_name).spend()

    def refund(self, class_name: str) -> None:
        """Return an unsent hedge to the budget of the class."""
        budget = self._budget(class_name)
        budget.available = min(budget.burst, budget.available + 1.0)

    def _budget(self, class_name: str) -> RatioBudget:
        budget = self._budgets.get(class_name)
        if budget is None:
            budget = RatioBudget(
                self._settings.hedge_budget_ratio, self._settings.hedge_budget_burst
            )
            self._budgets[class_name] = budget
        return budget
