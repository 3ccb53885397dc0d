"""Whether an arrived request may be begun: by its key, by how current the keys are, by its limit.

The three questions are answered by parts of their own; this module states what they are asked and
what they answer.
"""

from typing import Protocol

from ...model.tenants import Tenant
from ...model.value import value
from ...ports.forwarding import ForwardFailureKind, OpaqueRequest


@value
class Admitted:
    """The request may be begun.

    Parameters
    ----------
    request
        What replicas and other nodes get of it.
    tenant
        Who calls; ``None``: replicas are told nobody.
    """

    request: OpaqueRequest
    tenant: Tenant | None = None


@value
class Rejected:
    """The request has run nowhere and never will.

    Parameters
    ----------
    retry_after_seconds
        When it may be tried again; ``None``: it would be rejected again.
    """

    kind: ForwardFailureKind
    reason: str
    retry_after_seconds: float | None = None


@value
class AwaitsLimit:
    """Another node is asked whether the tenant has requests left; its answer goes on with it."""


class ConfigurationProof(Protocol):
    """Knows until when the configuration that this node goes by is proven to be in force."""

    def is_proven(self, now: float) -> bool:
        """Whether no key that callers show may have been taken away for too long."""
        ...

    def retry_after_seconds(self, now: float) -> float:
        """Return after which time the node may know again."""
        ...


class TenantLimits(Protocol):
    """Counts the requests of tenants over all nodes."""

    def admit(
        self, tenant: Tenant, exchange_id: int, now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Count a request, or say why it may not run now."""
        ...

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Take back a request that has run on no replica and never will."""
        ...
