"""A queue with priorities and fair sharing between flows.

Ranks are served in order of priority. Within a rank, flows (classes or tenants) are scheduled by
start-time fair queueing, and the items of a flow in FIFO order. Under contention, a flow receives
service in proportion to its weight, however many items it queues, so that no flow of the rank
starves. Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
"""

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .decaying_rate import DecayingRate
from .queue_placement import QueueItem, QueuePlacement

SERVED_SECONDS = 0.25
"""Time constant of the rate at which a flow was served."""
MAX_SCANNED_ENTRIES = 8
"""Maximum number of entries of a flow that ``pop`` checks."""
MAX_IDLE_FLOWS = 256
"""Number of flows of a rank above which flows without entries are removed."""


Item = TypeVar("Item", bound=QueueItem)


class _Entry(Generic[Item]):
    __slots__ = ("cost", "item", "start_tag")

    def __init__(self, item: Item, cost: float, start_tag: float) -> None:
        self.item = item
        self.cost = cost
        self.start_tag = start_tag


class _Flow(Generic[Item]):
    __slots__ = ("backlog", "entries", "finish_set_at", "finish_tag", "served", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self.entries: deque[_Entry[Item]] = deque()
        self.finish_tag = 0.0
        self.finish_set_at = 0.0
        self.backlog = 0.0
        self.served = DecayingRate(SERVED_SECONDS)


class _Rank(Generic[Item]):
    __slots__ = ("flows", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, _Flow[Item]] = {}
        self.virtual_time = 0.0


class FairQueue(Generic[Item]):
    """Items that wait for the slots of one shard or service.

    Parameters
    ----------
    placement_of
        Returns the rank, flow, weight and cost of an item.
    memory_seconds
        Time constant with which the work done for an idle flow beyond its share is forgotten;
        ``None``: it counts until as much has been done for the other flows.
    """

    def __init__(
        self, placement_of: Callable[[Item], QueuePlacement], memory_seconds: float | None = None
    ) -> None:
        self._placement_of = placement_of
        self._memory_seconds = memory_seconds
        self._ranks: dict[int, _Rank[Item]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of queued items, including finished ones that are not yet removed."""
        return self._length

    def push(self, item: Item, now: float = 0.0) -> None:
        """Add an item at the end of its flow."""
        placement = self._placement_of(item)
        flow = self._flow_of(placement)
        start_tag = self._start_tag(placement, now)
        flow.finish_tag = start_tag + placement.cost / placement.weight
        flow.finish_set_at = now
        flow.entries.append(_Entry(item, placement.cost, start_tag))
        self._on_added(flow, item, placement)

    def push_front(self, item: Item) -> None:
        """Put an item back at the front of its flow."""
        placement = self._placement_of(item)
        flow = self._flow_of(placement)
        tag = self._ranks[placement.rank].virtual_time
        flow.entries.appendleft(_Entry(item, placement.cost, tag))
        self._on_added(flow, item, placement)

    def charge(self, item: Item, now: float) -> None:
        """Charge the flow of an item that was served without being queued."""
        placement = self._placement_of(item)
        flow = self._flow_of(placement)
        flow.finish_tag = self._start_tag(placement, now) + placement.cost / placement.weight
        flow.finish_set_at = now

    def pop(
        self,
        accepts: Callable[[Item], bool],
        now: float,
        prefers: Callable[[Item], bool] | None = None,
    ) -> Item | None:
        """Remove and return the next item that ``accepts`` returns true for, or ``None``.

        Only the first ``MAX_SCANNED_ENTRIES`` items of each flow are checked. ``accepts`` may act
        on an item, which is removed if it returns true.

        Parameters
        ----------
        prefers
            Returns whether an item precedes the items of its rank for which it returns false.
        """
        for number in sorted(self._ranks):
            rank = self._ranks[number]
            flows = [flow for flow in rank.flows.values() if self._remove_finished(flow)]
            flows.sort(key=lambda flow: flow.entries[0].start_tag)
            for matches in _passes(accepts, prefers):
                for flow in flows:
                    entry = self._pop_from(rank, flow, matches)
                    if entry is not None:
                        flow.served.add(entry.cost, now)
                        return entry.item
        return None

    def queued_before(
        self, item: Item, now: float, prefers: Callable[[Item], bool] | None = None
    ) -> int:
        """Return the number of items that precede ``item``, which need not be queued yet.

        Parameters
        ----------
        prefers
            As in ``pop``, called for each item. Without it, the count is fast but includes
            finished items.
        """
        placement = self._placement_of(item)
        tag = self._tag_of(item, placement, now)
        is_preferred = prefers is None or prefers(item)
        return sum(
            self._queued_before_in(
                flow, item, rank < placement.rank, (not is_preferred, tag), prefers
            )
            for rank, known in self._ranks.items()
            if rank <= placement.rank
            for flow in known.flows.values()
            if flow.entries
        )

    def waiting(self) -> Iterator[Item]:
        """Iterate over the queued items that are not finished."""
        for rank in self._ranks:
            for entry in self._entries(rank):
                if not entry.item.is_finished:
                    yield entry.item

    def delay_seconds(self, placement: QueuePlacement, parallelism: int, now: float) -> float:
        """Return how long a new item would wait for one of ``parallelism`` slots.

        Its flow is served at the rate that its weight guarantees, or at its recent rate if that is
        higher because other flows use less than their share.
        """
        if self._length == 0:
            return 0.0
        rank = self._ranks.get(placement.rank)
        flows = {} if rank is None else rank.flows
        own = flows.get(placement.flow)
        weights = sum(
            flow.weight for name, flow in flows.items() if flow.entries and name != placement.flow
        )
        guaranteed_rate = max(1, parallelism) * placement.weight / (placement.weight + weights)
        recent_rate = own.served.per_second(now) if own is not None else 0.0
        return (own.backlog if own is not None else 0.0) / max(guaranteed_rate, recent_rate)

    def _tag_of(self, item: Item, placement: QueuePlacement, now: float) -> float:
        tag = self._start_tag(placement, now)
        if not item.is_queued:
            return tag
        entries = self._flow_of(placement).entries
        return next((entry.start_tag for entry in entries if entry.item is item), tag)

    def _queued_before_in(
        self,
        flow: _Flow[Item],
        item: Item,
        is_before: bool,
        key: tuple[bool, float],
        prefers: Callable[[Item], bool] | None,
    ) -> int:
        """Return the number of items of a flow that precede an item.

        Parameters
        ----------
        is_before
            Whether the whole flow precedes the item, because its rank is more urgent.
        key
            Sort key of the item within its rank.
        """
        if prefers is None:
            if is_before:
                return len(flow.entries)
            # Items with the same tag precede a new item. A queued item must not count itself.
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

    def _flow_of(self, placement: QueuePlacement) -> _Flow[Item]:
        rank = self._ranks.setdefault(placement.rank, _Rank())
        flow = rank.flows.get(placement.flow)
        if flow is None:
            if len(rank.flows) > MAX_IDLE_FLOWS:
                rank.flows = {name: flow for name, flow in rank.flows.items() if flow.entries}
            flow = _Flow()
            rank.flows[placement.flow] = flow
        flow.weight = placement.weight
        return flow

    def _start_tag(self, placement: QueuePlacement, now: float) -> float:
        rank = self._ranks.get(placement.rank)
        if rank is None:
            return 0.0
        flow = rank.flows.get(placement.flow)
        if flow is None:
            return rank.virtual_time
        excess = max(0.0, flow.finish_tag - rank.virtual_time)
        if self._memory_seconds is not None and not flow.entries:
            excess *= math.exp(-(now - flow.finish_set_at) / self._memory_seconds)
        return rank.virtual_time + excess

    def _on_added(self, flow: _Flow[Item], item: Item, placement: QueuePlacement) -> None:
        flow.backlog += placement.cost
        item.is_queued = True
        self._length += 1

    def _remove_finished(self, flow: _Flow[Item]) -> bool:
        """Remove finished items at the front of a flow; return whether it has items left."""
        while flow.entries and flow.entries[0].item.is_finished:
            self._on_removed(flow, flow.entries.popleft())
        return bool(flow.entries)

    def _pop_from(
        self, rank: _Rank[Item], flow: _Flow[Item], matches: Callable[[Item], bool]
    ) -> _Entry[Item] | None:
        for position in range(min(MAX_SCANNED_ENTRIES, len(flow.entries))):
            entry = flow.entries[position]
            if entry.item.is_finished or not matches(entry.item):
                continue
            del flow.entries[position]
            self._on_removed(flow, entry)
            rank.virtual_time = max(rank.virtual_time, entry.start_tag)
            return entry
        return None

    def _on_removed(self, flow: _Flow[Item], entry: _Entry[Item]) -> None:
        flow.backlog = max(0.0, flow.backlog - entry.cost)
        entry.item.is_queued = False
        self._length -= 1
        if not flow.entries:
            flow.backlog = 0.0


def _passes(
    accepts: Callable[[Item], bool], prefers: Callable[[Item], bool] | None
) -> tuple[Callable[[Item], bool], ...]:
    """Return the filters for the passes over a rank: preferred items first, then the others."""
    if prefers is None:
        return (accepts,)
    return (
        lambda item: prefers(item) and accepts(item),
        lambda item: not prefers(item) and accepts(item),
    )
