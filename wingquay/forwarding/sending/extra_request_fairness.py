"""Whose turn it is to cause an extra arrival at a service, where callers are told apart.

The budget of extra arrivals is small, and a tenant whose burst fails would spend what the others'
requests have earned. So the next one is kept for the tenant that has had the fewest lately, if it
has just wanted one.
"""

from ...routing.decaying_rate import DecayingRate

REFUSAL_MEMORY_SECONDS = 0.5
"""Seconds for which the next extra arrival is kept for a tenant that found the budget empty: half
the objective of the callers that wait longest for one; afterwards its request is over."""
TAKEN_MEMORY_SECONDS = 10.0
"""Time constant with which it is forgotten what a tenant has had: the window of the budget."""
MAX_TENANTS = 64
"""Tenants that are remembered: more than want extra arrivals of one service within a window."""


class ExtraRequestFairness:
    """Follows which tenants have had extra arrivals at a service, and which have wanted one."""

    def __init__(self) -> None:
        self._taken: dict[str, DecayingRate] = {}
        self._refused_at: dict[str, float] = {}

    def may_take(self, tenant: str, now: float) -> bool:
        """Whether no other tenant that has had fewer wants the next one."""
        if not self._refused_at:
            return True
        own = self._rate(tenant, now)
        return not any(
            self._rate(other, now) < own
            for other, at in self._refused_at.items()
            if other != tenant and now - at < REFUSAL_MEMORY_SECONDS
        )

    def on_taken(self, tenant: str, now: float) -> None:
        """Take in that a tenant has had one."""
        self._refused_at.pop(tenant, None)
        if len(self._taken) >= MAX_TENANTS:
            self._taken = dict(list(self._taken.items())[MAX_TENANTS // 2 :])
        self._taken.setdefault(tenant, DecayingRate(TAKEN_MEMORY_SECONDS)).add(1.0, now)

    def on_refused(self, tenant: str, now: float) -> None:
        """Take in that a tenant found the budget empty."""
        fresh = {
            other: at for other, at in self._refused_at.items() if now - at < REFUSAL_MEMORY_SECONDS
        }
        if tenant in fresh or len(fresh) < MAX_TENANTS:
            fresh[tenant] = now
        self._refused_at = fresh

    def _rate(self, tenant: str, now: float) -> float:
        taken = self._taken.get(tenant)
        return 0.0 if taken is None else taken.per_second(now)
