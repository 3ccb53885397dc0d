"""Estimates the cost of sending a request to a replica, in seconds until its completion.

The cost is the expected response time plus penalties for risks that the response time doesn't
show, each a fraction of the request's latency objective. A slower replica of the same zone is
therefore preferred over one of another zone as long as it meets the objective.
"""

from ...model.value import value

DEFAULT_TYPICAL_RATIO = 0.1
"""Typical latency, as a fraction of the objective, of a route without measurements."""
OTHER_ZONE_PENALTY_RATIO = 0.2
"""Penalty for a replica in another zone, as a fraction of the objective. Two such delays in a row
leave time for a second attempt."""
OWNED_OTHER_ZONE_PENALTY_RATIO = 0.35
"""Penalty for a replica in another zone when this node owns the shard."""
FAILURE_PENALTY_RATIO = 3.0
"""Penalty for a failed attempt, as a multiple of the objective: the shard is missing from the
answer if the second attempt fails too."""
OVERDUE_PENALTY_RATIO = 0.5
"""Penalty for a replica with an overdue attempt, as a fraction of the objective."""
UNRELIABLE_PENALTY_RATIO = 0.05
"""Penalty for a replica that isn't reliable, as a fraction of the objective, for requests that must
not run twice."""
IN_FLIGHT_SLOWDOWN_RATIO = 0.5
"""Slowdown with all slots in use, as a fraction of the work time. It accounts for requests that
other nodes have sent since the last load report."""


@value
class LatencyTarget:
    """Latency objective of a request and the typical latency of its route.

    Parameters
    ----------
    objective_seconds
        Time within which an answer has its full value.
    typical_seconds
        Median latency of the route's attempts; ``None``: not known yet.
    """

    objective_seconds: float
    typical_seconds: float | None = None


@value
class ReplicaEstimate:
    """Performance that is expected of one replica now.

    Parameters
    ----------
    slowdown
        Work time relative to the typical latency of the route; 1 is typical.
    outstanding
        Requests in flight from this node, plus those that the replica last reported.
    slots
        Requests that the replica processes concurrently.
    failure_rate
        Fraction of attempts that fail, 0 to 1.
    is_overdue
        Whether an attempt at the replica has exceeded its hedge delay.
    is_in_other_zone
        Whether the replica is in another zone than this node.
    counts_as_unreliable
        Whether reliable replicas are preferred and this one isn't reliable.
    """

    slowdown: float
    outstanding: float
    slots: int
    failure_rate: float
    is_overdue: bool
    is_in_other_zone: bool
    counts_as_unreliable: bool


def completion_cost_seconds(
    target: LatencyTarget, estimate: ReplicaEstimate, is_owned: bool
) -> float:
    """Return the expected response time plus the penalties, in seconds.

    Parameters
    ----------
    is_owned
        Whether this node owns the replica's service on behalf of a group of nodes.
    """
    objective = target.objective_seconds
    typical = target.typical_seconds or objective * DEFAULT_TYPICAL_RATIO
    work = typical * estimate.slowdown
    queued = max(0.0, estimate.outstanding + 1.0 - estimate.slots)
    slowed_by = min(estimate.outstanding, estimate.slots) * IN_FLIGHT_SLOWDOWN_RATIO
    seconds = work * (1.0 + (queued + slowed_by) / estimate.slots)
    penalty_ratio = estimate.failure_rate * FAILURE_PENALTY_RATIO
    if estimate.is_overdue:
        penalty_ratio += OVERDUE_PENALTY_RATIO
    if estimate.is_in_other_zone:
        penalty_ratio += OWNED_OTHER_ZONE_PENALTY_RATIO if is_owned else OTHER_ZONE_PENALTY_RATIO
    if estimate.counts_as_unreliable:
        penalty_ratio += UNRELIABLE_PENALTY_RATIO
    return seconds + objective * penalty_ratio
