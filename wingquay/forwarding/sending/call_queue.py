"""Queues of calls that wait for a replica, one for each service.

Calls are ordered by priority. Within a priority, calls that can still meet their cutoff precede
those that can't, and tenants are served fairly.
"""

from collections.abc import Callable, Container

from ...routing.fair_queue import FairQueue
from ...routing.queue_placement import QueuePlacement
from ..exchange import ServiceCall
from .latencies import RouteLatencies

MEMORY_SECONDS = 2.0
"""Time constant with which the work done for a tenant beyond its share is forgotten; about the
longest time that callers wait."""

MAX_COUNTED_CALLS = 64
"""Length of a queue up to which calls before another one are counted one by one, which is exact but
slow; the count is repeated about ten times a second for each waiting call."""


class CallQueue:
    """Queues waiting calls by service.

    Parameters
    ----------
    latencies
        Provide the expected work time of a call.
    """

    def __init__(self, latencies: RouteLatencies) -> None:
        self._latencies = latencies
        self._queues: dict[str, FairQueue[ServiceCall]] = {}

    def __len__(self) -> int:
        """Return the number of waiting calls of all services."""
        return sum(sum(1 for _ in queue.waiting()) for queue in self._queues.values())

    def add(self, call: ServiceCall, now: float) -> None:
        """Add a call to the queue of its service unless it is already queued."""
        if not call.is_queued:
            self._queue(call.service).push(call, now)

    def charge(self, call: ServiceCall, now: float) -> None:
        """Charge the tenant of a call that was sent without waiting.

        Anonymous calls are not charged, nor are sub-requests of merged answers, which rarely wait.
        """
        if not call.exchange.route.shards and call.exchange.tenant_name:
            self._queue(call.service).charge(call, now)

    def has_waiting(self, service: str) -> bool:
        """Whether a call waits for the service."""
        queue = self._queues.get(service)
        return queue is not None and len(queue) > 0 and any(True for _ in queue.waiting())

    def keep_only(self, services: Container[str]) -> None:
        """Remove empty queues of services that are not in a new configuration."""
        for service in [name for name in self._queues if name not in services]:
            if not self.has_waiting(service):
                del self._queues[service]

    def pop_first(
        self, service: str, accepts: Callable[[ServiceCall], bool], now: float
    ) -> ServiceCall | None:
        """Remove and return the first call that ``accepts`` returns true for."""
        queue = self._queues.get(service)
        if queue is None:
            return None
        return queue.pop(accepts, now, lambda call: self._can_meet_cutoff(call, now))

    def queued_before(self, call: ServiceCall, now: float) -> int:
        """Return the number of waiting calls of the same service that precede a call."""
        queue = self._queues.get(call.service)
        if queue is None or not len(queue):
            return 0
        if len(queue) > MAX_COUNTED_CALLS:
            return queue.queued_before(call, now)
        return queue.queued_before(call, now, lambda other: self._can_meet_cutoff(other, now))

    def oldest_wait_seconds(self, now: float) -> float:
        """Return the age of the oldest waiting call; 0 if no call waits."""
        queues = self._queues.values()
        arrivals = [call.exchange.arrived_at for queue in queues for call in queue.waiting()]
        return now - min(arrivals, default=now)

    def _can_meet_cutoff(self, call: ServiceCall, now: float) -> bool:
        exchange = call.exchange
        return now + self._latencies.work_seconds(exchange.route) <= exchange.cutoff_at

    def _queue(self, service: str) -> FairQueue[ServiceCall]:
        queue = self._queues.get(service)
        if queue is None:
            queue = FairQueue(self._placement_of, MEMORY_SECONDS)
            self._queues[service] = queue
        return queue

    def _placement_of(self, call: ServiceCall) -> QueuePlacement:
        exchange = call.exchange
        cost = self._latencies.work_seconds(exchange.route)
        return QueuePlacement(exchange.route.priority, exchange.tenant_name, cost=cost)
