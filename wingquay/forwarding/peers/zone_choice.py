"""In which zones the shards of a wide request are asked: pure functions over who holds what."""

import math
from collections.abc import Collection, Mapping
from itertools import combinations

MOST_ZONES_SEARCHED = 10
"""Zones up to which every choice is weighed (1,023 of them); beyond, one zone after the other."""
FEWEST_OWNERS_SHARE = 0.75
"""Owners, as a part of the square root of the number of shards, below which a request goes to
further zones: some 9 owners of 90 shards are best, and 7 are hardly worse."""


def choose_zones(
    own_zone: str, zones: list[str], held: Mapping[str, Collection[str]]
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
    far = {
        shard: frozenset(found) for shard, found in held.items() if found and own_zone not in found
    }
    place = zones.index(own_zone) if own_zone in zones else 0
    others = [zone for zone in zones[place:] + zones[:place] if zone != own_zone]
    chosen = _fewest_zones(others, set(far.values()))
    asked = dict.fromkeys(chosen, 0)
    result = {shard: own_zone for shard, found in held.items() if own_zone in found}
    for shard, found in far.items():
        zone = min((zone for zone in chosen if zone in found), key=lambda zone: asked[zone])
        asked[zone] += 1
        result[shard] = zone
    return result


def spread_zones(
    own_zone: str,
    members: Mapping[str, int],
    held: Mapping[str, Collection[str]],
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
    wanted = math.sqrt(len(zones)) * FEWEST_OWNERS_SHARE
    names = sorted(members)
    place = names.index(own_zone) if own_zone in names else 0
    used = set(zones.values())
    for zone in names[place:] + names[:place]:
        if sum(members[name] for name in used) >= wanted:
            break
        if any(zone in found for found in held.values()):
            used.add(zone)
    if used == set(zones.values()):
        return zones
    asked = dict.fromkeys(used, 0)
    spread: dict[str, str] = {}
    for shard in sorted(zones):
        zone = min(
            (name for name in sorted(used) if name in held[shard]),
            key=lambda name: asked[name] / members[name],
            default=zones[shard],
        )
        asked[zone] += 1
        spread[shard] = zone
    return spread


def _fewest_zones(zones: list[str], wanted: set[frozenset[str]]) -> tuple[str, ...]:
    """Return a smallest choice of zones that has one of each wanted set."""
    if len(zones) <= MOST_ZONES_SEARCHED:
        for count in range(len(zones) + 1):
            for chosen in combinations(zones, count):
                if all(not found.isdisjoint(chosen) for found in wanted):
                    return chosen
    chosen_so_far: tuple[str, ...] = ()
    left = set(wanted)
    while left:
        best = max(zones, key=lambda zone: sum(zone in found for found in left))
        chosen_so_far += (best,)
        left = {found for found in left if best not in found}
    return chosen_so_far
