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
"""Share of the spare that is permitted on top of the allowance. Network jitter can make a caller
that keeps its limit seem to exceed it by a request or two."""
UNLENT_SHARE = 0.15
"""Share of the spare that the second owner never lends, so that it can still permit requests when a
network partition separates it from the primary."""
UNKNOWN_WINDOW_SHARE = 0.45
"""Share of the spare that a primary owner permits while the requests of the last window are not
known to it. It is the largest share because nothing else is permitted in that time."""
RESERVE_SHARE = 0.10
"""Share of the spare that all nodes without a reachable owner permit together."""
UNREPORTED_SHARE = 1.0 - JITTER_SHARE - UNLENT_SHARE - UNKNOWN_WINDOW_SHARE - RESERVE_SHARE
"""Share of the spare for requests that start without a permit and are not reported yet when a link
breaks or an owner crashes."""
PRIMARY_SHARE = 0.6
"""Share of the divisible requests that the primary owner permits without a loan. It is above one
half so that only hot tenants need a loan."""

LOAN_THRESHOLD = 0.85
"""Share of what the primary may permit at which it borrows more, so that a loan arrives before the
rest is used up."""
LOAN_STEPS = 4
"""Number of steps in which the second owner's part is lent. Lent requests are unavailable behind a
network partition for a window, so the primary borrows no more than it needs."""


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
    def primary_with_full_loan(self) -> float:
        """Requests that the primary permits with all that the second owner can lend."""
        return self.allowance + JITTER_SHARE * self.spare

    @property
    def primary_without_loan(self) -> float:
        """Requests that the primary permits without a loan."""
        return self._divisible - self.second_without_lending

    @property
    def second_without_lending(self) -> float:
        """Requests that the second owner permits if it lends nothing."""
        return max((1.0 - PRIMARY_SHARE) * self._divisible, self.second_unlendable)

    @property
    def second_unlendable(self) -> float:
        """Requests that the second owner never lends."""
        return UNLENT_SHARE * self.spare

    @property
    def lendable(self) -> int:
        """Requests that the second owner can lend."""
        return int(self.second_without_lending - self.second_unlendable)

    def primary_with_loan(self, loan: int) -> float:
        """Return the number of requests that the primary permits with a loan of the given size."""
        return (
            self.primary_with_full_loan
            if loan >= self.lendable
            else self.primary_without_loan + loan
        )

    def second_with_lent(self, lent: int) -> float:
        """Return the number of requests that the second owner permits after it has lent some."""
        return (
            self.second_unlendable if lent >= self.lendable else self.second_without_lending - lent
        )

    def required_loan(self, counted: int) -> int:
        """Return the loan that the primary needs when the given number of requests count."""
        for step in range(LOAN_STEPS):
            loan = math.ceil(self.lendable * step / LOAN_STEPS)
            if counted < LOAN_THRESHOLD * self.primary_with_loan(loan):
                return loan
        return self.lendable

    @property
    def primary_without_window(self) -> float:
        """Requests that a primary permits while the last window is not known to it."""
        return UNKNOWN_WINDOW_SHARE * self.spare

    @property
    def reserve_nodes(self) -> int:
        """Number of nodes that may each start one request without a permit."""
        return int(RESERVE_SHARE * self.spare)

    @property
    def _divisible(self) -> float:
        return self.allowance + (JITTER_SHARE + UNLENT_SHARE) * self.spare


def compute_budget(tenant: Tenant, settings: LimitSettings) -> Budget:
    """Return how a tenant's limit is divided."""
    allowance = tenant.requests_per_second * settings.window_seconds + tenant.burst
    return Budget(allowance, allowance * settings.overage + settings.slack)
