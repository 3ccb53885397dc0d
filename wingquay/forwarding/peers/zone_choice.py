"""Chooses the zones in which the shards of a wide request are contacted."""

import math
from collections.abc import Collection, Mapping
from itertools import combinations

MAX_ZONES_SEARCHED = 10
"""Maximum number of zones for an exhaustive search; a greedy search is used beyond it."""
MIN_OWNERS_RATIO = 0.75
"""Minimum number of nodes in the chosen zones, as a multiple of the square root of the number of
shards. Some 9 owners of 90 shards are best, and 7 are hardly worse."""


def choose_zones(
    own_zone: str, zones: list[str], replica_zones: Mapping[str, Collection[str]]
) -> dict[str, str]:
    """Return the zone in which each shard is contacted.

    The own zone is used wherever it has a replica; the other shards use as few zones as possible.

    Parameters
    ----------
    zones
        The zones that have nodes, sorted. Each node prefers the zones that follow its own, which
        balances the load.
    replica_zones
        The zones with a replica of each shard; a shard without a replica is left out.
    """
    remote = {
        shard: frozenset(holding_zones)
        for shard, holding_zones in replica_zones.items()
        if holding_zones and own_zone not in holding_zones
    }
    start = zones.index(own_zone) if own_zone in zones else 0
    others = [zone for zone in zones[start:] + zones[:start] if zone != own_zone]
    chosen = _minimum_zones(others, set(remote.values()))
    assigned_counts = dict.fromkeys(chosen, 0)
    result = {
        shard: own_zone
        for shard, holding_zones in replica_zones.items()
        if own_zone in holding_zones
    }
    for shard, holding_zones in remote.items():
        zone = min(
            (zone for zone in chosen if zone in holding_zones),
            key=lambda zone: assigned_counts[zone],
        )
        assigned_counts[zone] += 1
        result[shard] = zone
    return result


def spread_zones(
    own_zone: str,
    nodes_per_zone: Mapping[str, int],
    replica_zones: Mapping[str, Collection[str]],
    zone_by_shard: Mapping[str, str],
) -> Mapping[str, str]:
    """Return the zone in which each shard is contacted, with enough nodes for the work.

    Zones are added until the chosen zones have at least ``MIN_OWNERS_RATIO * sqrt(shards)`` nodes.
    With fewer, the processor time per node dominates the latency.

    Parameters
    ----------
    nodes_per_zone
        The number of nodes in each zone.
    replica_zones
        The zones with a replica of each shard.
    zone_by_shard
        The zone of each shard, with as few zones as possible.
    """
    wanted = math.sqrt(len(zone_by_shard)) * MIN_OWNERS_RATIO
    names = sorted(nodes_per_zone)
    start = names.index(own_zone) if own_zone in names else 0
    used = set(zone_by_shard.values())
    for zone in names[start:] + names[:start]:
        if sum(nodes_per_zone[name] for name in used) >= wanted:
            break
        if any(zone in holding_zones for holding_zones in replica_zones.values()):
            used.add(zone)
    if used == set(zone_by_shard.values()):
        return zone_by_shard
    assigned_counts = dict.fromkeys(used, 0)
    spread: dict[str, str] = {}
    for shard in sorted(zone_by_shard):
        zone = min(
            (name for name in sorted(used) if name in replica_zones[shard]),
            key=lambda name: assigned_counts[name] / nodes_per_zone[name],
            default=zone_by_shard[shard],
        )
        assigned_counts[zone] += 1
        spread[shard] = zone
    return spread


def _minimum_zones(zones: list[str], wanted: set[frozenset[str]]) -> tuple[str, ...]:
    """Return a minimal set of zones with a member in each wanted set; greedy for many zones."""
    if len(zones) <= MAX_ZONES_SEARCHED:
        for count in range(len(zones) + 1):
            for chosen in combinations(zones, count):
                if all(not holding_zones.isdisjoint(chosen) for holding_zones in wanted):
                    return chosen
    chosen_so_far: tuple[str, ...] = ()
    uncovered = set(wanted)
    while uncovered:
        best = max(
            zones, key=lambda zone: sum(zone in holding_zones for holding_zones in uncovered)
        )
        chosen_so_far += (best,)
        uncovered = {holding_zones for holding_zones in uncovered if best not in holding_zones}
    return chosen_so_far
