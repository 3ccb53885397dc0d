"""In which zones the shards of a wide request are asked: pure functions over who holds what."""

import math
from collections.abc import Collection, Mapping
from itertools import combinations

MAX_ZONES_SEARCHED = 10
"""Zones up to which every choice is weighed (1,023 of them); beyond, one zone after the other."""
MIN_OWNERS_RATIO = 0.75
"""Owners, as a part of the square root of the number of shards, below which a request goes to
further zones: some 9 owners of 90 shards are best, and 7 are hardly worse."""


def choose_zones(
    own_zone: str, zones: list[str], replica_zones: Mapping[str, Collection[str]]
) -> dict[str, str]:
    """Return the zone in which each shard is asked: few zones, the own one wherever it can be.

    Parameters
    ----------
    zones
        The zones that have nodes, sorted; every node goes on from its own, so that none of them is
        the second choice of all.
    held
        The zones that hold a replica of each shard; a shard that none holds is left out.
    """
    remote = {
        shard: frozenset(found)
        for shard, found in replica_zones.items()
        if found and own_zone not in found
    }
    start = zones.index(own_zone) if own_zone in zones else 0
    others = [zone for zone in zones[start:] + zones[:start] if zone != own_zone]
    chosen = _minimum_zones(others, set(remote.values()))
    assigned_counts = dict.fromkeys(chosen, 0)
    result = {shard: own_zone for shard, found in replica_zones.items() if own_zone in found}
    for shard, found in remote.items():
        zone = min(
            (zone for zone in chosen if zone in found), key=lambda zone: assigned_counts[zone]
        )
        assigned_counts[zone] += 1
        result[shard] = zone
    return result


def spread_zones(
    own_zone: str,
    nodes_per_zone: Mapping[str, int],
    replica_zones: Mapping[str, Collection[str]],
    zones: Mapping[str, str],
) -> Mapping[str, str]:
    """Return the zone in which each shard is asked, in more zones where these have too few nodes.

    With fewer owners than the square root of the number of shards each of them codes so many that
    their time outweighs that of a message more, and of the way between zones.

    Parameters
    ----------
    members
        The number of nodes in each zone.
    held
        The zones that hold a replica of each shard.
    zones
        The zone in which each shard would be asked, in as few zones as possible.
    """
    wanted = math.sqrt(len(zones)) * MIN_OWNERS_RATIO
    names = sorted(nodes_per_zone)
    start = names.index(own_zone) if own_zone in names else 0
    used = set(zones.values())
    for zone in names[start:] + names[:start]:
        if sum(nodes_per_zone[name] for name in used) >= wanted:
            break
        if any(zone in found for found in replica_zones.values()):
            used.add(zone)
    if used == set(zones.values()):
        return zones
    assigned_counts = dict.fromkeys(used, 0)
    spread: dict[str, str] = {}
    for shard in sorted(zones):
        zone = min(
            (name for name in sorted(used) if name in replica_zones[shard]),
            key=lambda name: assigned_counts[name] / nodes_per_zone[name],
            default=zones[shard],
        )
        assigned_counts[zone] += 1
        spread[shard] = zone
    return spread


def _minimum_zones(zones: list[str], wanted: set[frozenset[str]]) -> tuple[str, ...]:
    """Return a smallest choice of zones that has one of each wanted set."""
    if len(zones) <= MAX_ZONES_SEARCHED:
        for count in range(len(zones) + 1):
            for chosen in combinations(zones, count):
                if all(not found.isdisjoint(chosen) for found in wanted):
                    return chosen
    chosen_so_far: tuple[str, ...] = ()
    uncovered = set(wanted)
    while uncovered:
        best = max(zones, key=lambda zone: sum(zone in found for found in uncovered))
        chosen_so_far += (best,)
        uncovered = {found for found in uncovered if best not in found}
    return chosen_so_far
