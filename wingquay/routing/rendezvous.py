"""Rendezvous (highest random weight) hashing, spread over zones.

When a node joins or leaves, only the keys that it gains or loses move. Source: Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable
from heapq import nsmallest

import xxhash

from ..ports.peer_link import NodeIdentity


def score(node_id: str, key: str) -> int:
    """Return the score of a node for a key; the same on every machine."""
    return xxhash.xxh64_intdigest(f"{node_id}\0{key}".encode())


def best(nodes: Iterable[NodeIdentity], key: str, count: int) -> list[NodeIdentity]:
    """Return the first ``count`` nodes of ``rank``, without sorting all of them."""
    suffix = f"\0{key}".encode()
    digest = xxhash.xxh64_intdigest
    scored = [(-digest(node.node_id.encode() + suffix), node.node_id, node) for node in nodes]
    return [node for _, _, node in nsmallest(count, scored)]


def rank(nodes: Iterable[NodeIdentity], key: str) -> list[NodeIdentity]:
    """Return the nodes by decreasing score for ``key``."""
    return sorted(nodes, key=lambda node: (-score(node.node_id, key), node.node_id))


def spread_over_zones(ranked: list[NodeIdentity], count: int) -> list[NodeIdentity]:
    """Return the first ``count`` of ``ranked``, taking each zone once before any zone twice."""
    chosen: list[NodeIdentity] = []
    waiting = list(ranked)
    while waiting and len(chosen) < count:
        zones_of_round: set[str] = set()
        passed_over: list[NodeIdentity] = []
        for node in waiting:
            if node.zone in zones_of_round or len(chosen) >= count:
                passed_over.append(node)
                continue
            zones_of_round.add(node.zone)
            chosen.append(node)
        waiting = passed_over
    return chosen
