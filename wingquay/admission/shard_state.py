"""One shard at its owner: its replicas, the queue for their slots, the line of hedges."""

from collections import deque
from dataclasses import dataclass, field

from ..model.answer import HeldVersions
from ..model.configuration import Service, Shard
from ..model.request import SubRequest
from ..routing.replica_tracker import ReplicaTracker
from .class_queue import ClassQueue
from .work_item import WorkItem


@dataclass(slots=True)
class ShardState:
    """State of one shard.

    Parameters
    ----------
    shedding_until
        While now is before it, the pool has refused work lately and gets no hedges.
    """

    service: Service
    shard: Shard
    trackers: dict[str, ReplicaTracker]
    queue: ClassQueue
    tracker_list: list[ReplicaTracker] = field(default_factory=list)
    hedge_queue: deque[WorkItem] = field(default_factory=deque)
    shedding_until: float = 0.0

    def parallelism(self) -> int:
        """Return how many sub-requests all staying replicas together work on at a time."""
        staying = [tracker for tracker in self.tracker_list if not tracker.leaving]
        return sum(tracker.replica.slots for tracker in staying)

    def class_delay_seconds(self, sub_request: SubRequest, now: float) -> float:
        """Return how long a new sub-request of this class is expected to wait for a slot."""
        if not self.queue:
            return 0.0
        return self.queue.class_delay_seconds(sub_request, self.parallelism(), now)

    def held(self) -> tuple[HeldVersions, ...]:
        """Return the versions that the staying replicas hold, as far as known."""
        return tuple(
            tracker.held
            for tracker in self.tracker_list
            if tracker.held is not None and not tracker.leaving
        )

    def next_hedge(self) -> WorkItem | None:
        """Return the first sub-request that still wants a hedge; it stays in line."""
        while self.hedge_queue:
            work = self.hedge_queue[0]
            if not work.is_finished and work.awaits_hedge:
                return work
            self.hedge_queue.popleft()
        return None
