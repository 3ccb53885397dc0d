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
class ReplicaRoom:
    """What is known of the room at one replica that the request may be sent to.

    Parameters
    ----------
    replica_id
        The replica's id.
    askable_at
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
    askable_at: float
    slots: int
    most: int
    under_way: int
    elsewhere: float
    work_seconds: float

    @property
    def free(self) -> int:
        """How many more requests this node may send there."""
        return max(0, self.most - self.under_way)

    @property
    def ends_per_second(self) -> float:
        """How many requests of this node it is expected to end a second."""
        own = max(1.0, self.under_way)
        return min(self.slots, self.most) / self.work_seconds * own / (own + self.elsewhere)


@value
class Room:
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


NO_ROOM = Room(NEVER)


def expected_room(rooms: Iterable[ReplicaRoom], ahead: int, now: float) -> Room:
    """Return when a request that ``ahead`` others go before will find room.

    Parameters
    ----------
    rooms
        The replicas that may take it.
    """
    known = list(rooms)
    askable = [room for room in known if room.askable_at <= now]
    if not askable:
        return Room(min((room.askable_at for room in known), default=NEVER))
    free = sum(room.free for room in askable)
    if free > ahead:
        best = min(askable, key=lambda room: (not room.free, room.under_way / room.slots))
        return Room(now, best.replica_id)
    per_second = sum(room.ends_per_second for room in askable)
    if not per_second:
        return NO_ROOM
    return Room(now + (ahead + 1 - free) / per_second)


def room_for_share(moments: Iterable[float], min_share: float) -> Room:
    """Return when so large a share of several services has room.

    Parameters
    ----------
    moments
        When each of them has.
    """
    ordered = sorted(moments)
    least = math.ceil(min_share * len(ordered) - SHARE_TOLERANCE)
    return Room(ordered[max(1, least) - 1])
