"""What the rules of waiting may be tuned by, and which of two ways each of them goes."""

from enum import Enum

from ...model.value import value


class WaitingRule(Enum):
    """How it is decided whether a request waits on."""

    FIXED_SHARES = "fixed_shares"
    """It waits for fixed shares of its objective and of its time, whatever is before it."""
    ESTIMATE = "estimate"
    """It waits only if room is expected within these shares; otherwise it is rejected at once."""


class QueueLocation(Enum):
    """Where requests that one replica answers wait while its slots are taken."""

    REPLICA = "replica"
    """In the replica's own line, first come first served, up to its connections."""
    NODE = "node"
    """Here, where they can still be ordered, rejected or sent elsewhere."""


@value
class WaitingSettings:
    """How requests wait.

    Parameters
    ----------
    rule
        How it is decided whether a request waits on.
    line
        Where it waits.
    recheck_seconds
        Seconds between two looks for a replica while nothing tells when there will be room: short
        against the shortest objectives of callers (50 ms), so that a look late costs little.
    max_recheck_seconds
        Most seconds between two looks while room is expected later: a replica may appear, or be
        freed by other nodes, without this node being told, and a tenth of a second is what callers
        of single replicas (objectives from 350 ms on) do not feel.
    offer_ratio
        Share of the objective for which a request waits while no replica can be asked: within a
        quarter of it a caller that is rejected loses half the difference between in time and late
        at most, and an answer takes its way back.
    hold_ratio
        Share of the caller's whole time for which a request waits for missing records, or by fixed
        shares for a replica that is taken: the rest is enough for one more try elsewhere, which
        waits for a third of the time left at most.
    queue_ratio
        Share of the caller's whole time within which room must be expected for a request to wait in
        line, by estimate: elsewhere it would wait for the same slots, and those that can still be
        in time go before it, so it takes from nobody; the rest of its time is for the work and for
        a line that moves at half the speed that was expected.
    repeat_ratio
        Share of the objective for which a request that may have run waits until it may be sent
        again: its caller sends it anew to another node once it hears of the failure, which is
        better for it as soon as the answer here would be late.
    surplus_ratio
        Requests that a replica gets beyond its slots from one node, as a share of them, at least
        one, so that it has the next one when a slot is free: the way there and back takes some
        2 ms, callers of such services wait for work of 90 to 130 ms, and half of the slots free at
        the same moment are rare.
    """

    rule: WaitingRule = WaitingRule.ESTIMATE
    queue_location: QueueLocation = QueueLocation.NODE
    recheck_seconds: float = 0.03
    max_recheck_seconds: float = 0.1
    offer_ratio: float = 0.2
    hold_ratio: float = 0.3
    queue_ratio: float = 0.5
    repeat_ratio: float = 0.25
    surplus_ratio: float = 0.5


DEFAULT_WAITING = WaitingSettings()
