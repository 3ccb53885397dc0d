"""One exchange inside a modelled back end, from its admission to its end."""

from dataclasses import dataclass
from enum import Enum

from wingquay.model.answer import Row
from wingquay.model.key_range import KeyRange
from wingquay.rehearsal.models.backend_messages import BackendExchange, ReplyKind
from wingquay.rehearsal.models.dataset import Dataset

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
