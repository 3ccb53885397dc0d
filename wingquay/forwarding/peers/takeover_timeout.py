"""When a node that was asked for shards and has not said anything counts as lost."""

from ...model.routing_table import Route
from ..settings import ForwardingSettings

MEAN_WEIGHT = 0.1
"""How far one node that is heard moves the mean."""


class TakeoverTimeout:
    """Follows how long nodes usually take to say that they have taken a request.

    Where that is long, since their machines are weak, a silent one is given longer: to step in for
    all of them would make every node do all work by itself.

    Parameters
    ----------
    settings
        The time as a share of a route's objective, and in usual times.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._mean_seconds = 0.0
        """A moving mean over all nodes; 0 before anything was heard."""

    def record(self, seconds: float) -> None:
        """Take in how long a node took."""
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)

    def seconds(self, route: Route) -> float:
        """Return the time after which this node steps in."""
        settings = self._settings
        objective = route.objective_seconds
        default = objective * settings.delegate_takeover_ratio
        scaled = self._mean_seconds * settings.delegate_takeover_factor
        return max(default, min(scaled, objective * settings.delegate_takeover_max_ratio))
