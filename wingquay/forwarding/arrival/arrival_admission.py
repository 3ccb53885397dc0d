"""Asks, in their order, the questions that decide whether an arrived request may be begun.

First whether the configuration is proven, since a key that may be newer than it must not be called
unknown; then who holds the key; last, once nothing else can refuse the request, whether its tenant
has requests left.
"""

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant, TenantDirectory
from ...ports.forwarding import ForwardFailureKind
from ..knowledge.configuration_proof import AlwaysProven
from .admission import Admitted, AwaitsLimit, ConfigurationProof, Rejected, TenantLimits
from .authentication import authenticate
from .no_limits import NoLimits

UNPROVEN_REASON = "the configuration may be too old to tell whose key is shown"


class ArrivalAdmission:
    """Decides by key, by how current the keys are, and by the tenant's limit."""

    def __init__(self) -> None:
        self.proof: ConfigurationProof = AlwaysProven()
        """Knows whether the configuration is in force; replaced by whoever composes the node."""
        self.limits: TenantLimits = NoLimits()
        """Counts requests of tenants; replaced by whoever composes the node."""

    def identify_caller(
        self, key: str, table: RoutingTable, route: Route, now: float
    ) -> Tenant | Rejected | None:
        """Return who calls; ``None``: the configuration or the route asks nobody."""
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
        """Count a request of a tenant, or say why it may not run now."""
        return self.limits.admit(tenant, exchange_id, now)

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Take back a counted request that has run on no replica and never will."""
        self.limits.give_back(tenant, exchange_id, now)
