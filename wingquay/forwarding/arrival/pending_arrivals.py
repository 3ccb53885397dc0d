"""Arrivals that wait for another node's word on their tenant's limit.

Answers the failure that such a node says nothing, or that many tenants are near their limits at
once: what waits is bounded in number and in bytes, and each arrival is refused, truly, while its
caller still has time for another try.
"""

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant
from ...model.value import value
from ...ports.forwarding import ForwardRequested

MAX_PENDING = 1_000
"""Arrivals; with some 10 ms for an answer that is far more than a node reads in that time."""
MAX_PENDING_BYTES = 8 * 1024 * 1024
"""Of their bodies: a node shares 256 MB among all that it does."""


@value
class Arrival:
    """A request whose caller is known, before anything was done for it.

    Parameters
    ----------
    event
        It, without its caller's secret.
    table, route
        What it goes by until its end; the route has the tenant's priority.
    tenant
        Who calls; ``None``: nobody is asked for.
    arrived_at, sent_at
        When this node read it, and when it could have done so had it not been late.
    """

    event: ForwardRequested
    table: RoutingTable
    route: Route
    tenant: Tenant | None
    arrived_at: float
    sent_at: float


class PendingArrivals:
    """Keeps arrivals by the node's number for them."""

    def __init__(self) -> None:
        self._arrivals: dict[int, Arrival] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._arrivals)

    def add(self, arrival: Arrival) -> bool:
        """Take in an arrival, unless too much waits already."""
        size = self._bytes + len(arrival.event.request.body)
        if len(self._arrivals) >= MAX_PENDING or size > MAX_PENDING_BYTES:
            return False
        self._arrivals[arrival.event.exchange_id] = arrival
        self._bytes = size
        return True

    def remove(self, exchange_id: int) -> Arrival | None:
        """Return an arrival and forget it."""
        arrival = self._arrivals.pop(exchange_id, None)
        if arrival is not None:
            self._bytes -= len(arrival.event.request.body)
        return arrival
