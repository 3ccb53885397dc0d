"""One exchange inside a modelled back end, from its admission to its end."""

from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush

from ...model.answer import Row
from ...model.key_range import KeyRange
from .backend_messages import BackendExchange, ReplyKind
from .dataset import Dataset

WRITE_RECEIPT = "recorded"
"""Value of the one row that a write is answered with."""


class WorkEnd(Enum):
    """How work ends."""

    ANSWERED = "answered"
    ERROR = "error"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"

    @property
    def reply_kind(self) -> ReplyKind:
        """The reply that the end brings; a cancelled end must not be asked."""
        return _REPLY_KINDS[self]


_REPLY_KINDS = {
    WorkEnd.ANSWERED: ReplyKind.ANSWERED,
    WorkEnd.ERROR: ReplyKind.ERROR,
    WorkEnd.DEADLINE_PASSED: ReplyKind.DEADLINE_PASSED,
}


@dataclass(eq=False, slots=True)
class Work:
    """One admitted exchange.

    Parameters
    ----------
    covered
        The asked keys that were held when the work began.
    sequence
        Number of the planned end in force; plans with other numbers are stale.
    """

    exchange: BackendExchange
    deadline_at: float
    began_at: float = 0.0
    ends_at: float = 0.0
    end: WorkEnd = WorkEnd.ANSWERED
    covered: tuple[KeyRange, ...] = ()
    sequence: int = 0

    def rows(self, dataset: Dataset) -> tuple[Row, ...]:
        """Return the rows of the covered keys, or the receipt of a write."""
        if self.exchange.snapshot is None:
            return (Row(self.covered[0].start, WRITE_RECEIPT),)
        return dataset.rows_of_ranges(
            self.exchange.service,
            self.covered,
            self.exchange.snapshot,
        )


class WorkSchedule:
    """The planned ends of work that runs; planning a work's end anew replaces the old plan."""

    def __init__(self) -> None:
        self._plans: list[tuple[float, int, Work]] = []
        self._sequence = 0

    def plan(self, work: Work, ends_at: float, end: WorkEnd) -> None:
        """Let ``work`` end at ``ends_at``."""
        self._sequence += 1
        work.ends_at = ends_at
        work.end = end
        work.sequence = self._sequence
        heappush(self._plans, (ends_at, work.sequence, work))

    def next_at(self) -> float | None:
        """Return when the next work ends, or ``None`` if none runs."""
        while self._plans and self._plans[0][1] != self._plans[0][2].sequence:
            heappop(self._plans)
        return self._plans[0][0] if self._plans else None

    def take_due(self, now: float) -> Work | None:
        """Return the work that ends next, if it ends by ``now``, and forget it."""
        next_at = self.next_at()
        if next_at is None or next_at > now:
            return None
        return heappop(self._plans)[2]

    def clear(self) -> None:
        """Forget all plans."""
        self._plans.clear()
