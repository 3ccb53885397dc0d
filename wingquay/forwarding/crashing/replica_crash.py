"""Crashes of replicas as evidence that a request causes them."""

from collections.abc import Iterable

from ...model.value import value

REPORT_TOLERANCE_SECONDS = 0.1
"""Minimum time between two crashes that different nodes observed, if both are to count; it covers
the transmission delay of the reports."""


@value
class ReplicaCrash:
    """A crash of one incarnation of a replica while it was handling a request.

    Parameters
    ----------
    incarnation
        Identifies the incarnation; each one crashes at most once.
    node_id
        The node that had sent the request to the replica.
    sent_at, crashed_at
        When the request was sent and when its connection closed, on this node's clock, in s.
    """

    incarnation: str
    node_id: str
    sent_at: float
    crashed_at: float


def select_independent_crashes(crashes: Iterable[ReplicaCrash]) -> list[ReplicaCrash]:
    """Return the crashes whose request was sent after the previous crash, in order of time.

    Of crashes that overlap in time, only one is kept. If several replicas crash together for
    another reason, any frequent request is in flight at some of them; only a request that causes
    crashes is also in flight at later ones.
    """
    independent: list[ReplicaCrash] = []
    for crash in sorted(crashes, key=lambda item: item.crashed_at):
        if not independent or _is_after(crash, independent[-1]):
            independent.append(crash)
    return independent


def _is_after(crash: ReplicaCrash, earlier: ReplicaCrash) -> bool:
    tolerance = 0.0 if crash.node_id == earlier.node_id else REPORT_TOLERANCE_SECONDS
    return crash.sent_at >= earlier.crashed_at + tolerance
