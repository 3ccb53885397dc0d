"""Selects the nodes that a node queries in a reachability check."""

from typing import TYPE_CHECKING

from ...ports.peer_link import NodeIdentity

if TYPE_CHECKING:
    from ..knowledge.node_groups import NodeGroups


class PeerSelector:
    """Selects nodes to query; none before the link to other nodes is open.

    Parameters
    ----------
    zone, name
        The zone and the name of this node.
    """

    def __init__(self, zone: str, name: str) -> None:
        self._zone = zone
        self._name = name
        self.groups: NodeGroups | None = None

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have nodes, including this node's own."""
        return tuple(sorted({self._zone, *(zone for zone, _, _ in self._nodes())}))

    def zone_peers(self) -> list[NodeIdentity]:
        """Return the other nodes of the zone in a ring by name, starting after this node."""
        same_zone = [(name, node) for zone, name, node in self._nodes() if zone == self._zone]
        after = [node for name, node in same_zone if name > self._name]
        return after + [node for name, node in same_zone if name < self._name]

    def gossip_targets(self) -> list[NodeIdentity]:
        """Return the zone peers at distances 1, 2, 4 and so on in the ring.

        If each node forwards a message to these, it reaches all nodes of the zone in a logarithmic
        number of steps.
        """
        zone_peers = self.zone_peers()
        chosen: list[NodeIdentity] = []
        distance = 1
        while distance <= len(zone_peers):
            chosen.append(zone_peers[distance - 1])
            distance *= 2
        return chosen

    def one_of_each_zone(self) -> list[NodeIdentity]:
        """Return one node of every other zone; the nodes of this zone choose different ones."""
        position = len([name for _, name, _ in self._nodes() if name < self._name])
        by_zone: dict[str, list[NodeIdentity]] = {}
        for zone, _, node in self._nodes():
            if zone != self._zone:
                by_zone.setdefault(zone, []).append(node)
        return [nodes[position % len(nodes)] for _, nodes in sorted(by_zone.items())]

    def _nodes(self) -> list[tuple[str, str, NodeIdentity]]:
        if self.groups is None:
            return []
        return [(node.zone, name, node) for name, node in self.groups.other_nodes()]
