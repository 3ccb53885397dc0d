"""Timer events that the parts of a forwarding node schedule for themselves."""

from ..model.value import value
from ..ports.machine import Event


@value
class HedgeDue(Event):
    """Check an exchange for slow attempts that need a hedge."""

    exchange_id: int


@value
class CutoffDue(Event):
    """Send a partial answer that meets the minimum share: it must leave now to be in time."""

    exchange_id: int


@value
class ExchangeEndDue(Event):
    """End an exchange whose deadline has passed."""

    exchange_id: int


@value
class RetryDue(Event):
    """Retry the calls of an exchange that wait for a replica."""

    exchange_id: int


@value
class LimitAnswerDue(Event):
    """Reject a request that still waits for the answer on its tenant's limit."""

    exchange_id: int


@value
class ReportDue(Event):
    """Report the answers so far to the node that delegated an exchange."""

    exchange_id: int


@value
class DelegationDue(Event):
    """Check whether a delegate has replied."""

    delegation_id: int


@value
class PeerConnectDue(Event):
    """Open connections to other nodes and to replicas before requests need them."""


@value
class AbandonDue(Event):
    """Cancel an abandoned attempt if it is still in flight."""

    attempt_id: int


@value
class ReconnectDue(Event):
    """Test the connection to an incarnation of a replica that was unreachable."""

    incarnation: str


@value
class BeginDue(Event):
    """Begin the calls of an exchange that were not delegated.

    They wait for one iteration of the event loop, so that delegation messages are sent first.
    """

    exchange_id: int


@value
class CrashReportDue(Event):
    """Report the crashes of a request to other nodes unless it was cleared meanwhile."""

    identity: bytes


@value
class LimitReportDue(Event):
    """Report the begun requests of tenants to the owner of their limits."""

    node_id: str


@value
class LimitAckDue(Event):
    """Check whether an owner of tenant limits has acknowledged a report."""

    node_id: str
    sequence: int


@value
class LimitProbeDue(Event):
    """Try to reach an owner of tenant limits again."""

    node_id: str


@value
class LimitRequestDue(Event):
    """Check whether the owner of a tenant's limit has answered a permit query."""

    ask_id: int


@value
class LimitRefreshDue(Event):
    """Renew borrowed quota of tenants near their limits, and drop expired entries."""
