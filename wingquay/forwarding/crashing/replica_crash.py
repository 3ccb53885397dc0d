"""Crashes of replicas as evidence that a request causes them."""

from collections.abc import Iterable

from ...model.value import value

REPORT_TOLERANCE_SECONDS = 0.1
"""Minimum time from a crash to the send of the next attempt that counts, if different nodes
observed them; covers the delay of reports."""


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

    Crashes that overlap in time count once, as they may have a common external cause. Crashes in
    consecutive attempts are evidence that the request causes them.
    """
    independent: list[ReplicaCrash] = []
    for crash in sorted(crashes, key=lambda item: item.crashed_at):
        if not independent or _is_after(crash, independent[-1]):
            independent.append(crash)
    return independent


def _is_after(crash: ReplicaCrash, earlier: ReplicaCrash) -> bool:
    tolerance = 0.0 if crash.node_id == earlier.node_id else REPORT_TOLERANCE_SECONDS
    return crash.sent_at >= earlier.crashed_at + tolerance
