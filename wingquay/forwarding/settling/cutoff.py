"""Computes when a merged answer is sent although shards are still missing.

The value of an answer grows with the square of the share of shards that it covers and drops sharply
after the route's objective. A partial answer that meets the minimum share is therefore sent at the
cutoff, just before the objective; after the cutoff, as soon as it meets the minimum share.
"""

from ...model.routing_table import Route
from ..settings import ForwardingSettings

SHARE_TOLERANCE = 1e-9


def compute_cutoff_seconds(
    route: Route, transit_seconds: float, settings: ForwardingSettings
) -> float:
    """Return the latest time for sending an answer that meets the objective, in s after arrival.

    Parameters
    ----------
    transit_seconds
        Network round trip between the caller and this node.
    """
    objective = route.objective_seconds
    margin = settings.reply_margin_seconds + settings.reply_margin_ratio * objective
    margin += settings.reply_margin_shard_seconds * len(route.shards)
    return max(objective - margin - transit_seconds, objective / 2)


def meets_min_share(route: Route, answered_shards: int) -> bool:
    """Return whether an answer from ``answered_shards`` shards is a success."""
    if answered_shards == 0:
        return False
    return answered_shards / len(route.shards) >= route.min_share - SHARE_TOLERANCE
