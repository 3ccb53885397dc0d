"""Splits the keys of a request over the shards of a service."""

from bisect import bisect_right
from dataclasses import dataclass

from ..model.configuration import Service, Shard
from ..model.key_range import KeyRange, intersect, normalize, subtract

MAX_CACHED_PARTITIONS = 1024
"""Maximum number of cached partitions for each service; many requests have the same ranges."""


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """Requested keys that one shard holds."""

    shard: Shard
    key_ranges: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class KeyPartition:
    """Requested keys, partitioned by shard.

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
        self._shard_keys = normalize(shard.key_range for shard in self._shards)
        self._cache: dict[tuple[KeyRange, ...], KeyPartition] = {}

    def partition(self, key_ranges: tuple[KeyRange, ...]) -> KeyPartition:
        """Return ``key_ranges`` partitioned by shard; results are cached."""
        partition = self._cache.get(key_ranges)
        if partition is None:
            partition = self._partition(key_ranges)
            if len(self._cache) >= MAX_CACHED_PARTITIONS:
                self._cache.clear()
            self._cache[key_ranges] = partition
        return partition

    def _partition(self, key_ranges: tuple[KeyRange, ...]) -> KeyPartition:
        wanted = normalize(key_ranges)
        touched = {index for key_range in wanted for index in self._touched(key_range)}
        assignments: list[ShardAssignment] = []
        for index in sorted(touched):
            shard = self._shards[index]
            overlap = intersect(wanted, (shard.key_range,))
            if overlap:
                assignments.append(ShardAssignment(shard, overlap))
        return KeyPartition(tuple(assignments), subtract(wanted, self._shard_keys))

    def _touched(self, key_range: KeyRange) -> range:
        first = max(0, bisect_right(self._starts, key_range.start) - 1)
        if key_range.end is None:
            return range(first, len(self._shards))
        return range(first, bisect_right(self._starts, key_range.end))
