"""Admission without tenant limits."""

from ...model.tenants import Tenant
from ...ports.forwarding import OpaqueRequest
from .admission import Admitted, AwaitsLimit, Rejected

_ADMITTED = Admitted(OpaqueRequest(b"", b"", ()))


class NoLimits:
    """Implements tenant limits for nodes that enforce none."""

    def admit(
        self, _tenant: Tenant, _exchange_id: int, _now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Admit every request."""
        return _ADMITTED

    def give_back(self, _tenant: Tenant, _exchange_id: int, _now: float) -> None:
        """Do nothing, since nothing was counted."""
