"""Splits the keys of a request over the shards of a service."""

from bisect import bisect_right
from dataclasses import dataclass

from ..model.configuration import Service, Shard
from ..model.key_range import KeyRange, intersect, normalize, subtract

MAX_CACHED_PLANS = 1024
"""Maximum number of cached plans for each service; many requests have the same ranges."""


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """Requested keys that one shard holds."""

    shard: Shard
    key_ranges: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """Assignment of requested keys to shards.

    Parameters
    ----------
    unassigned
        Requested keys that no shard holds.
    """

    assignments: tuple[ShardAssignment, ...]
    unassigned: tuple[KeyRange, ...]


class ShardIndex:
    """Index of the shards of one service by key. Shards must not overlap."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self._shards = sorted(service.shards, key=lambda shard: shard.start)
        self._starts = [shard.start for shard in self._shards]
        self._assigned = normalize(shard.key_range for shard in self._shards)
        self._plans: dict[tuple[KeyRange, ...], ShardPlan] = {}

    def plan(self, key_ranges: tuple[KeyRange, ...]) -> ShardPlan:
        """Return the assignment of ``key_ranges`` to shards; plans are cached."""
        plan = self._plans.get(key_ranges)
        if plan is None:
            plan = self._make_plan(key_ranges)
            if len(self._plans) >= MAX_CACHED_PLANS:
                self._plans.clear()
            self._plans[key_ranges] = plan
        return plan

    def _make_plan(self, key_ranges: tuple[KeyRange, ...]) -> ShardPlan:
        requested = normalize(key_ranges)
        overlapping = {index for key_range in requested for index in self._overlapping(key_range)}
        assignments: list[ShardAssignment] = []
        for index in sorted(overlapping):
            shard = self._shards[index]
            overlap = intersect(requested, (shard.key_range,))
            if overlap:
                assignments.append(ShardAssignment(shard, overlap))
        return ShardPlan(tuple(assignments), subtract(requested, self._assigned))

    def _overlapping(self, key_range: KeyRange) -> range:
        first = max(0, bisect_right(self._starts, key_range.start) - 1)
        if key_range.end is None:
            return range(first, len(self._shards))
        return range(first, bisect_right(self._starts, key_range.end))
