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

MOST_COUNTED = 64
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
        self._lines: dict[str, FairQueue[ServiceCall]] = {}

    def __len__(self) -> int:
        """Return how many calls wait, at all services."""
        return sum(sum(1 for _ in line.waiting()) for line in self._lines.values())

    def add(self, call: ServiceCall, now: float) -> None:
        """Let a call wait, unless it does already."""
        if not call.is_queued:
            self._line(call.service).push(call, now)

    def charge(self, call: ServiceCall, now: float) -> None:
        """Take in that a call was sent without waiting.

        Callers that are all one share nothing, and parts of merged answers hardly ever wait: each
        request has one at every shard, which would all remember its tenant.
        """
        if not call.exchange.route.shards and call.exchange.tenant_name:
            self._line(call.service).charge(call, now)

    def has_any(self, service: str) -> bool:
        """Whether a call waits for the service."""
        line = self._lines.get(service)
        return line is not None and len(line) > 0 and any(True for _ in line.waiting())

    def keep_only(self, services: Container[str]) -> None:
        """Forget the services that a new configuration does not have and nothing waits for."""
        for service in [name for name in self._lines if name not in services]:
            if not self.has_any(service):
                del self._lines[service]

    def first(
        self, service: str, accepts: Callable[[ServiceCall], bool], now: float
    ) -> ServiceCall | None:
        """Take the first call that ``accepts`` agrees to out of line."""
        line = self._lines.get(service)
        if line is None:
            return None
        return line.pop(accepts, now, lambda call: self._can_be_in_time(call, now))

    def ahead_of(self, call: ServiceCall, now: float) -> int:
        """Return how many calls go before one at its service."""
        line = self._lines.get(call.service)
        if line is None or not len(line):
            return 0
        if len(line) > MOST_COUNTED:
            return line.ahead_of(call, now)
        return line.ahead_of(call, now, lambda other: self._can_be_in_time(other, now))

    def oldest_seconds(self, now: float) -> float:
        """Return how long the call has waited that came first."""
        lines = self._lines.values()
        arrivals = [call.exchange.arrived_at for line in lines for call in line.waiting()]
        return now - min(arrivals, default=now)

    def _can_be_in_time(self, call: ServiceCall, now: float) -> bool:
        exchange = call.exchange
        return now + self._latencies.work_seconds(exchange.route) <= exchange.cutoff_at

    def _line(self, service: str) -> FairQueue[ServiceCall]:
        line = self._lines.get(service)
        if line is None:
            line = FairQueue(self._place_of, MEMORY_SECONDS)
            self._lines[service] = line
        return line

    def _place_of(self, call: ServiceCall) -> QueuePlacement:
        exchange = call.exchange
        cost = self._latencies.work_seconds(exchange.route)
        return QueuePlacement(exchange.route.priority, exchange.tenant_name, cost=cost)
