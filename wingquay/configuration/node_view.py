"""What the parts of the configuration machine know in common about their node and its peers."""

from random import Random

from ..model.identifiers import NodeId, ZoneName
from ..model.mechanisms import Mechanism
from ..ports.internal import LoadObserved, MembershipChanged
from ..ports.peer import NodeIdentity


class NodeView:
    """The node, the nodes that it can ask, and the load it sees.

    Parameters
    ----------
    random
        Seeded source.
    disabled
        Mechanisms that are taken out, for tests only.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        random: Random,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self.identity = identity
        self.disabled = disabled
        self.random = random
        self.load = LoadObserved()
        self.leaving = False
        """Whether this node's planned stop has begun."""
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
        """The available nodes, this one included."""
        return len(self._peers) + 1

    @property
    def zone_node_count(self) -> int:
        """The available nodes of this node's zone, itself included."""
        return len(self.zone_peers(self.identity.zone)) + 1

    @property
    def zones(self) -> tuple[ZoneName, ...]:
        """The zones with available nodes, in order; this node's own among them."""
        return tuple(sorted({self.identity.zone, *self._peers_by_zone}))

    def zone_peers(self, zone: ZoneName) -> tuple[NodeIdentity, ...]:
        """Return the other available nodes of a zone."""
        return self._peers_by_zone.get(zone, ())

    def peer(self, node_id: NodeId) -> NodeIdentity | None:
        """Return the other available node with that id, if there is one."""
        return self._peers_by_id.get(node_id)

    def update(self, change: MembershipChanged) -> None:
        """Take in the nodes that membership now believes in."""
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
        """Return up to ``count`` of ``nodes`` at random, none twice."""
        return self.random.sample(nodes, min(count, len(nodes)))
