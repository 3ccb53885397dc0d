"""When a replica is expected to have answered: the time that one choice costs, in seconds.

Every term is a time that the caller feels or, for what it does not feel, the part of its objective
that this is worth. So a near replica that is slower but still early enough goes before a far one,
which a product of factors cannot tell: there a replica at twice the usual work is as bad for an
objective of ten usual times as for one of three.
"""

from ...model.value import value

DEFAULT_TYPICAL_SHARE = 0.1
"""Usual time as a part of the objective while nothing is known of the route: objectives are some
three to twelve usual times."""
OTHER_ZONE_SHARE = 0.2
"""Part of the objective that a replica of another zone must be faster by. Two such delays in a row
leave a caller time for a second attempt."""
OWNED_OTHER_ZONE_SHARE = 0.35
"""The same for an owner of the shard."""
FAILURE_SHARE = 3.0
"""Part of the objective that an attempt costs that brings nothing: its shard is lost to the answer
whenever the second attempt fails, too."""
OVERDUE_SHARE = 0.5
"""Part of the objective that is lost, at least, at a replica that has not answered in time."""
UNPROVEN_SHARE = 0.05
"""Part of the objective that a proven replica may be slower by, where a request runs once only."""
IN_FLIGHT_SLOWDOWN_SHARE = 0.5
"""Part of its work by which a replica counts as slower for each slot in use, of all slots: what
other nodes have sent meanwhile is not known yet."""


@value
class LatencyTarget:
    """What of a request matters to the choice of its replica.

    Parameters
    ----------
    objective_seconds
        Time within which an answer is worth its full price.
    usual_seconds
        The usual latency of its attempts; ``None``: not known yet.
    """

    objective_seconds: float
    typical_seconds: float | None = None


@value
class ReplicaEstimate:
    """What is known of one replica at a moment.

    Parameters
    ----------
    pace
        How long work takes there, in usual times.
    ahead
        Requests that run or wait there, as far as known.
    trouble
        Share of attempts that fail there.
    """

    slowdown: float
    outstanding: float
    slots: int
    failure_rate: float
    is_overdue: bool
    is_in_other_zone: bool
    is_unproven: bool


def completion_cost_seconds(
    target: LatencyTarget, estimate: ReplicaEstimate, is_owned: bool
) -> float:
    """Return the time after which an answer is expected, and what else the choice costs.

    Parameters
    ----------
    is_owned
        Whether the nodes of a group leave the replica's service to this node.
    """
    objective = target.objective_seconds
    typical = target.typical_seconds or objective * DEFAULT_TYPICAL_SHARE
    work = typical * estimate.slowdown
    queued = max(0.0, estimate.outstanding + 1.0 - estimate.slots)
    slowed_by = min(estimate.outstanding, estimate.slots) * IN_FLIGHT_SLOWDOWN_SHARE
    seconds = work * (1.0 + (queued + slowed_by) / estimate.slots)
    lost_share = estimate.failure_rate * FAILURE_SHARE
    if estimate.is_overdue:
        lost_share += OVERDUE_SHARE
    if estimate.is_in_other_zone:
        lost_share += OWNED_OTHER_ZONE_SHARE if is_owned else OTHER_ZONE_SHARE
    if estimate.is_unproven:
        lost_share += UNPROVEN_SHARE
    return seconds + objective * lost_share
