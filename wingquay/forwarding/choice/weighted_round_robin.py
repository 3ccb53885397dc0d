"""Distributes the requests of a route over its services in proportion to their weights.

Smooth weighted round robin, as in nginx: exact over every full round and evenly mixed within it.
The first round starts at a random point, so that nodes are not synchronized.
"""

import random
from dataclasses import dataclass

from ...model.routing_table import Route, WeightedService


@dataclass(slots=True)
class _RouteCredits:
    services: tuple[WeightedService, ...]
    credits: list[float]


class WeightedRoundRobin:
    """Keeps the position of each route in its round.

    Parameters
    ----------
    random_source
        Chooses where the first round of a route starts.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rounds: dict[tuple[str, str], _RouteCredits] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        current = self._round(route)
        total = 0.0
        for index, weighted in enumerate(services):
            current.credits[index] += weighted.weight
            total += weighted.weight
        best = max(range(len(services)), key=current.credits.__getitem__)
        current.credits[best] -= total
        return services[best].service

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Remove the rounds of routes that are not in a new configuration."""
        present = {(route.host, route.path_prefix) for route in routes}
        self._rounds = {key: state for key, state in self._rounds.items() if key in present}

    def _round(self, route: Route) -> _RouteCredits:
        key = (route.host, route.path_prefix)
        current = self._rounds.get(key)
        if current is None or current.services != route.services:
            credits = [weighted.weight * self._random.random() for weighted in route.services]
            current = _RouteCredits(route.services, credits)
            self._rounds[key] = current
        return current
