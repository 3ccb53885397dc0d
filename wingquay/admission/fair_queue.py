"""The order in which waiting sub-requests get a shard's slots.

Start-time fair queueing between classes, first come first served within one: under contention a
class gets slot time in proportion to its price, so a class below its share is served next and
none starves. Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .decaying_rate import DecayingRate
from .work import Work

SERVED_SECONDS = 0.25
"""Time constant of the rate at which a class was served."""

SCANNED_ENTRIES = 8
"""Entries of a class that are looked at for one that fits the free replicas."""


@dataclass(slots=True)
class _Entry:
    work: Work
    start_tag: float


@dataclass(slots=True)
class _ClassLine:
    price: float
    entries: deque[_Entry] = field(default_factory=deque)
    finish_tag: float = 0.0
    backlog_seconds: float = 0.0
    served: DecayingRate = field(default_factory=lambda: DecayingRate(SERVED_SECONDS))


class FairQueue:
    """Waiting sub-requests of one shard.

    Parameters
    ----------
    by_class
        Whether classes are told apart; otherwise all wait in one line by arrival.
    """

    def __init__(self, by_class: bool = True) -> None:
        self._by_class = by_class
        self._lines: dict[str, _ClassLine] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting sub-requests, finished ones not yet dropped included."""
        return self._length

    def push(self, work: Work) -> None:
        """Let ``work`` wait."""
        line = self._line_of(work)
        start_tag = max(self._virtual_time, line.finish_tag)
        line.finish_tag = start_tag + work.cost_seconds / line.price
        line.entries.append(_Entry(work, start_tag))
        line.backlog_seconds += work.cost_seconds
        work.is_queued = True
        self._length += 1

    def push_front(self, work: Work) -> None:
        """Let ``work`` wait again, before the others of its class (it has waited before)."""
        line = self._line_of(work)
        line.entries.appendleft(_Entry(work, self._virtual_time))
        line.backlog_seconds += work.cost_seconds
        work.is_queued = True
        self._length += 1

    def _line_of(self, work: Work) -> _ClassLine:
        name = work.sub_request.class_name if self._by_class else ""
        line = self._lines.get(name)
        if line is None:
            line = _ClassLine(price=1.0)
            self._lines[name] = line
        line.price = work.sub_request.price if self._by_class else 1.0
        return line

    def pop(self, accepts: Callable[[Work], bool], now: float) -> Work | None:
        """Remove and return the next sub-request that ``accepts`` agrees to, or ``None``."""
        lines = [line for line in self._lines.values() if self._drop_finished(line)]
        lines.sort(key=lambda line: line.entries[0].start_tag)
        for line in lines:
            work = self._pop_from(line, accepts)
            if work is not None:
                line.served.add(work.cost_seconds, now)
                return work
        return None

    def _drop_finished(self, line: _ClassLine) -> bool:
        while line.entries and line.entries[0].work.is_finished:
            self._forget(line, line.entries.popleft())
        return bool(line.entries)

    def _pop_from(self, line: _ClassLine, accepts: Callable[[Work], bool]) -> Work | None:
        for position in range(min(SCANNED_ENTRIES, len(line.entries))):
            entry = line.entries[position]
            if entry.work.is_finished or not accepts(entry.work):
                continue
            del line.entries[position]
            self._forget(line, entry)
            self._virtual_time = max(self._virtual_time, entry.start_tag)
            return entry.work
        return None

    def _forget(self, line: _ClassLine, entry: _Entry) -> None:
        line.backlog_seconds = max(0.0, line.backlog_seconds - entry.work.cost_seconds)
        entry.work.is_queued = False
        self._length -= 1
        if not line.entries:
            line.backlog_seconds = 0.0

    def delay_seconds(self, class_name: str, price: float, parallelism: int, now: float) -> float:
        """Return how long a newcomer of the class would wait for one of ``parallelism`` slots.

        The class is served at the rate that its price guarantees it, or at the one seen lately
        if that is greater: other classes rarely take all that they may.
        """
        if self._length == 0:
            return 0.0
        name = class_name if self._by_class else ""
        line = self._lines.get(name)
        own_backlog = line.backlog_seconds if line is not None else 0.0
        prices = sum(
            other.price
            for other_name, other in self._lines.items()
            if other.entries and other_name != name
        )
        own_price = price if self._by_class else 1.0
        share = own_price / (own_price + prices)
        guaranteed = max(1, parallelism) * share
        seen = line.served.per_second(now) if line is not None else 0.0
        return own_backlog / max(guaranteed, seen)
