"""Divides the requests of a route among its services in the proportions of their weights.

Smooth weighted round robin (as nginx describes it): exact over every full round, evenly mixed
within it. The first round begins at a random point, so that nodes do not move in step.
"""

import random
from dataclasses import dataclass

from ...model.routing_table import Route, WeightedService


@dataclass(slots=True)
class _Round:
    services: tuple[WeightedService, ...]
    credits: list[float]


class WeightedRoundRobin:
    """Keeps each route's place in its round.

    Parameters
    ----------
    random_source
        Chooses where a route's first round begins.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rounds: dict[tuple[str, str], _Round] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the route's next request goes to."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        current = self._round(route)
        total = 0.0
        for index, part in enumerate(services):
            current.credits[index] += part.weight
            total += part.weight
        best = max(range(len(services)), key=current.credits.__getitem__)
        current.credits[best] -= total
        return services[best].service

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Forget routes that a new configuration does not have."""
        present = {(route.host, route.path_prefix) for route in routes}
        self._rounds = {key: state for key, state in self._rounds.items() if key in present}

    def _round(self, route: Route) -> _Round:
        key = (route.host, route.path_prefix)
        current = self._rounds.get(key)
        if current is None or current.services != route.services:
            credits = [part.weight * self._random.random() for part in route.services]
            current = _Round(route.services, credits)
            self._rounds[key] = current
        return current
