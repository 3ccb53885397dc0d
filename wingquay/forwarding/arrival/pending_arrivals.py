"""Requests that wait for another node's decision on their tenant's limit.

The number and total size of waiting requests are bounded, so that an unresponsive node, or many
tenants near their limits, cannot exhaust memory. A request that does not fit is refused while its
caller still has time to retry.
"""

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant
from ...model.value import value
from ...ports.forwarding import ForwardRequested

MAX_PENDING = 1_000
"""Maximum number of waiting requests. A reply takes some 10 ms, in which a node reads far fewer
requests."""
MAX_PENDING_BYTES = 8 * 1024 * 1024
"""Maximum total size of their bodies, in bytes. A node has 256 MB for all its work."""


@value
class Arrival:
    """An authenticated request for which nothing has been sent yet.

    Parameters
    ----------
    event
        The arrival, without the caller's key.
    table, route
        Configuration and route that apply until the request ends. The route has the tenant's
        priority.
    tenant
        The calling tenant; ``None`` if the route requires no key.
    arrived_at, sent_at
        When this node read the request, and when it would have read it without event loop lag.
    """

    event: ForwardRequested
    table: RoutingTable
    route: Route
    tenant: Tenant | None
    arrived_at: float
    sent_at: float


class PendingArrivals:
    """Stores waiting requests by exchange id."""

    def __init__(self) -> None:
        self._arrivals: dict[int, Arrival] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._arrivals)

    def add(self, arrival: Arrival) -> bool:
        """Store a request; return False if the bounds would be exceeded."""
        size = self._bytes + len(arrival.event.request.body)
        if len(self._arrivals) >= MAX_PENDING or size > MAX_PENDING_BYTES:
            return False
        self._arrivals[arrival.event.exchange_id] = arrival
        self._bytes = size
        return True

    def remove(self, exchange_id: int) -> Arrival | None:
        """Remove and return a request."""
        arrival = self._arrivals.pop(exchange_id, None)
        if arrival is not None:
            self._bytes -= len(arrival.event.request.body)
        return arrival

    def remove_all(self) -> list[Arrival]:
        """Remove and return all requests."""
        arrivals = list(self._arrivals.values())
        self._arrivals.clear()
        self._bytes = 0
        return arrivals
