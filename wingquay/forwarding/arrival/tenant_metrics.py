"""Request counters by tenant, with a bounded number of label values."""

from ...ports.machine import Count

MAX_LABELLED_TENANTS = 100
"""Maximum number of tenants with their own label value."""
MIN_LABELLED_REQUESTS = 10
"""Number of requests after which a tenant receives its own label value."""
OTHER = "other"
"""Label value for tenants without a label value of their own."""
NO_TENANT = "none"
"""Label value for requests without a known tenant."""


class TenantMetrics:
    """Counts requests by tenant and outcome."""

    def __init__(self) -> None:
        self._labelled: set[str] = set()
        self._requests: dict[str, int] = {}

    def count(self, tenant: str, outcome: str) -> Count:
        """Return the action that counts one request.

        Parameters
        ----------
        tenant
            Name of the tenant; empty if it is not known.
        """
        labels = (("tenant", self._label(tenant)), ("outcome", outcome))
        return Count("tenant_requests_total", labels=labels)

    def keep_only(self, names: set[str]) -> None:
        """Drop the request counts of tenants that are not in the new configuration."""
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
