"""Tracks the revisions that other nodes report to have in force."""

from dataclasses import dataclass

from ..model.identifiers import NodeId, Revision, ZoneName
from .node_view import NodeView

NODES_REQUIRED_PER_ZONE = 2
"""Nodes of a zone that must report a revision before it counts as in force in the zone."""


@dataclass(frozen=True, slots=True)
class ZoneRevisions:
    """The revisions of a zone's ``nodes``, of which ``nodes_reported`` have reported theirs.

    ``in_force_seconds``: from the confirm on this node until ``NODES_REQUIRED_PER_ZONE`` nodes of
    the zone reported the revision; ``None`` before that or if it was confirmed on another node.
    """

    nodes: int
    nodes_reported: int
    lowest: Revision | None
    highest: Revision | None
    in_force_seconds: float | None


class RevisionTracker:
    """Stores the revision of each node, and when it first reported the last one confirmed here."""

    def __init__(self, view: NodeView) -> None:
        self._view = view
        self._revisions: dict[NodeId, Revision] = {}
        self._reported_at: dict[NodeId, float] = {}
        self._landed_revision = Revision(0)
        self._landed_at = 0.0
        self._arrived_at: dict[NodeId, float] = {}

    def record_landed(self, revision: Revision, now: float) -> None:
        """Note that a confirm on this node made ``revision``."""
        self._landed_revision = revision
        self._landed_at = now
        self._arrived_at = {self._view.identity.node_id: now}

    def record(self, node_id: NodeId, revision: Revision, now: float) -> None:
        """Record the revision that a node reported."""
        self._revisions[node_id] = max(revision, self._revisions.get(node_id, revision))
        self._reported_at[node_id] = now
        if self._landed_revision and revision >= self._landed_revision:
            self._arrived_at.setdefault(node_id, now)

    def remove_departed(self) -> None:
        """Remove the nodes that are no longer members."""
        known = {node.node_id for node in (*self._view.available, *self._view.leaving_nodes)}
        self._revisions = {node: seen for node, seen in self._revisions.items() if node in known}
        self._reported_at = {node: at for node, at in self._reported_at.items() if node in known}

    def reported_since(self, node_id: NodeId, at: float) -> bool:
        """Whether a node has reported its revision after ``at``."""
        return self._reported_at.get(node_id, at) > at

    def revision_of(self, node_id: NodeId) -> Revision | None:
        """Return the highest revision that a node reported, or ``None``."""
        return self._revisions.get(node_id)

    def get_zone(self, zone: ZoneName, own_revision: Revision) -> ZoneRevisions:
        """Return the revisions of a zone; in this node's zone they include ``own_revision``."""
        nodes = [node.node_id for node in self._view.zone_peers(zone)]
        reported = [self._revisions[node] for node in nodes if node in self._revisions]
        own = self._view.identity
        if own.zone == zone:
            nodes.append(own.node_id)
            reported.append(own_revision)
        return ZoneRevisions(
            nodes=len(nodes),
            nodes_reported=len(reported),
            lowest=min(reported, default=None),
            highest=max(reported, default=None),
            in_force_seconds=self._in_force_seconds(nodes, own_revision),
        )

    def _in_force_seconds(self, nodes: list[NodeId], own_revision: Revision) -> float | None:
        arrivals = sorted(self._arrived_at[node] for node in nodes if node in self._arrived_at)
        needed = min(NODES_REQUIRED_PER_ZONE, len(nodes))
        if own_revision != self._landed_revision or not needed or len(arrivals) < needed:
            return None
        return arrivals[needed - 1] - self._landed_at
