"""Usage of one tenant as stored at an owner, and whether one more request may run."""

from ....model.value import value
from ....ports.limit_messages import LimitVerdict
from .budget import Budget
from .sliding_window_counter import SlidingWindowCounter

MIN_RETRY_SECONDS = 0.3
"""Minimum retry time; the time in which an unreachable owner is detected."""

BORROW_RETRY_SECONDS = 0.05
"""Time after which a loan that is missing or too small is requested again."""


@value
class OwnerStatus:
    """Role of an owner for a tenant, and whether its records are complete.

    Parameters
    ----------
    is_primary
        Whether it is the primary owner, else the second one.
    has_complete_records
        Whether it has the records of the last window, including its own permits.
    is_alone
        Whether there is no other owner.
    window_known_in_seconds
        Time until it has the records of a whole window.
    """

    is_primary: bool
    has_complete_records: bool
    is_alone: bool
    window_known_in_seconds: float = 0.0


@value
class PermitDecision:
    """Whether a request may run, and otherwise the time until a retry can succeed."""

    verdict: LimitVerdict
    retry_after_seconds: float = 0.0


class TenantUsage:
    """Counts the requests of one tenant at one of its owners.

    Parameters
    ----------
    window_seconds
        Time for which a request counts.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self.counted = SlidingWindowCounter(window_seconds)
        """All reported and permitted requests, whichever owner permitted them."""
        self.permitted_as_second = SlidingWindowCounter(window_seconds)
        """Requests that count against the second owner's part: those it permitted, and those
        charged to it when the primary became unreachable."""
        self._lent: list[tuple[float, int]] = []
        """Loans to the primary owner, each with the time until which it reduces the own part."""
        self.loan = 0
        """Number of requests that the second owner has lent to this node as the primary."""
        self.loan_until = float("-inf")
        """Expiry of the current loan."""
        self.last_loan_request_at = float("-inf")
        """When a larger loan was last requested."""
        self.loan_requested = 0
        """Size of the last requested loan."""
        self.current_loan_requested_at = float("-inf")
        """When the request that led to the current loan was sent."""
        self.hot_until = float("-inf")
        """Time until which requests of this tenant need a permit first."""

    @property
    def idle_from(self) -> float:
        """Time from which on this record can be dropped if it counts no requests."""
        lent_until = max((until for until, _ in self._lent), default=float("-inf"))
        return max(lent_until, self.loan_until + self._window_seconds, self.hot_until)

    def loan_at(self, now: float) -> int:
        """Return the number of requests lent to this owner."""
        return self.loan if now < self.loan_until else 0

    def awaits_loan(self, now: float) -> bool:
        """Return whether the reply to a loan request is still pending."""
        is_answered = self.current_loan_requested_at >= self.last_loan_request_at
        return not is_answered and now < self.last_loan_request_at + BORROW_RETRY_SECONDS

    def should_borrow(self, loan: int, now: float) -> bool:
        """Return whether to request a loan: it is larger than the current one and not pending."""
        if loan <= self.loan_at(now):
            return False
        is_repeat = self.awaits_loan(now) or self.loan < self.loan_requested
        return not is_repeat or now >= self.last_loan_request_at + BORROW_RETRY_SECONDS

    def lend(self, wanted: int, budget: Budget, until: float, now: float) -> int:
        """Lend requests that this owner has not permitted itself; return their number."""
        free = int(budget.second_limit_no_loan) - self.permitted_as_second.total(now)
        loan = max(0, min(wanted, budget.lendable, free))
        self._lent = [item for item in self._lent if item[0] > now]
        self._lent.append((until + self._window_seconds, loan))
        return loan

    def add(self, requests: int, now: float) -> None:
        """Count requests; a negative number removes requests that have not run."""
        if requests < 0:
            self.counted.remove(-requests)
        elif requests > 0:
            self.counted.add(requests, now)

    def permit(self, budget: Budget, status: OwnerStatus, now: float) -> PermitDecision:
        """Count one more request if it may run."""
        permit = self._evaluate(budget, status, now)
        if permit.verdict is LimitVerdict.GRANTED:
            self.counted.add(1, now)
            if not status.is_primary:
                self.permitted_as_second.add(1, now)
        return permit

    def _evaluate(self, budget: Budget, status: OwnerStatus, now: float) -> PermitDecision:
        if self.counted.total(now) + 1 > budget.primary_limit_full_loan:
            seconds = self.counted.seconds_until_capacity(budget.primary_limit_full_loan, now)
            return PermitDecision(LimitVerdict.EXCEEDED, seconds)
        if status.is_primary:
            return self._permit_as_primary(budget, status, now)
        return self._permit_as_second(budget, status, now)

    def _permit_as_primary(self, budget: Budget, status: OwnerStatus, now: float) -> PermitDecision:
        limit = self._primary_limit(budget, status, now)
        if self.counted.total(now) + 1 <= limit:
            return PermitDecision(LimitVerdict.GRANTED)
        if not status.has_complete_records:
            return PermitDecision(LimitVerdict.OTHER_OWNER, status.window_known_in_seconds)
        return PermitDecision(LimitVerdict.OTHER_OWNER, MIN_RETRY_SECONDS)

    def _primary_limit(self, budget: Budget, status: OwnerStatus, now: float) -> float:
        if not status.has_complete_records:
            return budget.primary_limit_unknown_window
        if status.is_alone:
            return budget.primary_limit_full_loan
        loan = self.loan_at(now)
        return budget.primary_limit_with_loan(loan) if loan else budget.primary_limit_no_loan

    def _permit_as_second(self, budget: Budget, status: OwnerStatus, now: float) -> PermitDecision:
        if not status.has_complete_records:
            return PermitDecision(LimitVerdict.OTHER_OWNER, status.window_known_in_seconds)
        lent = max((loan for until, loan in self._lent if until > now), default=0)
        limit = budget.second_limit_after_lending(lent) if lent else budget.second_limit_no_loan
        if self.permitted_as_second.total(now) + 1 <= limit:
            return PermitDecision(LimitVerdict.GRANTED)
        return PermitDecision(
            LimitVerdict.OTHER_OWNER, self.permitted_as_second.seconds_until_capacity(limit, now)
        )
