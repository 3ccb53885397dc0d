"""What is asked about arrivals where no other part answers: always proven, never limited."""

from ...model.tenants import Tenant
from ...ports.forwarding import OpaqueRequest
from .admission import Admitted, AwaitsLimit, Rejected

_COUNTED = Admitted(OpaqueRequest(b"", b"", ()))


class AlwaysProven:
    """A node that states no bound for keys that were taken away."""

    def is_proven(self, _now: float) -> bool:
        """Say that the configuration is in force."""
        return True

    def retry_after_seconds(self, _now: float) -> float:
        """Return no time: nothing is awaited."""
        return 0.0


class NoLimits:
    """A node that counts no tenant's requests."""

    def admit(
        self, _tenant: Tenant, _exchange_id: int, _now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Let every request run."""
        return _COUNTED

    def give_back(self, _tenant: Tenant, _exchange_id: int, _now: float) -> None:
        """Take nothing back: nothing was counted."""
