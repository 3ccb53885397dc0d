"""Weighted fair queue of one shard; the price of a class is its weight."""

from ..model.request import SubRequest
from ..routing.fair_queue import FairQueue
from ..routing.queue_placement import QueuePlacement
from .work_item import WorkItem


class ClassQueue(FairQueue[WorkItem]):
    """Queued sub-requests of one shard.

    Parameters
    ----------
    by_class
        Whether each class has its own share of the slots. If false, the order of arrival
        decides.
    """

    def __init__(self, by_class: bool = True) -> None:
        super().__init__(self._placement)
        self._by_class = by_class

    def class_delay_seconds(self, sub_request: SubRequest, parallelism: int, now: float) -> float:
        """Return the expected wait of a new sub-request, given ``parallelism`` slots."""
        return self.delay_seconds(self._placement_of_class(sub_request, 1.0), parallelism, now)

    def _placement(self, work: WorkItem) -> QueuePlacement:
        return self._placement_of_class(work.sub_request, work.expected_service_seconds)

    def _placement_of_class(self, sub_request: SubRequest, cost_seconds: float) -> QueuePlacement:
        if not self._by_class:
            return QueuePlacement(0, "", 1.0, cost_seconds)
        return QueuePlacement(0, sub_request.class_name, sub_request.price, cost_seconds)
