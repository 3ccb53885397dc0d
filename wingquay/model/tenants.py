"""Tenants of the configuration, with their keys and request limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .value import value


@value
class Tenant:
    """A customer whose callers authenticate with one of its keys.

    Parameters
    ----------
    keys
        Secrets presented by callers, as configured. They never leave the node.
    priority
        Overrides the route's priority; ``None``: no override. 0 is the most urgent.
    requests_per_second, burst
        Limit over all nodes together: sustained rate and the number of requests allowed on top. A
        rate of 0 means no limit.
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
        """Index the tenants by key and name."""
        by_key = {key: tenant for tenant in self.tenants for key in tenant.keys}
        object.__setattr__(self, "_by_key", by_key)
        object.__setattr__(self, "by_name", {tenant.name: tenant for tenant in self.tenants})

    @property
    def is_limited(self) -> bool:
        """Whether any tenant has a request limit."""
        return any(tenant.requests_per_second > 0 for tenant in self.tenants)

    def find_by_key(self, key: str) -> Tenant | None:
        """Return the tenant with a key, or ``None``."""
        return self._by_key.get(key)
