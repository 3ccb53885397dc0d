"""Divides the budget of extra requests of a service fairly among tenants.

The budget is small, and a tenant whose requests fail in a burst could use up what the requests of
other tenants have earned. The next extra request is therefore reserved for the tenant with the
fewest recent ones, among those that were recently refused one.
"""

from ...routing.decaying_rate import DecayingRate

REFUSAL_MEMORY_SECONDS = 0.5
"""Time for which the next extra request is reserved for a tenant that was refused one; later, the
request that needed it has ended."""
TAKEN_MEMORY_SECONDS = 10.0
"""Time constant with which the extra requests of a tenant are forgotten; the budget's window."""
MAX_TENANTS = 64
"""Maximum number of tenants that are remembered."""


class ExtraRequestFairness:
    """Tracks which tenants recently took extra requests of a service, and which were refused."""

    def __init__(self) -> None:
        self._taken: dict[str, DecayingRate] = {}
        self._refused_at: dict[str, float] = {}

    def may_take(self, tenant: str, now: float) -> bool:
        """Whether no recently refused tenant has taken fewer extra requests than this one."""
        if not self._refused_at:
            return True
        own = self._rate(tenant, now)
        return not any(
            self._rate(other, now) < own
            for other, at in self._refused_at.items()
            if other != tenant and now - at < REFUSAL_MEMORY_SECONDS
        )

    def on_taken(self, tenant: str, now: float) -> None:
        """Record that a tenant took an extra request."""
        self._refused_at.pop(tenant, None)
        if len(self._taken) >= MAX_TENANTS:
            self._taken = dict(list(self._taken.items())[MAX_TENANTS // 2 :])
        self._taken.setdefault(tenant, DecayingRate(TAKEN_MEMORY_SECONDS)).add(1.0, now)

    def on_refused(self, tenant: str, now: float) -> None:
        """Record that a tenant was refused an extra request."""
        fresh = {
            other: at for other, at in self._refused_at.items() if now - at < REFUSAL_MEMORY_SECONDS
        }
        if tenant in fresh or len(fresh) < MAX_TENANTS:
            fresh[tenant] = now
        self._refused_at = fresh

    def _rate(self, tenant: str, now: float) -> float:
        taken = self._taken.get(tenant)
        return 0.0 if taken is None else taken.per_second(now)
