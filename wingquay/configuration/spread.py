"""What this node has heard of the revisions that other nodes have in force."""

from dataclasses import dataclass

from ..model.identifiers import NodeId, Revision, ZoneName
from .node_view import NodeView

NODES_WAITED_FOR = 2
"""Nodes of a zone that must have said so before a revision counts as in force there."""


@dataclass(frozen=True, slots=True)
class ZoneSpread:
    """A zone's revisions as far as heard.

    ``in_force_seconds``: from the confirm on this node until the first nodes of the zone
    (``NODES_WAITED_FOR``) said that they have the revision.
    """

    nodes: int
    nodes_heard: int
    lowest: Revision | None
    highest: Revision | None
    in_force_seconds: float | None


class Spread:
    """Remembers the last revision heard of each node, and when a confirmed one arrived there."""

    def __init__(self, view: NodeView) -> None:
        self._view = view
        self._heard: dict[NodeId, Revision] = {}
        self._heard_at: dict[NodeId, float] = {}
        self._landed_revision = Revision(0)
        self._landed_at = 0.0
        self._arrived_at: dict[NodeId, float] = {}

    def landed(self, revision: Revision, now: float) -> None:
        """Note that a confirm on this node made ``revision``."""
        self._landed_revision = revision
        self._landed_at = now
        self._arrived_at = {self._view.identity.node_id: now}

    def heard(self, node_id: NodeId, revision: Revision, now: float) -> None:
        """Note that a node said which revision it has."""
        self._heard[node_id] = max(revision, self._heard.get(node_id, revision))
        self._heard_at[node_id] = now
        if self._landed_revision and revision >= self._landed_revision:
            self._arrived_at.setdefault(node_id, now)

    def forget_missing(self) -> None:
        """Forget the nodes that membership no longer knows."""
        known = {node.node_id for node in (*self._view.available, *self._view.leaving_nodes)}
        self._heard = {node: seen for node, seen in self._heard.items() if node in known}
        self._heard_at = {node: at for node, at in self._heard_at.items() if node in known}

    def heard_since(self, node_id: NodeId, at: float) -> bool:
        """Whether a node said its revision after ``at``."""
        return self._heard_at.get(node_id, at) > at

    def revision_of(self, node_id: NodeId) -> Revision | None:
        """Return the last revision heard of a node."""
        return self._heard.get(node_id)

    def zone(self, zone: ZoneName, own_revision: Revision) -> ZoneSpread:
        """Return what is known of a zone; this node's own revision counts in its zone."""
        nodes = [node.node_id for node in self._view.zone_peers(zone)]
        heard = [self._heard[node] for node in nodes if node in self._heard]
        own = self._view.identity
        if own.zone == zone:
            nodes.append(own.node_id)
            heard.append(own_revision)
        return ZoneSpread(
            nodes=len(nodes),
            nodes_heard=len(heard),
            lowest=min(heard, default=None),
            highest=max(heard, default=None),
            in_force_seconds=self._in_force_seconds(nodes, own_revision),
        )

    def _in_force_seconds(self, nodes: list[NodeId], own_revision: Revision) -> float | None:
        arrivals = sorted(self._arrived_at[node] for node in nodes if node in self._arrived_at)
        needed = min(NODES_WAITED_FOR, len(nodes))
        if own_revision != self._landed_revision or not needed or len(arrivals) < needed:
            return None
        return arrivals[needed - 1] - self._landed_at
