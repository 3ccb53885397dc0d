"""What can wait in a fair line, and where it belongs there."""

from typing import Protocol

from ..model.value import value


class Waiter(Protocol):
    """What can wait in line."""

    is_queued: bool

    @property
    def is_finished(self) -> bool:
        """Whether nobody waits for it any more."""
        ...


@value
class QueuePlacement:
    """Where something belongs in line.

    Parameters
    ----------
    rank
        0 is the most urgent; a rank is served before those above it.
    flow
        What is served fairly within the rank.
    weight
        Part of the service that the flow gets, against the others that wait.
    cost
        Service that it takes.
    """

    rank: int
    flow: str
    weight: float = 1.0
    cost: float = 1.0
