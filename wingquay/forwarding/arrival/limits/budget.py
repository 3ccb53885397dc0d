"""How what may run of a tenant is divided, so that no cut of the fleet lets more run than allowed.

The bound is the allowance (what callers were promised) and a spare on top. Two owners divide the
whole but for what stands aside for restarts, for nodes that reach no owner, and for what is under
way, as `docs/design/limits-over-nodes.md` proves. Every part is a number of requests in a window.
"""

import math

from ....model.tenants import Tenant
from ....model.value import value
from .limit_settings import LimitSettings

JITTER_SHARE = 0.10
"""Of the spare, permitted on top of the allowance: the way from caller to node takes a few
milliseconds more or less, so callers that keep their limit seem to exceed it by a request or two.
A refusal within the limit costs a caller more than one request beyond it costs anybody."""
UNLENT_SHARE = 0.15
"""Of the spare: what the second owner does not lend. The other side of a cut lives on it for the
first window, for tenants that were at their limit just then."""
UNKNOWN_WINDOW_SHARE = 0.45
"""Of the spare: what a primary owner permits while it cannot know the last window. All nodes may
have been killed right after a whole allowance ran. It is the largest part, since it is all that
tenants get then."""
RESERVE_SHARE = 0.10
"""Of the spare: what nodes that reach no owner permit together. More would go to single nodes that
are cut off, which serve few callers."""
UNREPORTED_SHARE = 1.0 - JITTER_SHARE - UNLENT_SHARE - UNKNOWN_WINDOW_SHARE - RESERVE_SHARE
"""Of the spare: begun at once and not told yet when a link breaks, and lost with an owner that
ends: what arrives within the time of silence."""
PRIMARY_SHARE = 0.6
"""Part of the divided whole that the primary owner may permit without the other's word. Above one
half: a tenant that is not hot never needs a loan."""

LOAN_THRESHOLD = 0.85
"""Part of what the primary may permit from which on it borrows more. What is left lasts for the few
milliseconds until it comes: at 500 requests a second of a tenant of 50 in 5 s for 10 ms."""
LOAN_STEPS = 4
"""In so many steps the second owner's part is lent: what is lent cannot serve anybody behind a cut
for a window, so no more is borrowed than is needed."""


@value
class Budget:
    """The parts of one tenant's bound.

    Parameters
    ----------
    allowance
        Requests in a window that its callers were promised.
    spare
        How many more may run.
    """

    allowance: float
    spare: float

    @property
    def max_requests(self) -> float:
        """What may run at all."""
        return self.allowance + self.spare

    @property
    def primary_with_full_loan(self) -> float:
        """What a primary owner permits that has the other's part, too."""
        return self.allowance + JITTER_SHARE * self.spare

    @property
    def primary_without_loan(self) -> float:
        """What a primary owner permits without the other's word."""
        return self._divisible - self.second_without_lending

    @property
    def second_without_lending(self) -> float:
        """What the second owner permits in its own right if nothing of that is lent."""
        return max((1.0 - PRIMARY_SHARE) * self._divisible, self.second_unlendable)

    @property
    def second_unlendable(self) -> float:
        """What the second owner does not lend."""
        return UNLENT_SHARE * self.spare

    @property
    def lendable(self) -> int:
        """How many requests the second owner may lend."""
        return int(self.second_without_lending - self.second_unlendable)

    def primary_with_loan(self, loan: int) -> float:
        """Return what the primary permits with so much lent to it."""
        return (
            self.primary_with_full_loan
            if loan >= self.lendable
            else self.primary_without_loan + loan
        )

    def second_with_lent(self, lent: int) -> float:
        """Return what the second owner permits in its own right with so much lent by it."""
        return (
            self.second_unlendable if lent >= self.lendable else self.second_without_lending - lent
        )

    def required_loan(self, counted: int) -> int:
        """Return how much the primary needs lent when so many requests count."""
        for step in range(LOAN_STEPS):
            loan = math.ceil(self.lendable * step / LOAN_STEPS)
            if counted < LOAN_THRESHOLD * self.primary_with_loan(loan):
                return loan
        return self.lendable

    @property
    def primary_without_window(self) -> float:
        """What a primary owner permits that cannot know the last window."""
        return UNKNOWN_WINDOW_SHARE * self.spare

    @property
    def reserve_nodes(self) -> int:
        """How many nodes may let one request run without asking anybody."""
        return int(RESERVE_SHARE * self.spare)

    @property
    def _divisible(self) -> float:
        return self.allowance + (JITTER_SHARE + UNLENT_SHARE) * self.spare


def compute_budget(tenant: Tenant, settings: LimitSettings) -> Budget:
    """Return the parts of a tenant's bound."""
    allowance = tenant.requests_per_second * settings.window_seconds + tenant.burst
    return Budget(allowance, allowance * settings.overage + settings.slack)
