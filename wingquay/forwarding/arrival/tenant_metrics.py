"""Counters by tenant, bounded in number whatever the configuration holds."""

from ...ports.machine import Count

MAX_LABELLED_TENANTS = 100
"""Tenants with counters of their own; each has one for each outcome, of 2,000 that are kept."""
MIN_LABELLED_REQUESTS = 10
"""Requests from which on a tenant has counters of its own: the busy ones come to that first."""
OTHER = "other"
"""Stands for all tenants without counters of their own."""
NO_TENANT = "none"
"""Stands for callers that are not known."""


class TenantMetrics:
    """Counts requests by tenant and by what was decided about them."""

    def __init__(self) -> None:
        self._labelled: set[str] = set()
        self._requests: dict[str, int] = {}

    def count(self, tenant: str, outcome: str) -> Count:
        """Return the counting of one request; an empty name stands for a caller not known."""
        labels = (("tenant", self._label(tenant)), ("outcome", outcome))
        return Count("tenant_requests_total", labels=labels)

    def keep_only(self, names: set[str]) -> None:
        """Forget requests of tenants that a new configuration does not have."""
        self._requests = {name: seen for name, seen in self._requests.items() if name in names}

    def _label(self, tenant: str) -> str:
        if not tenant:
            return NO_TENANT
        if tenant in self._labelled:
            return tenant
        if len(self._labelled) >= MAX_LABELLED_TENANTS:
            return OTHER
        seen = self._requests.get(tenant, 0) + 1
        if seen < MIN_LABELLED_REQUESTS:
            self._requests[tenant] = seen
            return OTHER
        self._requests.pop(tenant, None)
        self._labelled.add(tenant)
        return tenant
