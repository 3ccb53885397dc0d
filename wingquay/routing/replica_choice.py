"""The policy that selects a replica for a sub-request.

An owner has only a few replicas, so it compares all of them by in-flight work times recent latency
(the core of C3, NSDI 2015) instead of sampling two.
"""

import random
from collections.abc import Sequence

from ..model.identifiers import SnapshotVersion, ZoneName
from .replica_tracker import ReplicaTracker

OTHER_ZONE_FACTOR = 1.1
"""Cost factor of a replica in another zone, low enough that load matters more than the zone."""


class ReplicaChoice:
    """Selects among the replicas of a shard.

    Parameters
    ----------
    zone
        The zone of this node.
    load_aware
        Whether to compare replicas by load; otherwise a free replica is selected at random.
    slow_start
        Whether cold replicas receive fewer sub-requests.
    ejection
        Whether failing replicas receive no sub-requests.
    """

    def __init__(
        self,
        zone: ZoneName,
        random_source: random.Random,
        load_aware: bool = True,
        slow_start: bool = True,
        ejection: bool = True,
    ) -> None:
        self._zone = zone
        self._random = random_source
        self._load_aware = load_aware
        self._slow_start = slow_start
        self._ejection = ejection

    def usable(self, trackers: Sequence[ReplicaTracker], now: float) -> list[ReplicaTracker]:
        """Return the replicas that are not leaving or ejected; if all are ejected, return them."""
        remaining = [tracker for tracker in trackers if not tracker.leaving]
        if all(tracker.ejected_until <= now for tracker in remaining):
            return remaining
        if not self._ejection:
            return remaining
        healthy = [tracker for tracker in remaining if not tracker.is_ejected(now)]
        return healthy or remaining

    def with_free_slot(self, usable: Sequence[ReplicaTracker], now: float) -> list[ReplicaTracker]:
        """Return the ``usable`` replicas that may receive one more sub-request now."""
        return [
            tracker
            for tracker in usable
            if tracker.in_flight < tracker.limit(now, self._slow_start)
        ]

    def choose(
        self,
        free: Sequence[ReplicaTracker],
        tried: Sequence[str],
        snapshot: SnapshotVersion | None,
    ) -> ReplicaTracker | None:
        """Return the best of the ``free`` replicas for a sub-request, or ``None``.

        Replicas in ``tried`` and those that reported not to hold ``snapshot`` are excluded.
        """
        eligible = [
            tracker
            for tracker in free
            if tracker.replica.replica_id not in tried and not tracker.lacks_snapshot(snapshot)
        ]
        if not eligible:
            return None
        if len(eligible) == 1:
            return eligible[0]
        if not self._load_aware:
            return self._random.choice(eligible)
        return min(eligible, key=self._cost)

    def _cost(self, tracker: ReplicaTracker) -> tuple[float, float]:
        expected = tracker.latency_seconds * (tracker.in_flight + 1) / tracker.full_limit
        if tracker.replica.zone != self._zone:
            expected *= OTHER_ZONE_FACTOR
        return (expected, self._random.random())
