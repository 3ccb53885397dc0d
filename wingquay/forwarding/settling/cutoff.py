"""When a merged answer leaves although shards are still missing.

An answer is worth the square of the share of shards that are in, and after the route's objective
only a small part of that. So what is in leaves just in time for the objective, if it is enough
for a success; after that, an answer leaves as soon as it is enough.
"""

from ...model.routing_table import Route
from ..settings import ForwardingSettings

SHARE_TOLERANCE = 1e-9


def in_time_seconds(route: Route, transit_seconds: float, settings: ForwardingSettings) -> float:
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


def is_enough(route: Route, shards_in: int) -> bool:
    """Whether an answer of ``shards_in`` shards is a success."""
    if shards_in == 0:
        return False
    return shards_in / len(route.shards) >= route.min_share - SHARE_TOLERANCE
