"""Weighted fair queue of one shard; the price of a class is its weight."""

from ..model.request import SubRequest
from ..routing.fair_line import FairLine
from ..routing.line_place import Place
from .work_item import WorkItem


class ClassQueue(FairLine[WorkItem]):
    """Queued sub-requests of one shard.

    Parameters
    ----------
    by_class
        Whether each class has its own share of the slots. If false, the order of arrival
        decides.
    """

    def __init__(self, by_class: bool = True) -> None:
        super().__init__(self._position)
        self._by_class = by_class

    def class_delay_seconds(self, sub_request: SubRequest, parallelism: int, now: float) -> float:
        """Return the expected wait of a new sub-request, given ``parallelism`` slots."""
        return self.delay_seconds(self._position_of_class(sub_request, 1.0), parallelism, now)

    def _position(self, work: WorkItem) -> Place:
        return self._position_of_class(work.sub_request, work.expected_service_seconds)

    def _position_of_class(self, sub_request: SubRequest, cost_seconds: float) -> Place:
        if not self._by_class:
            return Place(0, "", 1.0, cost_seconds)
        return Place(0, sub_request.class_name, sub_request.price, cost_seconds)
