"""Splits a request's keys over the shards of a service."""

from dataclasses import dataclass

from wingquay.model.configuration import Service, Shard
from wingquay.model.key_range import KeyRange, intersect, subtract


@dataclass(frozen=True, slots=True)
class ShardPiece:
    """The keys that one shard is asked for."""

    shard: Shard
    key_ranges: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """The pieces of a request, and keys that no shard holds."""

    pieces: tuple[ShardPiece, ...]
    unassigned: tuple[KeyRange, ...]


def plan_shards(service: Service, key_ranges: tuple[KeyRange, ...]) -> ShardPlan:
    """Return which shards hold which of ``key_ranges``."""
    pieces: list[ShardPiece] = []
    for shard in service.shards:
        overlap = intersect(key_ranges, (shard.key_range,))
        if overlap:
            pieces.append(ShardPiece(shard, overlap))
    held = [shard.key_range for shard in service.shards]
    return ShardPlan(tuple(pieces), subtract(key_ranges, held))
