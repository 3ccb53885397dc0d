"""What is asked about the limits of tenants where no other part answers: they never bind."""

from ...model.tenants import Tenant
from ...ports.forwarding import OpaqueRequest
from .admission import Admitted, AwaitsLimit, Rejected

_ADMITTED = Admitted(OpaqueRequest(b"", b"", ()))


class NoLimits:
    """A node that counts no tenant's requests."""

    def admit(
        self, _tenant: Tenant, _exchange_id: int, _now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Let every request run."""
        return _ADMITTED

    def give_back(self, _tenant: Tenant, _exchange_id: int, _now: float) -> None:
        """Take nothing back: nothing was counted."""
