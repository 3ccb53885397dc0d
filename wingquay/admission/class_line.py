"""The line of one shard: sub-requests wait by class, each weighted by its price."""

from ..model.request import SubRequest
from ..routing.fair_queue import FairQueue
from ..routing.queue_placement import QueuePlacement
from .work import Work


class ClassLine(FairQueue[Work]):
    """Waiting sub-requests of one shard.

    Parameters
    ----------
    by_class
        Whether classes are told apart; otherwise all wait in one line by arrival.
    """

    def __init__(self, by_class: bool = True) -> None:
        super().__init__(self._place)
        self._by_class = by_class

    def class_delay_seconds(self, sub_request: SubRequest, parallelism: int, now: float) -> float:
        """Return how long a newcomer of a class would wait for one of ``parallelism`` slots."""
        return self.delay_seconds(self._place_of_class(sub_request, 1.0), parallelism, now)

    def _place(self, work: Work) -> QueuePlacement:
        return self._place_of_class(work.sub_request, work.cost_seconds)

    def _place_of_class(self, sub_request: SubRequest, cost_seconds: float) -> QueuePlacement:
        if not self._by_class:
            return QueuePlacement(0, "", 1.0, cost_seconds)
        return QueuePlacement(0, sub_request.class_name, sub_request.price, cost_seconds)
