"""Events by which the forwarding machine wakes itself."""

from ..model.value import value
from ..ports.machine import Event


@value
class HedgeDue(Event):
    """Look whether attempts of an exchange take too long."""

    exchange_id: int


@value
class CutoffDue(Event):
    """An answer that is enough must leave now to be in time."""

    exchange_id: int


@value
class ExchangeEndDue(Event):
    """The time of an exchange is over."""

    exchange_id: int


@value
class RetryDue(Event):
    """Try again the calls of an exchange that wait for a replica."""

    exchange_id: int


@value
class LimitAnswerDue(Event):
    """Refuse a request that still waits for word on its tenant's limit."""

    exchange_id: int


@value
class ReportDue(Event):
    """Tell the node that waits for an exchange what is in so far."""

    exchange_id: int


@value
class DelegationDue(Event):
    """Look whether a node that was asked for shards has said anything."""

    delegation_id: int


@value
class PeerConnectDue(Event):
    """Open connections to other nodes that requests will need."""


@value
class AbandonDue(Event):
    """Cancel an attempt that nobody waits for, if it still runs."""

    attempt_id: int


@value
class ReconnectDue(Event):
    """Try whether a connection to a life of a replica that was out of reach comes up."""

    incarnation: str


@value
class BeginDue(Event):
    """Start the calls of an exchange that are left to this node.

    They wait for one turn of the event loop, so that the messages to other nodes leave before: to
    send 20 parts takes a weak machine some 20 ms, in which the others could have begun.
    """

    exchange_id: int


@value
class CrashNewsDue(Event):
    """Tell other nodes that replicas ended under a request, unless it was cleared meanwhile."""

    identity: bytes


@value
class LimitReportDue(Event):
    """Tell an owner of tenants which requests were begun."""

    node_id: str


@value
class LimitAckDue(Event):
    """Look whether an owner of tenants has acknowledged what it was told."""

    node_id: str
    sequence: int


@value
class LimitProbeDue(Event):
    """Try to reach an owner of tenants again."""

    node_id: str


@value
class LimitRequestDue(Event):
    """Look whether the owner that was asked for a request has answered."""

    ask_id: int


@value
class LimitRefreshDue(Event):
    """Borrow again what tenants near their limits need, and forget what is over."""
