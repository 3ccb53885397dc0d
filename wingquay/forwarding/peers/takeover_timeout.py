"""Time after which a node that has not acknowledged a delegation is considered lost."""

from ...model.routing_table import Route
from ..settings import ForwardingSettings

MEAN_WEIGHT = 0.1
"""Weight of a new value in the moving average."""


class TakeoverTimeout:
    """Adapts the takeover timeout to the typical acknowledgement time of nodes.

    If nodes are slow on average, a silent node is given more time, so that this node does not take
    over from all of them.

    Parameters
    ----------
    settings
        The timeout as a share of a route's objective and as a multiple of the average.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._mean_seconds = 0.0
        """Moving average of the acknowledgement time of all nodes; 0 before the first one."""

    def record(self, seconds: float) -> None:
        """Record the acknowledgement time of a node."""
        self._mean_seconds += MEAN_WEIGHT * (seconds - self._mean_seconds)

    def seconds(self, route: Route) -> float:
        """Return the time after which this node takes over."""
        settings = self._settings
        objective = route.objective_seconds
        default = objective * settings.delegate_takeover_ratio
        scaled = self._mean_seconds * settings.delegate_takeover_factor
        return max(default, min(scaled, objective * settings.delegate_takeover_max_ratio))
