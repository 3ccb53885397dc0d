"""When a replica of a service will have room for one more request.

Work that this node has under way is known exactly. What other nodes have there is known only as far
as a replica said so a moment ago: it lowers the part of the slots that this node reckons with, and
never forbids anything, for the next moment it may be over.
"""

import math
from collections.abc import Iterable

from ...model.value import value

NEVER = float("inf")
SHARE_TOLERANCE = 1e-9


@value
class ReplicaCapacity:
    """What is known of the room at one replica that the request may be sent to.

    Parameters
    ----------
    replica_id
        The replica's id.
    available_at
        When it may be asked, as far as it is known to be in reach.
    slots
        Requests that it works on at a time.
    most
        Requests that this node may have under way there.
    under_way
        Requests that it has under way there.
    elsewhere
        Requests of other nodes that it reported, less the older that is.
    work_seconds
        How long it works on a request.
    """

    replica_id: str
    available_at: float
    slots: int
    max_in_flight: int
    in_flight: int
    reported_requests: float
    work_seconds: float

    @property
    def free(self) -> int:
        """How many more requests this node may send there."""
        return max(0, self.max_in_flight - self.in_flight)

    @property
    def completions_per_second(self) -> float:
        """How many requests of this node it is expected to end a second."""
        own = max(1.0, self.in_flight)
        return (
            min(self.slots, self.max_in_flight)
            / self.work_seconds
            * own
            / (own + self.reported_requests)
        )


@value
class ExpectedCapacity:
    """When a request can be sent, and whereto if that is now.

    Parameters
    ----------
    at
        Infinity: no replica is known to become free.
    replica_id
        The replica that has room now; empty while none has.
    """

    at: float
    replica_id: str = ""


NO_CAPACITY = ExpectedCapacity(NEVER)


def expected_capacity(
    capacities: Iterable[ReplicaCapacity], queued_before: int, now: float
) -> ExpectedCapacity:
    """Return when a request that ``ahead`` others go before will find room.

    Parameters
    ----------
    rooms
        The replicas that may take it.
    """
    known = list(capacities)
    available = [capacity for capacity in known if capacity.available_at <= now]
    if not available:
        return ExpectedCapacity(min((capacity.available_at for capacity in known), default=NEVER))
    free = sum(capacity.free for capacity in available)
    if free > queued_before:
        best = min(
            available, key=lambda capacity: (not capacity.free, capacity.in_flight / capacity.slots)
        )
        return ExpectedCapacity(now, best.replica_id)
    per_second = sum(capacity.completions_per_second for capacity in available)
    if not per_second:
        return NO_CAPACITY
    return ExpectedCapacity(now + (queued_before + 1 - free) / per_second)


def capacity_for_share(moments: Iterable[float], least_share: float) -> ExpectedCapacity:
    """Return when so large a share of several services has room.

    Parameters
    ----------
    moments
        When each of them has.
    """
    ordered = sorted(moments)
    least = math.ceil(least_share * len(ordered) - SHARE_TOLERANCE)
    return ExpectedCapacity(ordered[max(1, least) - 1])
