"""Latencies of attempts by route, and the delay after which an attempt is hedged."""

from ...model.routing_table import Route
from ...routing.latency_tracker import LatencyTracker
from ..settings import ForwardingSettings

PERIOD_SECONDS = 10.0
FEWEST_SAMPLES = 40
MEDIAN = 0.5


class RouteLatencies:
    """Recent latencies of each route's attempts."""

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._trackers: dict[str, LatencyTracker] = {}

    def record(self, route: Route, seconds: float, now: float) -> None:
        """Take in how long an attempt took, or had taken when it was cancelled."""
        tracker = self._trackers.get(route.name)
        if tracker is None:
            tracker = LatencyTracker(PERIOD_SECONDS)
            self._trackers[route.name] = tracker
        tracker.record(seconds, now)

    def median_seconds(self, route: Route) -> float | None:
        """Return the usual latency, or ``None`` while too few were seen."""
        tracker = self._trackers.get(route.name)
        return None if tracker is None else tracker.quantile_seconds(MEDIAN, FEWEST_SAMPLES)

    def usual_seconds(self, route: Route) -> float:
        """Return how long an attempt usually takes; a share of the objective until that is seen."""
        median = self.median_seconds(route)
        if median is None:
            return route.objective_seconds * self._settings.hedge_initial_ratio
        return median

    def hedge_seconds(self, route: Route) -> float:
        """Return the time after which an attempt takes too long."""
        settings = self._settings
        median = self.median_seconds(route)
        if median is None:
            return route.objective_seconds * settings.hedge_initial_ratio
        tracker = self._trackers[route.name]
        slow = tracker.quantile_seconds(settings.hedge_quantile, FEWEST_SAMPLES) or median
        delay = max(slow, median * settings.hedge_least_factor)
        return min(delay, route.objective_seconds * settings.hedge_greatest_ratio)

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Forget routes that a new configuration does not have."""
        names = {route.name for route in routes}
        for name in [name for name in self._trackers if name not in names]:
            del self._trackers[name]
