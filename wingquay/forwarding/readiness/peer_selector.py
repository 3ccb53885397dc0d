"""Which nodes a node asks when it is in doubt what is in reach."""

from typing import TYPE_CHECKING

from ...ports.peer_link import NodeIdentity

if TYPE_CHECKING:
    from ..knowledge.node_groups import NodeGroups


class Contacts:
    """The nodes to ask; none until the link to others is open.

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
        """Return the zones that have nodes, this node's own included."""
        return tuple(sorted({self._zone, *(zone for zone, _, _ in self._nodes())}))

    def neighbours(self) -> list[NodeIdentity]:
        """Return the other nodes of the zone, those first whose names follow this one's."""
        near = [(name, node) for zone, name, node in self._nodes() if zone == self._zone]
        after = [node for name, node in near if name > self._name]
        return after + [node for name, node in near if name < self._name]

    def fingers(self) -> list[NodeIdentity]:
        """Return the neighbours at distances 1, 2, 4 and so on.

        A word that everyone passes on reaches a zone of 60 nodes in six steps, by six messages of
        each.
        """
        near = self.neighbours()
        chosen: list[NodeIdentity] = []
        distance = 1
        while distance <= len(near):
            chosen.append(near[distance - 1])
            distance *= 2
        return chosen

    def one_of_each_zone(self) -> list[NodeIdentity]:
        """Return a node of every other zone, not the same one for all nodes of this zone."""
        place = len([name for _, name, _ in self._nodes() if name < self._name])
        by_zone: dict[str, list[NodeIdentity]] = {}
        for zone, _, node in self._nodes():
            if zone != self._zone:
                by_zone.setdefault(zone, []).append(node)
        return [nodes[place % len(nodes)] for _, nodes in sorted(by_zone.items())]

    def _nodes(self) -> list[tuple[str, str, NodeIdentity]]:
        if self.groups is None:
            return []
        return [(node.zone, name, node) for name, node in self.groups.other_nodes()]
