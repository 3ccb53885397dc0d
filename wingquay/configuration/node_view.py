"""State of the node and its peers that the parts of the configuration machine share."""

from random import Random

from ..model.identifiers import NodeId, ZoneName
from ..model.mechanisms import Mechanism
from ..ports.internal import LoadObserved, MembershipChanged
from ..ports.peer import NodeIdentity


class NodeView:
    """The node's identity and load, and the available nodes by zone.

    Parameters
    ----------
    random
        Random number generator.
    disabled
        Mechanisms that are switched off, for tests only.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        random: Random,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self.identity = identity
        self.disabled_mechanisms = disabled
        self.random = random
        self.load = LoadObserved()
        self.is_stopping = False
        """Whether this node has begun its planned stop."""
        self.available: tuple[NodeIdentity, ...] = (identity,)
        self.leaving_nodes: tuple[NodeIdentity, ...] = ()
        self._peers: tuple[NodeIdentity, ...] = ()
        self._peers_by_zone: dict[ZoneName, tuple[NodeIdentity, ...]] = {}
        self._peers_by_id: dict[NodeId, NodeIdentity] = {}

    @property
    def peers(self) -> tuple[NodeIdentity, ...]:
        """The other available nodes."""
        return self._peers

    @property
    def node_count(self) -> int:
        """Number of available nodes, including this one."""
        return len(self._peers) + 1

    @property
    def zone_node_count(self) -> int:
        """Number of available nodes in this node's zone, including this one."""
        return len(self.zone_peers(self.identity.zone)) + 1

    @property
    def zones(self) -> tuple[ZoneName, ...]:
        """The zones with available nodes, sorted by name; includes this node's zone."""
        return tuple(sorted({self.identity.zone, *self._peers_by_zone}))

    def zone_peers(self, zone: ZoneName) -> tuple[NodeIdentity, ...]:
        """Return the other available nodes of a zone."""
        return self._peers_by_zone.get(zone, ())

    def peer(self, node_id: NodeId) -> NodeIdentity | None:
        """Return the other available node with this id, or ``None``."""
        return self._peers_by_id.get(node_id)

    def update(self, change: MembershipChanged) -> None:
        """Update the available and leaving nodes from the membership."""
        own = self.identity.node_id
        self.available = change.available
        self.leaving_nodes = change.leaving
        self._peers = tuple(node for node in change.available if node.node_id != own)
        self._peers_by_id = {node.node_id: node for node in self._peers}
        zones: dict[ZoneName, list[NodeIdentity]] = {}
        for node in self._peers:
            zones.setdefault(node.zone, []).append(node)
        self._peers_by_zone = {zone: tuple(nodes) for zone, nodes in zones.items()}

    def sample(self, nodes: tuple[NodeIdentity, ...], count: int) -> list[NodeIdentity]:
        """Return up to ``count`` random elements of ``nodes``, without duplicates."""
        return self.random.sample(nodes, min(count, len(nodes)))
