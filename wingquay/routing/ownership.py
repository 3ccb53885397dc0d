"""Determines which nodes own a shard.

The owners of a shard queue its sub-requests and hold the connections to its replicas. The table
keeps a short ranked list of nodes for each shard. When a node joins or leaves, only the lists that
it affects are changed, since ranking all nodes for all shards would block the event loop in large
deployments.
"""

from collections.abc import Iterable

from ..ports.peer import NodeIdentity
from .rendezvous import best, rank, score, spread_over_zones

MAX_CANDIDATES = 12
"""Maximum length of the ranked list of a shard."""

MIN_CANDIDATES = 4
"""Length of a ranked list below which it is rebuilt."""

HANDOFF_NODES = 2
"""Number of handoff nodes, which take over when all owners are unreachable."""


class OwnerTable:
    """Owners and handoff nodes of shards among the nodes of one deployment."""

    def __init__(self, owners_per_shard: int) -> None:
        self._owners_per_shard = owners_per_shard
        self._nodes: dict[str, NodeIdentity] = {}
        self._ranked_nodes: dict[str, list[NodeIdentity]] = {}
        self._owners_and_handoff: dict[str, tuple[NodeIdentity, ...]] = {}

    def set_nodes(self, nodes: Iterable[NodeIdentity]) -> None:
        """Replace the set of nodes that may own shards."""
        fresh = {node.node_id: node for node in nodes}
        removed = [node_id for node_id in self._nodes if node_id not in fresh]
        added = [node for node_id, node in fresh.items() if node_id not in self._nodes]
        self._nodes = dict(sorted(fresh.items()))
        for shard_id in list(self._ranked_nodes):
            self._update(shard_id, removed, added)

    def _update(self, shard_id: str, removed: list[str], added: list[NodeIdentity]) -> None:
        ranked = self._ranked_nodes[shard_id]
        remaining = [node for node in ranked if node.node_id not in removed]
        if len(remaining) < min(MIN_CANDIDATES, len(self._nodes)):
            del self._ranked_nodes[shard_id]
            self._owners_and_handoff.pop(shard_id, None)
            return
        merged = rank([*remaining, *added], shard_id)[:MAX_CANDIDATES]
        if added and len(remaining) < len(ranked):
            # Nodes outside the list may rank above an added node that ranks below all remaining
            # ones, so such nodes are not added.
            lowest_remaining = score(remaining[-1].node_id, shard_id)
            merged = [node for node in merged if score(node.node_id, shard_id) >= lowest_remaining]
        if merged != ranked:
            self._ranked_nodes[shard_id] = merged
            self._owners_and_handoff.pop(shard_id, None)

    def nodes_for(self, shard_id: str) -> tuple[NodeIdentity, ...]:
        """Return the shard's owners, then its handoff nodes; empty if there are no nodes."""
        chosen = self._owners_and_handoff.get(shard_id)
        if chosen is None:
            chosen = self._choose(shard_id)
            self._owners_and_handoff[shard_id] = chosen
        return chosen

    def _choose(self, shard_id: str) -> tuple[NodeIdentity, ...]:
        ranked = self._ranked_nodes.get(shard_id)
        if ranked is None:
            ranked = best(self._nodes.values(), shard_id, MAX_CANDIDATES)
            self._ranked_nodes[shard_id] = ranked
        count = max(1, self._owners_per_shard) + HANDOFF_NODES
        return tuple(spread_over_zones(ranked, count))

    def owners_of(self, shard_id: str) -> tuple[NodeIdentity, ...]:
        """Return the shard's owners without its handoff nodes."""
        return self.nodes_for(shard_id)[: max(1, self._owners_per_shard)]
