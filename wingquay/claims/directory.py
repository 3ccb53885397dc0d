"""The designated holder of each assignment, according to this node's view of the membership.

Nodes with the same view designate the same holder, but the actual holder may differ for a while.
"""

from collections.abc import Iterable

import xxhash

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.peer import NodeIdentity


def assignment_holder(nodes: Iterable[NodeIdentity], partition: int) -> NodeIdentity | None:
    """Return the designated holder, or ``None`` if there are no nodes.

    It is the winner of a rendezvous hash. Source: Thaler and Ravishankar, "Using name-based
    mappings to increase hit rates", 1998.
    """
    return max(nodes, key=lambda node: _weight(node.node_id, partition), default=None)


def _weight(node_id: NodeId, partition: int) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{partition}/{node_id}".encode()), node_id


class AssignmentDirectory:
    """The available nodes by zone, and the designated holders computed from them.

    Leaving nodes are never designated. Computed holders are cached until the next update.
    """

    def __init__(self) -> None:
        self._nodes: dict[tuple[DeploymentName, ZoneName], list[NodeIdentity]] = {}
        self._leaving: frozenset[NodeId] = frozenset()
        self._leaving_nodes: tuple[NodeIdentity, ...] = ()
        self._holders: dict[tuple[DeploymentName, ZoneName, int], NodeIdentity | None] = {}

    def update(
        self,
        available: Iterable[NodeIdentity],
        leaving: Iterable[NodeIdentity],
    ) -> None:
        """Replace the view of the membership."""
        self._leaving_nodes = tuple(leaving)
        self._leaving = frozenset(node.node_id for node in self._leaving_nodes)
        self._nodes = {}
        self._holders = {}
        for node in available:
            if node.node_id not in self._leaving:
                self._nodes.setdefault((node.deployment, node.zone), []).append(node)

    def node_ids(self, deployment: DeploymentName, zone: ZoneName) -> frozenset[NodeId]:
        """Return the available nodes of a zone."""
        return frozenset(node.node_id for node in self._nodes.get((deployment, zone), []))

    def zone_peers(self, identity: NodeIdentity) -> list[NodeIdentity]:
        """Return the other nodes of the same zone, leaving ones last."""
        zone = (identity.deployment, identity.zone)
        leaving = [node for node in self._leaving_nodes if (node.deployment, node.zone) == zone]
        nodes = (*self._nodes.get(zone, []), *leaving)
        return [node for node in nodes if node.node_id != identity.node_id]

    def is_leaving(self, node_id: NodeId) -> bool:
        """Whether the node is in its planned stop."""
        return node_id in self._leaving

    def designated_holder(
        self,
        deployment: DeploymentName,
        zone: ZoneName,
        partition: int,
    ) -> NodeIdentity | None:
        """Return the designated holder, or ``None`` if the zone has no node."""
        key = (deployment, zone, partition)
        if key not in self._holders:
            nodes = self._nodes.get((deployment, zone), [])
            self._holders[key] = assignment_holder(nodes, partition)
        return self._holders[key]

    def successor(self, leaver: NodeIdentity, partition: int) -> NodeIdentity | None:
        """Return the designated holder once ``leaver`` has left its zone."""
        nodes = self._nodes.get((leaver.deployment, leaver.zone), [])
        others = (node for node in nodes if node.node_id != leaver.node_id)
        return assignment_holder(others, partition)
