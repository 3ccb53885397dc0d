"""The lines of calls that wait for a replica, one for each service.

The most urgent priority goes first. Within one, calls that can still be in time go before those
that cannot, and tenants share by what each has had lately, whatever it sends.
"""

from collections.abc import Callable, Container

from ...routing.fair_queue import FairQueue
from ...routing.queue_placement import QueuePlacement
from ..exchange import ServiceCall
from .latencies import RouteLatencies

MEMORY_SECONDS = 2.0
"""Time constant with which it is forgotten what a tenant has had beyond the others: about as long
as callers wait at most, so that one whose burst has just used the service stands behind those whose
callers came meanwhile, and one that was busy a minute ago does not."""

MAX_COUNTED_CALLS = 64
"""Calls of a line up to which each is looked at to tell how many go before one: each of them looks
some ten times a second, and the answers of replicas must not wait for that."""


class CallQueue:
    """Calls that wait.

    Parameters
    ----------
    latencies
        Tell how long attempts of a route usually take.
    """

    def __init__(self, latencies: RouteLatencies) -> None:
        self._latencies = latencies
        self._queues: dict[str, FairQueue[ServiceCall]] = {}

    def __len__(self) -> int:
        """Return how many calls wait, at all services."""
        return sum(sum(1 for _ in queue.waiting()) for queue in self._queues.values())

    def add(self, call: ServiceCall, now: float) -> None:
        """Let a call wait, unless it does already."""
        if not call.is_queued:
            self._queue(call.service).push(call, now)

    def charge(self, call: ServiceCall, now: float) -> None:
        """Take in that a call was sent without waiting.

        Callers that are all one share nothing, and parts of merged answers hardly ever wait: each
        request has one at every shard, which would all remember its tenant.
        """
        if not call.exchange.route.shards and call.exchange.tenant_name:
            self._queue(call.service).charge(call, now)

    def has_waiting(self, service: str) -> bool:
        """Whether a call waits for the service."""
        queue = self._queues.get(service)
        return queue is not None and len(queue) > 0 and any(True for _ in queue.waiting())

    def keep_only(self, services: Container[str]) -> None:
        """Forget the services that a new configuration does not have and nothing waits for."""
        for service in [name for name in self._queues if name not in services]:
            if not self.has_waiting(service):
                del self._queues[service]

    def pop_first(
        self, service: str, accepts: Callable[[ServiceCall], bool], now: float
    ) -> ServiceCall | None:
        """Take the first call that ``accepts`` agrees to out of line."""
        queue = self._queues.get(service)
        if queue is None:
            return None
        return queue.pop(accepts, now, lambda call: self._can_meet_cutoff(call, now))

    def queued_before(self, call: ServiceCall, now: float) -> int:
        """Return how many calls go before one at its service."""
        queue = self._queues.get(call.service)
        if queue is None or not len(queue):
            return 0
        if len(queue) > MAX_COUNTED_CALLS:
            return queue.queued_before(call, now)
        return queue.queued_before(call, now, lambda other: self._can_meet_cutoff(other, now))

    def oldest_wait_seconds(self, now: float) -> float:
        """Return how long the call has waited that came first."""
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
