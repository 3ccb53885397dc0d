"""Whose turn it is to cause an extra arrival at a service, where callers are told apart.

The budget of extra arrivals is small, and a tenant whose burst fails would spend what the others'
requests have earned. So the next one is kept for the tenant that has had the fewest lately, if it
has just wanted one.
"""

from ...routing.decaying_rate import DecayingRate

WANT_SECONDS = 0.5
"""Seconds for which the next extra arrival is kept for a tenant that found the budget empty: half
the objective of the callers that wait longest for one; afterwards its request is over."""
HAD_SECONDS = 10.0
"""Time constant with which it is forgotten what a tenant has had: the window of the budget."""
MOST_TENANTS = 64
"""Tenants that are remembered: more than want extra arrivals of one service within a window."""


class ExtraTurns:
    """Follows which tenants have had extra arrivals at a service, and which have wanted one."""

    def __init__(self) -> None:
        self._had: dict[str, DecayingRate] = {}
        self._wanted_at: dict[str, float] = {}

    def is_turn_of(self, tenant: str, now: float) -> bool:
        """Whether no other tenant that has had fewer wants the next one."""
        if not self._wanted_at:
            return True
        own = self._rate(tenant, now)
        return not any(
            self._rate(other, now) < own
            for other, at in self._wanted_at.items()
            if other != tenant and now - at < WANT_SECONDS
        )

    def took(self, tenant: str, now: float) -> None:
        """Take in that a tenant has had one."""
        self._wanted_at.pop(tenant, None)
        if len(self._had) >= MOST_TENANTS:
            self._had = dict(list(self._had.items())[MOST_TENANTS // 2 :])
        self._had.setdefault(tenant, DecayingRate(HAD_SECONDS)).add(1.0, now)

    def wanted(self, tenant: str, now: float) -> None:
        """Take in that a tenant found the budget empty."""
        fresh = {other: at for other, at in self._wanted_at.items() if now - at < WANT_SECONDS}
        if tenant in fresh or len(fresh) < MOST_TENANTS:
            fresh[tenant] = now
        self._wanted_at = fresh

    def _rate(self, tenant: str, now: float) -> float:
        had = self._had.get(tenant)
        return 0.0 if had is None else had.per_second(now)
