"""The order in which what waits for a slot is served.

The most urgent rank goes first. Within a rank: start-time fair queueing between flows (classes,
tenants), first come first served within one. Under contention a flow gets service in proportion to
its weight, whatever it sends, so one below its share is served next and none starves.
Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
"""

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .decaying_rate import DecayingRate
from .queue_placement import QueuePlacement, Waiter

SERVED_SECONDS = 0.25
"""Time constant of the rate at which a flow was served: what callers of it see of the service just
now, over several of its shortest promises."""
SCANNED_ENTRIES = 8
"""Entries of a flow that are looked at for one that can be served now."""
MOST_IDLE_FLOWS = 256
"""Flows without an entry that are remembered for each rank: more than callers of one service that
matter to each other at a time."""


Item = TypeVar("Item", bound=Waiter)


# Plain classes: a node loads them before it serves, and defining a dataclass takes a millisecond.


class _Entry(Generic[Item]):
    __slots__ = ("cost", "item", "start_tag")

    def __init__(self, item: Item, cost: float, start_tag: float) -> None:
        self.item = item
        self.cost = cost
        self.start_tag = start_tag


class _Flow(Generic[Item]):
    __slots__ = ("backlog", "entries", "finish_at", "finish_tag", "served", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self.entries: deque[_Entry[Item]] = deque()
        self.finish_tag = 0.0
        self.finish_at = 0.0
        self.backlog = 0.0
        self.served = DecayingRate(SERVED_SECONDS)


class _Rank(Generic[Item]):
    __slots__ = ("flows", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, _Flow[Item]] = {}
        self.virtual_time = 0.0


class FairQueue(Generic[Item]):
    """What waits for the slots of one shard or service.

    Parameters
    ----------
    place_of
        Tells where an item belongs.
    memory_seconds
        Time constant with which it is forgotten what a flow has had beyond the others; ``None``: it
        is kept until the others have had as much.
    """

    def __init__(
        self, place_of: Callable[[Item], QueuePlacement], memory_seconds: float | None = None
    ) -> None:
        self._place_of = place_of
        self._memory_seconds = memory_seconds
        self._ranks: dict[int, _Rank[Item]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting items, finished ones not yet dropped included."""
        return self._length

    def push(self, item: Item, now: float = 0.0) -> None:
        """Let ``item`` wait."""
        place = self._place_of(item)
        flow = self._flow_of(place)
        start_tag = self._start_tag(place, now)
        flow.finish_tag = start_tag + place.cost / place.weight
        flow.finish_at = now
        flow.entries.append(_Entry(item, place.cost, start_tag))
        self._count_in(flow, item, place)

    def push_front(self, item: Item) -> None:
        """Let ``item`` wait again, before the others of its flow (it has waited before)."""
        place = self._place_of(item)
        flow = self._flow_of(place)
        tag = self._ranks[place.rank].virtual_time
        flow.entries.appendleft(_Entry(item, place.cost, tag))
        self._count_in(flow, item, place)

    def charge(self, item: Item, now: float) -> None:
        """Take in that ``item`` was served without waiting: its flow has had that."""
        place = self._place_of(item)
        flow = self._flow_of(place)
        flow.finish_tag = self._start_tag(place, now) + place.cost / place.weight
        flow.finish_at = now

    def pop(
        self,
        accepts: Callable[[Item], bool],
        now: float,
        prefers: Callable[[Item], bool] | None = None,
    ) -> Item | None:
        """Remove and return the next item that ``accepts`` agrees to, or ``None``.

        Parameters
        ----------
        prefers
            Whether an item goes before those of its rank for which this does not hold.
        """
        for number in sorted(self._ranks):
            rank = self._ranks[number]
            flows = [flow for flow in rank.flows.values() if self._drop_finished(flow)]
            flows.sort(key=lambda flow: flow.entries[0].start_tag)
            for agrees in _passes(accepts, prefers):
                for flow in flows:
                    entry = self._pop_from(rank, flow, agrees)
                    if entry is not None:
                        flow.served.add(entry.cost, now)
                        return entry.item
        return None

    def ahead_of(
        self, item: Item, now: float, prefers: Callable[[Item], bool] | None = None
    ) -> int:
        """Return how many items go before ``item``, whether it waits already or would from now.

        Parameters
        ----------
        prefers
            As in ``pop``; it is asked of each. Without it, finished ones are counted too and the
            count is quick.
        """
        place = self._place_of(item)
        tag = self._tag_of(item, place, now)
        is_preferred = prefers is None or prefers(item)
        return sum(
            self._ahead_in(flow, item, rank < place.rank, (not is_preferred, tag), prefers)
            for rank, known in self._ranks.items()
            if rank <= place.rank
            for flow in known.flows.values()
            if flow.entries
        )

    def waiting(self) -> Iterator[Item]:
        """Return what waits."""
        for rank in self._ranks:
            for entry in self._entries(rank):
                if not entry.item.is_finished:
                    yield entry.item

    def delay_seconds(self, place: QueuePlacement, parallelism: int, now: float) -> float:
        """Return how long a newcomer would wait for one of ``parallelism`` slots.

        Its flow is served at the rate that its weight guarantees it, or at the one seen lately if
        that is greater: other flows rarely take all that they may.
        """
        if self._length == 0:
            return 0.0
        rank = self._ranks.get(place.rank)
        flows = {} if rank is None else rank.flows
        own = flows.get(place.flow)
        weights = sum(
            flow.weight for name, flow in flows.items() if flow.entries and name != place.flow
        )
        guaranteed = max(1, parallelism) * place.weight / (place.weight + weights)
        seen = own.served.per_second(now) if own is not None else 0.0
        return (own.backlog if own is not None else 0.0) / max(guaranteed, seen)

    def _tag_of(self, item: Item, place: QueuePlacement, now: float) -> float:
        tag = self._start_tag(place, now)
        if not item.is_queued:
            return tag
        entries = self._flow_of(place).entries
        return next((entry.start_tag for entry in entries if entry.item is item), tag)

    def _ahead_in(
        self,
        flow: _Flow[Item],
        item: Item,
        is_before: bool,
        key: tuple[bool, float],
        prefers: Callable[[Item], bool] | None,
    ) -> int:
        """Return how many of a flow go before an item."""
        if prefers is None:
            if is_before:
                return len(flow.entries)
            # Those that came before it at the same tag go first, but it is not before itself.
            find = bisect_left if item.is_queued else bisect_right
            return find(flow.entries, key[1], key=lambda entry: entry.start_tag)
        others = (entry for entry in flow.entries if entry.item is not item)
        waiting = (entry for entry in others if not entry.item.is_finished)
        if is_before:
            return sum(1 for _ in waiting)
        keys = ((not prefers(entry.item), entry.start_tag) for entry in waiting)
        return sum(other < key or (other == key and not item.is_queued) for other in keys)

    def _entries(self, rank: int) -> Iterator[_Entry[Item]]:
        for flow in self._ranks[rank].flows.values() if rank in self._ranks else ():
            yield from flow.entries

    def _flow_of(self, place: QueuePlacement) -> _Flow[Item]:
        rank = self._ranks.setdefault(place.rank, _Rank())
        flow = rank.flows.get(place.flow)
        if flow is None:
            if len(rank.flows) > MOST_IDLE_FLOWS:
                rank.flows = {name: flow for name, flow in rank.flows.items() if flow.entries}
            flow = _Flow()
            rank.flows[place.flow] = flow
        flow.weight = place.weight
        return flow

    def _start_tag(self, place: QueuePlacement, now: float) -> float:
        rank = self._ranks.get(place.rank)
        if rank is None:
            return 0.0
        flow = rank.flows.get(place.flow)
        if flow is None:
            return rank.virtual_time
        beyond = max(0.0, flow.finish_tag - rank.virtual_time)
        if self._memory_seconds is not None and not flow.entries:
            beyond *= math.exp(-(now - flow.finish_at) / self._memory_seconds)
        return rank.virtual_time + beyond

    def _count_in(self, flow: _Flow[Item], item: Item, place: QueuePlacement) -> None:
        flow.backlog += place.cost
        item.is_queued = True
        self._length += 1

    def _drop_finished(self, flow: _Flow[Item]) -> bool:
        while flow.entries and flow.entries[0].item.is_finished:
            self._forget(flow, flow.entries.popleft())
        return bool(flow.entries)

    def _pop_from(
        self, rank: _Rank[Item], flow: _Flow[Item], agrees: Callable[[Item], bool]
    ) -> _Entry[Item] | None:
        for position in range(min(SCANNED_ENTRIES, len(flow.entries))):
            entry = flow.entries[position]
            if entry.item.is_finished or not agrees(entry.item):
                continue
            del flow.entries[position]
            self._forget(flow, entry)
            rank.virtual_time = max(rank.virtual_time, entry.start_tag)
            return entry
        return None

    def _forget(self, flow: _Flow[Item], entry: _Entry[Item]) -> None:
        flow.backlog = max(0.0, flow.backlog - entry.cost)
        entry.item.is_queued = False
        self._length -= 1
        if not flow.entries:
            flow.backlog = 0.0


def _passes(
    accepts: Callable[[Item], bool], prefers: Callable[[Item], bool] | None
) -> tuple[Callable[[Item], bool], ...]:
    """Return what to agree to, in the order in which it is looked for."""
    if prefers is None:
        return (accepts,)
    return (
        lambda item: prefers(item) and accepts(item),
        lambda item: not prefers(item) and accepts(item),
    )
