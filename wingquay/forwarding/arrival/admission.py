"""Results and interfaces of the admission checks for arriving requests.

A request is admitted if its key is valid, if the configuration that lists the keys is fresh enough,
and if its tenant is within its limit. Other modules implement the checks.
"""

from typing import Protocol

from ...model.tenants import Tenant
from ...model.value import value
from ...ports.forwarding import ForwardFailureKind, OpaqueRequest


@value
class Admitted:
    """The request may start.

    Parameters
    ----------
    request
        The request as replicas and other nodes receive it; empty in decisions on the limit only.
    tenant
        The calling tenant; ``None`` if replicas receive no tenant, or in decisions on the limit
        only.
    """

    request: OpaqueRequest
    tenant: Tenant | None = None


@value
class Rejected:
    """The request has not run on any replica and will not.

    Parameters
    ----------
    retry_after_seconds
        Time after which a retry can succeed; ``None`` if a retry would be rejected as well.
    """

    kind: ForwardFailureKind
    reason: str
    retry_after_seconds: float | None = None


@value
class AwaitsLimit:
    """The decision depends on the reply of another node, which owns the tenant's limit."""


class ConfigurationProof(Protocol):
    """Evaluates whether the configuration of this node is proven to be in force."""

    def is_proven(self, now: float) -> bool:
        """Return whether the configuration is fresh enough to accept the keys in it."""
        ...

    def retry_after_seconds(self, now: float) -> float:
        """Return the time until the proof may be renewed, in seconds."""
        ...


class TenantLimits(Protocol):
    """Counts the requests of each tenant across all nodes."""

    def admit(
        self, tenant: Tenant, exchange_id: int, now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Count a request, or return why it may not start now."""
        ...

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Undo the count of a request that has run on no replica and will not."""
        ...
