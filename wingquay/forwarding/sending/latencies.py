"""Latencies of attempts by route, and the delay after which an attempt is hedged."""

from ...model.routing_table import Route
from ...routing.latency_tracker import LatencyTracker
from ..settings import ForwardingSettings

PERIOD_SECONDS = 10.0
MIN_SAMPLES = 40
MEDIAN = 0.5
WORK_WEIGHT = 0.1
"""How far one attempt moves the work that is expected: replicas of one service differ by half, and
a caller is to be told its time by the usual one."""
MIN_WORK_SECONDS = 0.0005
"""Work in seconds that is expected at least: below it callers feel the network, not the work."""
DEFAULT_WORK_RATIO = 0.1
"""Work that is expected before an attempt was seen, as a share of the objective: rather too little,
since a caller that is rejected for a line that moves faster than thought has lost its answer."""


class RouteLatencies:
    """Recent latencies of each route's attempts."""

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._trackers: dict[str, LatencyTracker] = {}
        self._work_seconds: dict[str, float] = {}

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
        return None if tracker is None else tracker.quantile_seconds(MEDIAN, MIN_SAMPLES)

    def record_work(self, route: Route, seconds: float) -> None:
        """Take in how long a replica worked on an attempt, as far as it did not wait there."""
        seconds = max(seconds, MIN_WORK_SECONDS)
        known = self._work_seconds.get(route.name, seconds)
        self._work_seconds[route.name] = known + WORK_WEIGHT * (seconds - known)

    def work_seconds(self, route: Route) -> float:
        """Return how long a replica is expected to work on a request."""
        seen = self._work_seconds.get(route.name)
        if seen is None:
            seen = self.median_seconds(route)
        return route.objective_seconds * DEFAULT_WORK_RATIO if seen is None else seen

    def hedge_seconds(self, route: Route) -> float:
        """Return the time after which an attempt takes too long."""
        settings = self._settings
        median = self.median_seconds(route)
        if median is None:
            return route.objective_seconds * settings.hedge_initial_ratio
        tracker = self._trackers[route.name]
        slow = tracker.quantile_seconds(settings.hedge_quantile, MIN_SAMPLES) or median
        delay = max(slow, median * settings.hedge_min_factor)
        return min(delay, route.objective_seconds * settings.hedge_max_ratio)

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Forget routes that a new configuration does not have."""
        names = {route.name for route in routes}
        for name in [name for name in self._trackers if name not in names]:
            del self._trackers[name]
        for name in [name for name in self._work_seconds if name not in names]:
            del self._work_seconds[name]
