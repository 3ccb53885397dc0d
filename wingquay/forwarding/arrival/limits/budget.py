"""Divides a tenant's limit among nodes so that a network partition cannot exceed it.

The bound is the allowance, which callers were promised, plus a spare. Parts of the spare are set
aside for restarts, for nodes that reach no owner and for requests not reported yet. The rest is
divided between the two owners of the tenant, the primary and the second one; the second owner lends
part of its requests to the primary. `docs/design/limits-over-nodes.md` contains the proof. All
values are numbers of requests per window.
"""

import math

from ....model.tenants import Tenant
from ....model.value import value
from .limit_settings import LimitSettings

JITTER_SHARE = 0.10
"""Share of the spare that is permitted on top of the allowance; covers network jitter. Callers that
keep their limit seem to exceed it by a request or two, and a rejection within the limit costs a
caller more than one request beyond it costs anybody."""
UNLENT_SHARE = 0.15
"""Share of the spare that the second owner never lends, so that it can still permit requests when a
network partition separates it from the primary."""
UNKNOWN_WINDOW_SHARE = 0.45
"""Share of the spare that a primary owner permits while the requests of the last window are unknown
to it. All nodes may have been killed right after a whole allowance ran. It is the largest share,
because tenants get nothing else until the window is known."""
RESERVE_SHARE = 0.10
"""Share of the spare for the reserve: requests of all nodes that reach no owner. It is small
because such nodes are cut off and serve few callers."""
UNREPORTED_SHARE = 1.0 - JITTER_SHARE - UNLENT_SHARE - UNKNOWN_WINDOW_SHARE - RESERVE_SHARE
"""Share of the spare for requests that start before a permit and are not reported yet when a link
breaks or an owner crashes."""
PRIMARY_SHARE = 0.6
"""Share of the divided requests that the primary owner permits without a loan. More than one half,
so that a tenant that is not hot never needs a loan."""

LOAN_THRESHOLD = 0.85
"""Share of what the primary may permit at which it borrows more, so that a loan arrives before the
rest is used up."""
LOAN_STEPS = 4
"""Number of steps in which the second owner's part is lent. The second owner cannot permit lent
requests until the loan and one window are over."""


@value
class Budget:
    """Requests that each owner of a tenant may permit per window.

    Parameters
    ----------
    allowance
        Requests per window that callers were promised.
    spare
        Requests per window that may run beyond the allowance.
    """

    allowance: float
    spare: float

    @property
    def max_requests(self) -> float:
        """Maximum number of requests that may run per window."""
        return self.allowance + self.spare

    @property
    def primary_limit_full_loan(self) -> float:
        """Requests that the primary permits with all that the second owner can lend."""
        return self.allowance + JITTER_SHARE * self.spare

    @property
    def primary_limit_no_loan(self) -> float:
        """Requests that the primary permits without a loan."""
        return self._divisible - self.second_limit_no_loan

    @property
    def second_limit_no_loan(self) -> float:
        """Requests that the second owner permits if it lends nothing."""
        return max((1.0 - PRIMARY_SHARE) * self._divisible, self.second_unlendable)

    @property
    def second_unlendable(self) -> float:
        """Requests that the second owner never lends."""
        return UNLENT_SHARE * self.spare

    @property
    def lendable(self) -> int:
        """Requests that the second owner can lend."""
        return int(self.second_limit_no_loan - self.second_unlendable)

    def primary_limit_with_loan(self, loan: int) -> float:
        """Return the number of requests that the primary permits with a loan of the given size."""
        return (
            self.primary_limit_full_loan
            if loan >= self.lendable
            else self.primary_limit_no_loan + loan
        )

    def second_limit_after_lending(self, lent: int) -> float:
        """Return the number of requests that the second owner permits after it has lent some."""
        return self.second_unlendable if lent >= self.lendable else self.second_limit_no_loan - lent

    def required_loan(self, counted: int) -> int:
        """Return the loan that the primary needs when the given number of requests count."""
        for step in range(LOAN_STEPS):
            loan = math.ceil(self.lendable * step / LOAN_STEPS)
            if counted < LOAN_THRESHOLD * self.primary_limit_with_loan(loan):
                return loan
        return self.lendable

    @property
    def primary_limit_unknown_window(self) -> float:
        """Requests that a primary permits while the last window is not known to it."""
        return UNKNOWN_WINDOW_SHARE * self.spare

    @property
    def reserve_nodes(self) -> int:
        """Number of nodes that may each start one request from the reserve."""
        return int(RESERVE_SHARE * self.spare)

    @property
    def _divisible(self) -> float:
        return self.allowance + (JITTER_SHARE + UNLENT_SHARE) * self.spare


def compute_budget(tenant: Tenant, settings: LimitSettings) -> Budget:
    """Return how a tenant's limit is divided."""
    allowance = tenant.requests_per_second * settings.window_seconds + tenant.burst
    return Budget(allowance, allowance * settings.overage + settings.slack)
