"""What an owner knows of one tenant, and whether one more request may run."""

from ....model.value import value
from ....ports.limit_messages import LimitVerdict
from .budget import Budget
from .sliding_window_counter import SlidingWindowCounter

MIN_RETRY_SECONDS = 0.3
"""Before that, nothing that made an owner or a node refuse can have changed: it is the time after
which a silent owner counts as out of reach."""

BORROW_RETRY_SECONDS = 0.05
"""Time after which a loan that has not come, or was too small, is asked for again: word comes
within a few milliseconds, and questions wait for it."""


@value
class OwnerStatus:
    """What an owner may go by when it permits requests of a tenant.

    Parameters
    ----------
    is_primary
        Whether it is the primary owner; else it is the second one.
    knows_window
        Whether it knows what ran in the last window, and what it permitted itself.
    is_alone
        Whether there is no other owner.
    window_known_in_seconds
        When it will know the window.
    """

    is_primary: bool
    knows_window: bool
    is_alone: bool
    window_known_in_seconds: float = 0.0


@value
class Permit:
    """Whether a request may run; if not, after which time one may."""

    verdict: LimitVerdict
    retry_after_seconds: float = 0.0


class TenantUsage:
    """Counts one tenant's requests at one of its owners.

    Parameters
    ----------
    window_seconds
        For how long a request counts.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self.counted = SlidingWindowCounter(window_seconds)
        """All that is known to run, whoever permitted it."""
        self.permitted_as_second = SlidingWindowCounter(window_seconds)
        """What was permitted as the second owner."""
        self._lent: list[tuple[float, int]] = []
        """How much was lent to the primary owner, each until it no longer counts."""
        self.loan = 0
        """How much the second owner has lent to this one, the primary."""
        self.loan_until = float("-inf")
        """Until when."""
        self.loan_requested_at = float("-inf")
        """When it was last asked for one."""
        self.loan_requested = 0
        """How much was asked for then."""
        self.loan_request_sent_at = float("-inf")
        """When the question left that the present loan answers."""
        self.hot_until = float("-inf")
        """Until when nodes were told to ask first."""

    @property
    def idle_from(self) -> float:
        """From when on nothing but the count keeps this from being forgotten."""
        lent_until = max((until for until, _ in self._lent), default=float("-inf"))
        return max(lent_until, self.loan_until + self._window_seconds, self.hot_until)

    def loan_at(self, now: float) -> int:
        """Return how much is lent to this owner."""
        return self.loan if now < self.loan_until else 0

    def awaits_loan(self, now: float) -> bool:
        """Whether word on a loan may still come."""
        is_answered = self.loan_request_sent_at >= self.loan_requested_at
        return not is_answered and now < self.loan_requested_at + BORROW_RETRY_SECONDS

    def should_borrow(self, loan: int, now: float) -> bool:
        """Whether to ask for so much: it is more than is lent, and was not just asked for."""
        if loan <= self.loan_at(now):
            return False
        is_in_vain = self.awaits_loan(now) or self.loan < self.loan_requested
        return not is_in_vain or now >= self.loan_requested_at + BORROW_RETRY_SECONDS

    def lend(self, wanted: int, budget: Budget, until: float, now: float) -> int:
        """Lend no more than what this owner has not permitted itself; return how much."""
        free = int(budget.second_without_lending) - self.permitted_as_second.total(now)
        loan = max(0, min(wanted, budget.lendable, free))
        self._lent = [item for item in self._lent if item[0] > now]
        self._lent.append((until + self._window_seconds, loan))
        return loan

    def add(self, requests: int, now: float) -> None:
        """Take in requests that run; less than 0: so many ran nowhere."""
        if requests < 0:
            self.counted.remove(-requests)
        elif requests > 0:
            self.counted.add(requests, now)

    def permit(self, budget: Budget, status: OwnerStatus, now: float) -> Permit:
        """Count one more request if it may run."""
        permit = self._evaluate(budget, status, now)
        if permit.verdict is LimitVerdict.GRANTED:
            self.counted.add(1, now)
            if not status.is_primary:
                self.permitted_as_second.add(1, now)
        return permit

    def _evaluate(self, budget: Budget, status: OwnerStatus, now: float) -> Permit:
        if self.counted.total(now) + 1 > budget.primary_with_full_loan:
            seconds = self.counted.seconds_until_capacity(budget.primary_with_full_loan, now)
            return Permit(LimitVerdict.OVER, seconds)
        if status.is_primary:
            return self._as_primary(budget, status, now)
        return self._as_second(budget, status, now)

    def _as_primary(self, budget: Budget, status: OwnerStatus, now: float) -> Permit:
        limit = self._primary_limit(budget, status, now)
        if self.counted.total(now) + 1 <= limit:
            return Permit(LimitVerdict.GRANTED)
        if not status.knows_window:
            return Permit(LimitVerdict.ELSEWHERE, status.window_known_in_seconds)
        return Permit(LimitVerdict.ELSEWHERE, MIN_RETRY_SECONDS)

    def _primary_limit(self, budget: Budget, status: OwnerStatus, now: float) -> float:
        if not status.knows_window:
            return budget.primary_without_window
        if status.is_alone:
            return budget.primary_with_full_loan
        loan = self.loan_at(now)
        return budget.primary_with_loan(loan) if loan else budget.primary_without_loan

    def _as_second(self, budget: Budget, status: OwnerStatus, now: float) -> Permit:
        if not status.knows_window:
            return Permit(LimitVerdict.ELSEWHERE, status.window_known_in_seconds)
        lent = max((loan for until, loan in self._lent if until > now), default=0)
        limit = budget.second_with_lent(lent) if lent else budget.second_without_lending
        if self.permitted_as_second.total(now) + 1 <= limit:
            return Permit(LimitVerdict.GRANTED)
        return Permit(
            LimitVerdict.ELSEWHERE, self.permitted_as_second.seconds_until_capacity(limit, now)
        )
