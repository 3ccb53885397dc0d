"""Recent demand by route, and the share of it that replicas in some zones can answer."""

import math
from collections.abc import Container

from ...model.routing_table import Route, RoutingTable
from ..choice.replica_directory import ReplicaDirectory

DEMAND_DECAY_SECONDS = 60.0
"""Time constant of the exponential decay of request counts; long enough that the nodes of a zone
see similar demand even at few requests per node."""
SHARE_TOLERANCE = 1e-9


class RouteDemand:
    """Counts requests by route with exponential decay."""

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._requests: dict[tuple[str, str], tuple[float, float]] = {}
        """The decayed request count of each route, and the time of its last update."""

    def record(self, route: Route, now: float) -> None:
        """Count a request."""
        key = (route.host, route.path_prefix)
        self._requests[key] = (self._weight(key, now) + 1.0, now)

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Discard the routes that are not in the new configuration."""
        present = {(route.host, route.path_prefix) for route in routes}
        self._requests = {
            key: requests for key, requests in self._requests.items() if key in present
        }

    def share(self, table: RoutingTable, excluded_zones: Container[str], now: float) -> float:
        """Return the share of demand (0 to 1) that replicas outside the excluded zones can answer.

        Without any requests all routes have equal weight; without routes the share is 1.
        """
        weights = [self._weight((route.host, route.path_prefix), now) for route in table.routes]
        if not any(weights):
            weights = [1.0] * len(weights)
        total_weight = sum(weights)
        if not total_weight:
            return 1.0
        is_available: dict[str, bool] = {}
        answered = 0.0
        for route, weight in zip(table.routes, weights, strict=True):
            if weight:
                answered += weight * self._route_share(route, excluded_zones, is_available, now)
        return answered / total_weight

    def _route_share(
        self,
        route: Route,
        excluded_zones: Container[str],
        is_available: dict[str, bool],
        now: float,
    ) -> float:
        """Return the share of a route's requests that can be answered."""
        for service in route.all_services:
            if service not in is_available:
                zones = self._directory.zones_of(service, now)
                is_available[service] = any(zone not in excluded_zones for zone in zones)
        if route.shards:
            available_share = sum(is_available[shard] for shard in route.shards) / len(route.shards)
            return 1.0 if available_share >= route.min_share - SHARE_TOLERANCE else 0.0
        total_weight = sum(part.weight for part in route.services)
        if not total_weight:
            return 0.0
        return (
            sum(part.weight for part in route.services if is_available[part.service]) / total_weight
        )

    def _weight(self, key: tuple[str, str], now: float) -> float:
        requests, counted_at = self._requests.get(key, (0.0, now))
        return requests * math.exp(-(now - counted_at) / DEMAND_DECAY_SECONDS)
