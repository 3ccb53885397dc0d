"""What an owner knows of one tenant, and whether one more request may run."""

from ....model.value import value
from ....ports.limit_messages import LimitVerdict
from .budget import Budget
from .sliding_count import SlidingCount

LEAST_RETRY_SECONDS = 0.3
"""Before that, nothing that made an owner or a node refuse can have changed: it is the time after
which a silent owner counts as out of reach."""


@value
class Standing:
    """What an owner may go by when it permits requests of a tenant.

    Parameters
    ----------
    is_primary
        Whether it is the primary owner; else it is the second one.
    knows_window
        Whether it knows what ran in the last window, and what it permitted itself.
    is_alone
        Whether there is no other owner.
    known_after_seconds
        When it will know the window.
    """

    is_primary: bool
    knows_window: bool
    is_alone: bool
    known_after_seconds: float = 0.0


@value
class Permit:
    """Whether a request may run; if not, after which time one may."""

    verdict: LimitVerdict
    retry_after_seconds: float = 0.0


class TenantCount:
    """Counts one tenant's requests at one of its owners.

    Parameters
    ----------
    window_seconds
        For how long a request counts.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self.counted = SlidingCount(window_seconds)
        """All that is known to run, whoever permitted it."""
        self.own_right = SlidingCount(window_seconds)
        """What was permitted as the second owner."""
        self.lent_until = float("-inf")
        """Until when the primary owner may go by the whole."""
        self.loan_until = float("-inf")
        """Until when this owner, the primary, may."""
        self.loan_asked_at = float("-inf")
        self.loan_less = 0
        """What the second owner had permitted in its own right when it lent its part."""
        self.hot_until = float("-inf")
        """Until when nodes were told to ask first."""

    @property
    def idle_from(self) -> float:
        """From when on nothing but the count keeps this from being forgotten."""
        return max(self.lent_until, self.loan_until, self.hot_until) + self._window_seconds

    def add(self, requests: int, now: float) -> None:
        """Take in requests that run; less than 0: so many ran nowhere."""
        if requests < 0:
            self.counted.take_back(-requests)
        elif requests > 0:
            self.counted.add(requests, now)

    def permit(self, budget: Budget, standing: Standing, now: float) -> Permit:
        """Count one more request if it may run."""
        permit = self._judged(budget, standing, now)
        if permit.verdict is LimitVerdict.GRANTED:
            self.counted.add(1, now)
            if not standing.is_primary:
                self.own_right.add(1, now)
        return permit

    def _judged(self, budget: Budget, standing: Standing, now: float) -> Permit:
        if self.counted.total(now) + 1 > budget.whole:
            seconds = self.counted.room_after_seconds(budget.whole, now)
            return Permit(LimitVerdict.OVER, seconds)
        if standing.is_primary:
            return self._as_primary(budget, standing, now)
        return self._as_second(budget, standing, now)

    def _as_primary(self, budget: Budget, standing: Standing, now: float) -> Permit:
        most = self._primary_most(budget, standing, now)
        if self.counted.total(now) + 1 <= most:
            return Permit(LimitVerdict.GRANTED)
        if not standing.knows_window:
            return Permit(LimitVerdict.ELSEWHERE, standing.known_after_seconds)
        return Permit(LimitVerdict.ELSEWHERE, LEAST_RETRY_SECONDS)

    def _primary_most(self, budget: Budget, standing: Standing, now: float) -> float:
        if not standing.knows_window:
            return budget.fresh
        if standing.is_alone:
            return budget.whole
        if now < self.loan_until:
            return max(budget.whole - self.loan_less, budget.primary_alone)
        return budget.primary_alone

    def _as_second(self, budget: Budget, standing: Standing, now: float) -> Permit:
        most = budget.second_alone
        if not standing.knows_window:
            return Permit(LimitVerdict.ELSEWHERE, standing.known_after_seconds)
        if now < self.lent_until + self._window_seconds:
            most = budget.second_apart
        if self.own_right.total(now) + 1 <= most:
            return Permit(LimitVerdict.GRANTED)
        return Permit(LimitVerdict.ELSEWHERE, self.own_right.room_after_seconds(most, now))
