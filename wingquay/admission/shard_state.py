"""State of one shard at its owner: replicas, queued sub-requests and queued hedges."""

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
    trackers, tracker_list
        Trackers of the replicas by replica id, and the same as a list.
    queue
        Sub-requests that wait for a free slot.
    hedge_queue
        Sub-requests that wait for a free slot for a hedge.
    shedding_until
        Time until which no hedges are queued because a replica has shed a request.
    """

    service: Service
    shard: Shard
    trackers: dict[str, ReplicaTracker]
    queue: ClassQueue
    tracker_list: list[ReplicaTracker] = field(default_factory=list)
    hedge_queue: deque[WorkItem] = field(default_factory=deque)
    shedding_until: float = 0.0

    def parallelism(self) -> int:
        """Return the total number of slots of the replicas in service."""
        staying = [tracker for tracker in self.tracker_list if not tracker.leaving]
        return sum(tracker.replica.slots for tracker in staying)

    def class_delay_seconds(self, sub_request: SubRequest, now: float) -> float:
        """Return the expected queueing delay of a new sub-request of the same class."""
        if not self.queue:
            return 0.0
        return self.queue.class_delay_seconds(sub_request, self.parallelism(), now)

    def held(self) -> tuple[HeldVersions, ...]:
        """Return the known versions held by the replicas in service."""
        return tuple(
            tracker.held
            for tracker in self.tracker_list
            if tracker.held is not None and not tracker.leaving
        )

    def next_hedge(self) -> WorkItem | None:
        """Return the first sub-request that awaits a hedge, without removing it."""
        while self.hedge_queue:
            work = self.hedge_queue[0]
            if not work.is_finished and work.awaits_hedge:
                return work
            self.hedge_queue.popleft()
        return None
