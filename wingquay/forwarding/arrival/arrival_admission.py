"""Runs the admission checks for an arriving request in their fixed order.

The proof of the configuration is checked first, since a key that is newer than the configuration
must not be rejected as unknown. The key is checked next. The tenant's limit is checked last, since
that check counts the request.
"""

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant, TenantDirectory
from ...ports.forwarding import ForwardFailureKind
from ..knowledge.configuration_proof import AlwaysProven
from .admission import Admitted, AwaitsLimit, ConfigurationProof, Rejected, TenantLimits
from .admit_all import NoLimits
from .authentication import authenticate

UNPROVEN_REASON = "the configuration may be too old to authenticate the key"


class ArrivalAdmission:
    """Checks the freshness of the configuration, the key and the tenant's limit."""

    def __init__(self) -> None:
        self.proof: ConfigurationProof = AlwaysProven()
        """Proof that the configuration is in force; replaced when the node is assembled."""
        self.limits: TenantLimits = NoLimits()
        """Counts the requests of tenants; replaced once a configuration contains limits."""

    def identify_caller(
        self, key: str, table: RoutingTable, route: Route, now: float
    ) -> Tenant | Rejected | None:
        """Return the calling tenant.

        ``None`` means that the configuration or the route requires no key.
        """
        tenants = table.tenants
        if tenants is None or route.is_public:
            return None
        return self._authenticate(key, tenants, now)

    def _authenticate(self, key: str, tenants: TenantDirectory, now: float) -> Tenant | Rejected:
        if self.proof.is_proven(now):
            return authenticate(key, tenants)
        seconds = self.proof.retry_after_seconds(now)
        return Rejected(ForwardFailureKind.NOT_RUN, UNPROVEN_REASON, seconds)

    def admit(
        self, tenant: Tenant, exchange_id: int, now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Count a request of a tenant, or return why it may not start now."""
        return self.limits.admit(tenant, exchange_id, now)

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Undo the count of a request that has run on no replica and will not."""
        self.limits.give_back(tenant, exchange_id, now)
