"""Items of a fair queue, and the attributes that determine their order."""

from typing import Protocol

from ..model.value import value


class QueueItem(Protocol):
    """An item that can wait in a fair queue."""

    is_queued: bool

    @property
    def is_finished(self) -> bool:
        """Whether the item no longer needs service and can be dropped from the queue."""
        ...


@value
class QueuePlacement:
    """Attributes that determine when an item of a fair queue is served.

    Parameters
    ----------
    rank
        Priority; lower ranks are served first, 0 is the most urgent.
    flow
        Name of the flow; flows of the same rank are served fairly.
    weight
        Share of the work that is done for the flow, relative to the weights of other flows.
    cost
        Amount of work that the item needs.
    """

    rank: int
    flow: str
    weight: float = 1.0
    cost: float = 1.0
