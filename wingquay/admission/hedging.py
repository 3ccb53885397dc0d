"""When a second replica is asked, and how many such hedges may leave.

Source: Dean and Barroso, "The Tail at Scale", 2013. The delay counts from the start of the
attempt, never from arrival: a timer that counts time in the queue would spend the budget on mere
queueing and keep an overload alive.
"""

from ..routing.latency_tracker import LatencyTracker
from .budget import RatioBudget
from .settings import AdmissionSettings

MEDIAN_QUANTILE = 0.5


class HedgePolicy:
    """Hedge delays by kind of request and hedge budgets by class."""

    def __init__(self, settings: AdmissionSettings, enabled: bool, budgeted: bool) -> None:
        self._settings = settings
        self._enabled = enabled
        self._budgeted = budgeted
        self._trackers: dict[str, LatencyTracker] = {}
        self._budgets: dict[str, RatioBudget] = {}

    def on_first_attempt(self, class_name: str) -> None:
        """Take in a first attempt: it earns the class its share of hedges."""
        self._budget(class_name).earn()

    def on_service_time(self, kind_key: str, service_seconds: float, now: float) -> None:
        """Take in how long an attempt took, or had taken when it was cancelled."""
        tracker = self._trackers.get(kind_key)
        if tracker is None:
            tracker = LatencyTracker(self._settings.latency_period_seconds)
            self._trackers[kind_key] = tracker
        tracker.record(service_seconds, now)

    def delay_seconds(
        self, kind_key: str, hedges_so_far: int, expected_seconds: float
    ) -> float | None:
        """Return the time after an attempt's start at which to hedge it, or ``None``: never.

        A node that has just started knows no quantile yet; it goes by ``expected_seconds``, the
        expected service time.
        """
        if not self._enabled or hedges_so_far >= self._settings.most_hedges:
            return None
        tracker = self._trackers.get(kind_key)
        delay = None if tracker is None else self._quantile_delay(tracker)
        if delay is None:
            return expected_seconds * self._settings.hedge_initial_factor
        return delay

    def _quantile_delay(self, tracker: LatencyTracker) -> float | None:
        min_samples = self._settings.hedge_fewest_samples
        quantile = tracker.quantile_seconds(self._settings.hedge_quantile, min_samples)
        median = tracker.quantile_seconds(MEDIAN_QUANTILE, min_samples)
        if quantile is None or median is None:
            return None
        return max(quantile, median * self._settings.hedge_least_factor)

    def try_acquire(self, class_name: str) -> bool:
        """Take one hedge from the class's budget; ``False`` if it is spent."""
        return not self._budgeted or self._budget(class_name).spend()

    def refund(self, class_name: str) -> None:
        """Return a hedge that was granted but not sent."""
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
