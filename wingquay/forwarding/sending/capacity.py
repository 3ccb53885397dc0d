"""Estimates when the replicas of a service will have capacity for one more request.

The number of requests in flight from this node is exact. Requests of other nodes are known only
from the last load report of a replica, which is soon outdated: reported requests reduce the
completion rate that is expected for this node, but never rule out a replica.
"""

import math
from collections.abc import Iterable

from ...model.value import value

NEVER = float("inf")
SHARE_TOLERANCE = 1e-9


@value
class ReplicaCapacity:
    """Capacity of one replica that the request may be sent to.

    Parameters
    ----------
    incarnation
        Name of the replica's incarnation.
    available_at
        When the replica may receive requests; a time up to now: it may already.
    slots
        Requests that it processes concurrently.
    max_in_flight
        Maximum number of requests in flight from this node.
    in_flight
        Requests in flight from this node.
    reported_requests
        Requests of all nodes that the replica last reported, decayed by the age of the report.
    work_seconds
        Expected work time of a request.
    """

    incarnation: str
    available_at: float
    slots: int
    max_in_flight: int
    in_flight: int
    reported_requests: float
    work_seconds: float

    @property
    def free(self) -> int:
        """Number of further requests that this node may send to the replica."""
        return max(0, self.max_in_flight - self.in_flight)

    @property
    def completions_per_second(self) -> float:
        """Requests of this node that the replica is expected to complete a second."""
        own = max(1.0, self.in_flight)
        return (
            min(self.slots, self.max_in_flight)
            / self.work_seconds
            * own
            / (own + self.reported_requests)
        )


@value
class ExpectedCapacity:
    """When capacity for a request is expected, and at which replica if there is some now.

    Parameters
    ----------
    at
        When capacity is expected; infinity: not known.
    incarnation
        Name of the incarnation that has capacity now; empty if none has.
    """

    at: float
    incarnation: str = ""


NO_CAPACITY = ExpectedCapacity(NEVER)


def expected_capacity(
    capacities: Iterable[ReplicaCapacity], queued_before: int, now: float
) -> ExpectedCapacity:
    """Return when capacity is expected for a request behind ``queued_before`` others.

    Parameters
    ----------
    capacities
        The replicas that may receive the request.
    """
    replicas = list(capacities)
    available = [capacity for capacity in replicas if capacity.available_at <= now]
    if not available:
        return ExpectedCapacity(
            min((capacity.available_at for capacity in replicas), default=NEVER)
        )
    free = sum(capacity.free for capacity in available)
    if free > queued_before:
        best = min(
            available, key=lambda capacity: (not capacity.free, capacity.in_flight / capacity.slots)
        )
        return ExpectedCapacity(now, best.incarnation)
    per_second = sum(capacity.completions_per_second for capacity in available)
    if not per_second:
        return NO_CAPACITY
    return ExpectedCapacity(now + (queued_before + 1 - free) / per_second)


def capacity_for_share(capacity_times: Iterable[float], min_share: float) -> ExpectedCapacity:
    """Return when enough of several services have capacity.

    Parameters
    ----------
    capacity_times
        Time at which each service is expected to have capacity; infinity: not known.
    min_share
        Fraction of the services that is enough, 0 to 1.
    """
    ordered = sorted(capacity_times)
    min_count = math.ceil(min_share * len(ordered) - SHARE_TOLERANCE)
    return ExpectedCapacity(ordered[max(1, min_count) - 1])
