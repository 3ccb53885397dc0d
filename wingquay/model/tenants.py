"""Callers as the configuration knows them: tenants, their keys and their limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .value import value


@value
class Tenant:
    """A customer whose callers show one of its keys.

    Parameters
    ----------
    keys
        Secrets that callers show, as the operator wrote them; they never leave the node.
    priority
        Takes the place of the route's priority; ``None``: the route's holds. 0 is the most urgent.
    requests_per_second, burst
        Requests that all nodes together run for the tenant: so many a second, and so many on top; a
        rate of 0: no limit.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    requests_per_second: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """The tenants of one configuration, indexed by key and by name."""

    tenants: tuple[Tenant, ...]
    by_name: Mapping[str, Tenant] = field(init=False, repr=False, compare=False)
    _by_key: dict[str, Tenant] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the tenants."""
        by_key = {key: tenant for tenant in self.tenants for key in tenant.keys}
        object.__setattr__(self, "_by_key", by_key)
        object.__setattr__(self, "by_name", {tenant.name: tenant for tenant in self.tenants})

    @property
    def is_limited(self) -> bool:
        """Whether the requests of any tenant are limited."""
        return any(tenant.requests_per_second > 0 for tenant in self.tenants)

    def find_by_key(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key."""
        return self._by_key.get(key)
