"""Retry budgets: retries of a service are limited to a ratio of its first attempts.

The budget prevents a retry storm when a zone fails.
"""

from .budget import RatioBudget
from .settings import AdmissionSettings


class RetryPolicy:
    """Retry limits by sub-request and retry budgets by service.

    Parameters
    ----------
    budgeted
        Whether the budget of a service applies; the limit for each sub-request always does.
    """

    def __init__(self, settings: AdmissionSettings, budgeted: bool) -> None:
        self._settings = settings
        self._budgeted = budgeted
        self._budgets: dict[str, RatioBudget] = {}

    def on_first_attempt(self, service: str) -> None:
        """Add the retries that a first attempt earns to the budget of its service."""
        self._budget(service).earn()

    def try_acquire(self, service: str, retries_so_far: int, is_unbudgeted: bool) -> bool:
        """Return whether a retry is allowed; take it from the budget unless ``is_unbudgeted``."""
        if retries_so_far >= self._settings.most_retries:
            return False
        return is_unbudgeted or not self._budgeted or self._budget(service).spend()

    def _budget(self, service: str) -> RatioBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RatioBudget(
                self._settings.retry_budget_ratio, self._settings.retry_budget_burst
            )
            self._budgets[service] = budget
        return budget
