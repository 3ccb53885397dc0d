"""Latencies of attempts by route, and the hedge delays derived from them."""

from ...model.routing_table import Route
from ...routing.latency_tracker import LatencyTracker
from ..settings import ForwardingSettings

PERIOD_SECONDS = 10.0
MIN_SAMPLES = 40
MEDIAN = 0.5
WORK_WEIGHT = 0.1
"""EWMA weight of an attempt in the expected work time, small because replicas of one service differ
in speed."""
MIN_WORK_SECONDS = 0.0005
"""Lower bound of the expected work time; below it, the network dominates the latency."""
DEFAULT_WORK_RATIO = 0.1
"""Expected work time, as a fraction of the objective, of a route without measurements. It is low
because too high an estimate rejects requests that could be answered in time."""


class RouteLatencies:
    """Recent latencies of the attempts of each route."""

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._trackers: dict[str, LatencyTracker] = {}
        self._work_seconds: dict[str, float] = {}

    def record(self, route: Route, seconds: float, now: float) -> None:
        """Record the latency of an attempt, or its age if it was cancelled."""
        tracker = self._trackers.get(route.name)
        if tracker is None:
            tracker = LatencyTracker(PERIOD_SECONDS)
            self._trackers[route.name] = tracker
        tracker.record(seconds, now)

    def median_seconds(self, route: Route) -> float | None:
        """Return the median latency, or ``None`` while there are too few samples."""
        tracker = self._trackers.get(route.name)
        return None if tracker is None else tracker.quantile_seconds(MEDIAN, MIN_SAMPLES)

    def record_work(self, route: Route, seconds: float) -> None:
        """Record how long a replica worked on an attempt, without the time queued there."""
        seconds = max(seconds, MIN_WORK_SECONDS)
        current = self._work_seconds.get(route.name, seconds)
        self._work_seconds[route.name] = current + WORK_WEIGHT * (seconds - current)

    def work_seconds(self, route: Route) -> float:
        """Return the expected work time of a request at a replica."""
        measured = self._work_seconds.get(route.name)
        if measured is None:
            measured = self.median_seconds(route)
        return route.objective_seconds * DEFAULT_WORK_RATIO if measured is None else measured

    def hedge_seconds(self, route: Route) -> float:
        """Return the hedge delay: the time after which an attempt is overdue."""
        settings = self._settings
        median = self.median_seconds(route)
        if median is None:
            return route.objective_seconds * settings.hedge_initial_ratio
        tracker = self._trackers[route.name]
        quantile = tracker.quantile_seconds(settings.hedge_quantile, MIN_SAMPLES) or median
        delay = max(quantile, median * settings.hedge_min_factor)
        return min(delay, route.objective_seconds * settings.hedge_max_ratio)

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Remove the latencies of routes that are not in a new configuration."""
        names = {route.name for route in routes}
        for name in [name for name in self._trackers if name not in names]:
            del self._trackers[name]
        for name in [name for name in self._work_seconds if name not in names]:
            del self._work_seconds[name]
