"""How what may run of a tenant is divided, so that no cut of the fleet lets more run than allowed.

The bound is the allowance (what callers were promised) and a spare on top. Two owners divide the
whole but for what stands aside for restarts, for nodes that reach no owner, and for what is under
way, as `docs/design/limits-over-nodes.md` proves. Every part is a number of requests in a window.
"""

from ....model.tenants import Tenant
from ....model.value import value
from .limit_settings import LimitSettings

JITTER_PART = 0.10
"""Of the spare, permitted on top of the allowance: the way from caller to node takes a few
milliseconds more or less, so callers that keep their limit seem to exceed it by a request or two.
A refusal within the limit costs a caller more than one request beyond it costs anybody."""
APART_PART = 0.15
"""Of the spare: what the second owner may still permit while its own part is lent. The other side
of a cut lives on it for the first window, which concerns tenants that were hot just then."""
FRESH_PART = 0.45
"""Of the spare: what a primary owner permits while it cannot know the last window. All nodes may
have been killed right after a whole allowance ran. It is the largest part, since it is all that
tenants get then."""
RESERVE_PART = 0.10
"""Of the spare: what nodes that reach no owner permit together. More would go to single nodes that
are cut off, which serve few callers."""
UNDER_WAY_PART = 1.0 - JITTER_PART - APART_PART - FRESH_PART - RESERVE_PART
"""Of the spare: begun at once and not told yet when a link breaks, and lost with an owner that
ends: what arrives within the time of silence."""
PRIMARY_SHARE = 0.6
"""Part of the divided whole that the primary owner may permit without the other's word. Above one
half: a tenant that is not hot never needs a loan."""

LOAN_FROM = 0.85
"""Part of what the primary may permit alone from which on it borrows the rest. While a part is lent,
and for a window after, its owner can serve few behind a cut, so it is borrowed when it is needed
only; what is left lasts for the millisecond or two until it comes, at 1,000 requests a second of a
tenant of 50 in 5 s."""


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
    def most(self) -> float:
        """What may run at all."""
        return self.allowance + self.spare

    @property
    def whole(self) -> float:
        """What a primary owner permits that has the other's part, too."""
        return self.allowance + JITTER_PART * self.spare

    @property
    def primary_alone(self) -> float:
        """What a primary owner permits without the other's word."""
        return self._divided - self.second_alone

    @property
    def second_alone(self) -> float:
        """What the second owner permits in its own right if nothing of that is lent."""
        return max((1.0 - PRIMARY_SHARE) * self._divided, self.second_apart)

    @property
    def second_apart(self) -> float:
        """What the second owner permits in its own right even though its part is lent."""
        return APART_PART * self.spare

    @property
    def fresh(self) -> float:
        """What a primary owner permits that cannot know the last window."""
        return FRESH_PART * self.spare

    @property
    def reserves(self) -> int:
        """How many nodes may let one request run without asking anybody."""
        return int(RESERVE_PART * self.spare)

    @property
    def _divided(self) -> float:
        return self.allowance + (JITTER_PART + APART_PART) * self.spare


def budget_of(tenant: Tenant, settings: LimitSettings) -> Budget:
    """Return the parts of a tenant's bound."""
    allowance = tenant.requests_per_second * settings.window_seconds + tenant.burst
    return Budget(allowance, allowance * settings.overage + settings.slack)
