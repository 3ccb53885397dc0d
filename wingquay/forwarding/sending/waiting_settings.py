"""Settings that determine whether, where and how long requests wait for a replica."""

from enum import Enum

from ...model.value import value


class WaitingRule(Enum):
    """Rule that decides whether a request continues to wait."""

    FIXED_SHARES = "fixed_shares"
    """It waits until a fixed fraction of its objective or time limit, regardless of the queue."""
    ESTIMATE = "estimate"
    """It waits only if capacity is expected before that, and is rejected at once otherwise."""


class QueueLocation(Enum):
    """Where requests for a single replica wait while its slots are in use."""

    REPLICA = "replica"
    """In the replica's own FIFO queue, up to its connection limit."""
    NODE = "node"
    """At this node, which can still reorder, reject or redirect them."""


@value
class WaitingSettings:
    """Waiting rule, queue location and waiting times.

    Parameters
    ----------
    rule
        Rule that decides whether a request continues to wait.
    queue_location
        Where requests wait.
    recheck_seconds
        Time between two checks of a waiting request while it is unknown when there will be
        capacity; short compared with the shortest objectives.
    max_recheck_seconds
        Maximum time between two checks while capacity is expected later: other nodes may free a
        replica, or a new one may appear, without an event at this node.
    blocked_ratio
        Fraction of the objective for which a request waits while all replicas are blocked;
        small enough that a rejected caller can still retry in time.
    hold_ratio
        Fraction of the request's time limit for which it waits for missing replica records, or,
        with fixed shares, for a busy replica; the rest suffices for a retry at another node.
    queue_ratio
        With the estimate rule, fraction of the request's time limit within which capacity must be
        expected for it to wait in the queue; the rest is for the work and for estimation errors.
    repeat_ratio
        Time, as a fraction of the objective, within which an extra request must become available
        for a request that may have run to wait for it; otherwise the caller does better to retry
        at another node.
    surplus_ratio
        Requests in flight from this node beyond the replica's slots, as a fraction of the slots
        but at least one request, so that slots don't idle for a network round trip.
    """

    rule: WaitingRule = WaitingRule.ESTIMATE
    queue_location: QueueLocation = QueueLocation.NODE
    recheck_seconds: float = 0.03
    max_recheck_seconds: float = 0.1
    blocked_ratio: float = 0.2
    hold_ratio: float = 0.3
    queue_ratio: float = 0.5
    repeat_ratio: float = 0.25
    surplus_ratio: float = 0.5


DEFAULT_WAITING = WaitingSettings()
