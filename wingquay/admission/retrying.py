"""How many retries may leave: a ratio of the first attempts of each service.

So a zone that goes down costs a bounded share of extra work and no storm.
"""

from .budget import RatioBudget
from .settings import AdmissionSettings


class RetryPolicy:
    """Retry budgets by service.

    Parameters
    ----------
    budgeted
        Whether the budget holds; otherwise only the count of each sub-request limits.
    """

    def __init__(self, settings: AdmissionSettings, budgeted: bool) -> None:
        self._settings = settings
        self._budgeted = budgeted
        self._budgets: dict[str, RatioBudget] = {}

    def on_first_attempt(self, service: str) -> None:
        """Take in a first attempt: it earns the service its share of retries."""
        self._budget(service).earn()

    def try_acquire(self, service: str, retries_so_far: int, is_free: bool) -> bool:
        """Whether one more retry may leave; it is taken from the budget unless it is free."""
        if retries_so_far >= self._settings.most_retries:
            return False
        return is_free or not self._budgeted or self._budget(service).spend()

    def _budget(self, service: str) -> RatioBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RatioBudget(
                self._settings.retry_budget_ratio, self._settings.retry_budget_burst
            )
            self._budgets[service] = budget
        return budget
