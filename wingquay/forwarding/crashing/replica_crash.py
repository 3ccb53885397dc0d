"""What speaks for it that a request ends the replicas that run it."""

from collections.abc import Iterable

from ...model.value import value

REPORT_TOLERANCE_SECONDS = 0.1
"""Ends that two nodes tell count as separate only if they lie this much apart: a message takes some
milliseconds, and more on a machine that is busy."""


@value
class ReplicaCrash:
    """One life of a replica that ended while it had a request.

    Parameters
    ----------
    life
        Its name: further lives of the same replica end by themselves.
    node_id
        The node that had sent the request there.
    sent_at, ended_at
        When it was sent and when its connection ended, on this node's clock.
    """

    incarnation: str
    node_id: str
    sent_at: float
    crashed_at: float


def select_independent_crashes(ends: Iterable[ReplicaCrash]) -> list[ReplicaCrash]:
    """Return the ends of replicas that came one after the other, each sent after the one before.

    Of ends that overlap in time one is left. When several replicas end for a reason of their own,
    all requests that are popular are under way on some of them; only the one that ends them is
    there again after that.
    """
    separate: list[ReplicaCrash] = []
    for end in sorted(ends, key=lambda item: item.crashed_at):
        if not separate or _is_after(end, separate[-1]):
            separate.append(end)
    return separate


def _is_after(end: ReplicaCrash, earlier: ReplicaCrash) -> bool:
    tolerance = 0.0 if end.node_id == earlier.node_id else REPORT_TOLERANCE_SECONDS
    return end.sent_at >= earlier.crashed_at + tolerance
