"""What callers ask lately, and how much of it could be answered by replicas in some zones."""

import math
from collections.abc import Container

from ...model.routing_table import Route, RoutingTable
from ..choice.replica_directory import ReplicaDirectory

ASKED_MEMORY_SECONDS = 60.0
"""Time constant with which requests are forgotten. A node of a large fleet takes one in two or
three seconds: in ten seconds it sees too few to know what callers ask, so that the nodes of a zone
that was cut off judged apart (10 of 18 stayed), and half a zone that leaves helps nobody."""
SHARE_TOLERANCE = 1e-9


class RouteDemand:
    """Counts requests by route, each for less the longer ago it was."""

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._asked: dict[tuple[str, str], tuple[float, float]] = {}
        """Requests by route as of a moment, and the moment."""

    def count(self, route: Route, now: float) -> None:
        """Take in a request."""
        key = (route.host, route.path_prefix)
        self._asked[key] = (self._weight(key, now) + 1.0, now)

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Forget routes that a new configuration does not have."""
        present = {(route.host, route.path_prefix) for route in routes}
        self._asked = {key: asked for key, asked in self._asked.items() if key in present}

    def share(self, table: RoutingTable, zones_out: Container[str], now: float) -> float:
        """Return the share of what is asked that replicas outside of some zones can answer.

        All routes count alike when nothing was asked; without routes everything can be answered.
        """
        weights = [self._weight((route.host, route.path_prefix), now) for route in table.routes]
        if not any(weights):
            weights = [1.0] * len(weights)
        whole = sum(weights)
        if not whole:
            return 1.0
        held: dict[str, bool] = {}
        answered = 0.0
        for route, weight in zip(table.routes, weights, strict=True):
            if weight:
                answered += weight * self._part(route, zones_out, held, now)
        return answered / whole

    def _part(
        self, route: Route, zones_out: Container[str], held: dict[str, bool], now: float
    ) -> float:
        """Return the share of a route's requests that can be answered."""
        for service in route.all_services:
            if service not in held:
                zones = self._directory.zones_of(service, now)
                held[service] = any(zone not in zones_out for zone in zones)
        if route.shards:
            found = sum(held[shard] for shard in route.shards) / len(route.shards)
            return 1.0 if found >= route.min_share - SHARE_TOLERANCE else 0.0
        whole = sum(part.weight for part in route.services)
        if not whole:
            return 0.0
        return sum(part.weight for part in route.services if held[part.service]) / whole

    def _weight(self, key: tuple[str, str], now: float) -> float:
        requests, counted_at = self._asked.get(key, (0.0, now))
        return requests * math.exp(-(now - counted_at) / ASKED_MEMORY_SECONDS)
