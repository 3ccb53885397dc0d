"""Which nodes own a shard: they queue for its replicas' slots and hold its connections.

The table keeps a short ranked list for each shard and changes only the lists that a joining or
leaving node touches, since ranking all nodes for all shards at each change of membership would
hold up the event loop at the target size (1,400 shards, 470 nodes).
"""

from collections.abc import Iterable

from ..ports.peer import NodeIdentity
from .rendezvous import best, rank, score, spread_over_zones

KEPT_CANDIDATES = 12
"""Best nodes remembered for each shard."""

MIN_CANDIDATES = 4
"""A list that has shrunk below this is ranked anew."""

HANDOFF_OWNERS = 2
"""Nodes after the owners that take over when all of those cannot be reached."""


class OwnerTable:
    """Owners and handoff nodes of shards, for the nodes of one deployment."""

    def __init__(self, owners_per_shard: int) -> None:
        self._owners_per_shard = owners_per_shard
        self._nodes: dict[str, NodeIdentity] = {}
        self._candidates: dict[str, list[NodeIdentity]] = {}
        self._chosen: dict[str, tuple[NodeIdentity, ...]] = {}

    def set_nodes(self, nodes: Iterable[NodeIdentity]) -> None:
        """Replace the set of nodes that may own shards."""
        fresh = {node.node_id: node for node in nodes}
        removed = [node_id for node_id in self._nodes if node_id not in fresh]
        added = [node for node_id, node in fresh.items() if node_id not in self._nodes]
        self._nodes = dict(sorted(fresh.items()))
        for shard_id in list(self._candidates):
            self._update(shard_id, removed, added)

    def _update(self, shard_id: str, removed: list[str], added: list[NodeIdentity]) -> None:
        candidates = self._candidates[shard_id]
        kept = [node for node in candidates if node.node_id not in removed]
        if len(kept) < min(MIN_CANDIDATES, len(self._nodes)):
            del self._candidates[shard_id]
            self._chosen.pop(shard_id, None)
            return
        merged = rank([*kept, *added], shard_id)[:KEPT_CANDIDATES]
        if added and len(kept) < len(candidates):
            # A node that was not kept may rank above an added one: never trust the tail.
            lowest_kept = score(kept[-1].node_id, shard_id)
            merged = [node for node in merged if score(node.node_id, shard_id) >= lowest_kept]
        if merged != candidates:
            self._candidates[shard_id] = merged
            self._chosen.pop(shard_id, None)

    def nodes_for(self, shard_id: str) -> tuple[NodeIdentity, ...]:
        """Return the shard's owners, then its handoff nodes; empty only without any node."""
        chosen = self._chosen.get(shard_id)
        if chosen is None:
            chosen = self._choose(shard_id)
            self._chosen[shard_id] = chosen
        return chosen

    def _choose(self, shard_id: str) -> tuple[NodeIdentity, ...]:
        candidates = self._candidates.get(shard_id)
        if candidates is None:
            candidates = best(self._nodes.values(), shard_id, KEPT_CANDIDATES)
            self._candidates[shard_id] = candidates
        count = max(1, self._owners_per_shard) + HANDOFF_OWNERS
        return tuple(spread_over_zones(candidates, count))

    def owners_of(self, shard_id: str) -> tuple[NodeIdentity, ...]:
        """Return the shard's owners alone."""
        return self.nodes_for(shard_id)[: max(1, self._owners_per_shard)]
