"""When a merged answer leaves although shards are still missing.

An answer is worth the square of the share of shards that are in, and after the route's objective
only a small part of that. So what is in leaves just in time for the objective, if it is enough
for a success; after that, an answer leaves as soon as it is enough.
"""

from ...model.routing_table import Route
from ..settings import ForwardingSettings

SHARE_TOLERANCE = 1e-9


def compute_cutoff_seconds(
    route: Route, transit_seconds: float, settings: ForwardingSettings
) -> float:
    """Return the time after arrival at which an answer still reaches its caller in time.

    Parameters
    ----------
    transit_seconds
        Time that the caller spends on the network for the request, here and back.
    """
    objective = route.objective_seconds
    margin = settings.reply_margin_seconds + settings.reply_margin_ratio * objective
    margin += settings.reply_margin_shard_seconds * len(route.shards)
    return max(objective - margin - transit_seconds, objective / 2)


def meets_min_share(route: Route, answered_shards: int) -> bool:
    """Whether an answer of ``answered_shards`` shards is a success."""
    if answered_shards == 0:
        return False
    return answered_shards / len(route.shards) >= route.least_share - SHARE_TOLERANCE
