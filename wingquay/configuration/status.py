"""Assembles the status that ``wingquay status`` shows."""

from ..model.identifiers import NodeId, Revision, ZoneName
from ..ports.operator import NodeStatus, StatusResult, ZoneStatus
from ..ports.peer import NodeIdentity, NodeState
from .in_force import InForceConfiguration
from .node_view import NodeView
from .revision_tracker import RevisionTracker
from .script import StoreHealth

ZONE_BEHIND_WARNING = "zone {zone}: a node last reported revision {lowest}, older than {own}"
STORE_UNAVAILABLE_WARNING = (
    "the store does not answer: confirms are refused; queries still use the revision in force"
)
NO_CONFIGURATION_WARNING = "no configuration is in force on this node: it answers no queries"


class StatusReporter:
    """Builds the result of ``ShowStatus``."""

    def __init__(
        self,
        view: NodeView,
        in_force: InForceConfiguration,
        revision_tracker: RevisionTracker,
        store_health: StoreHealth,
    ) -> None:
        self._view = view
        self._in_force = in_force
        self._revision_tracker = revision_tracker
        self._store_health = store_health

    def report(self, now: float, watcher: bool) -> StatusResult:
        """Return the current status; ``watcher``: whether this node holds a watcher assignment."""
        document = self._in_force.document
        since = self._in_force.since
        last_reply = self._store_health.last_reply_at
        zones = tuple(self._zone(zone) for zone in self._view.zones)
        return StatusResult(
            node_id=self._view.identity.node_id,
            zone=self._view.identity.zone,
            revision=document.revision if document is not None else None,
            confirm_id=document.configuration.confirm_id if document is not None else "",
            in_force_since_seconds=now - since if since is not None else None,
            store_reachable=self._store_health.reachable,
            store_last_reply_seconds=now - last_reply if last_reply is not None else None,
            watcher=watcher,
            zones=zones,
            nodes=self._nodes(),
            warnings=self._warnings(zones),
        )

    def _zone(self, zone: ZoneName) -> ZoneStatus:
        zone_revisions = self._revision_tracker.get_zone(zone, self._in_force.revision)
        return ZoneStatus(
            zone=zone,
            nodes=zone_revisions.nodes,
            nodes_heard=zone_revisions.nodes_reported,
            lowest_revision=zone_revisions.lowest,
            highest_revision=zone_revisions.highest,
            in_force_seconds=zone_revisions.in_force_seconds,
        )

    def _nodes(self) -> tuple[NodeStatus, ...]:
        states = [
            *((node, NodeState.ALIVE) for node in self._view.available),
            *((node, NodeState.LEAVING) for node in self._view.leaving_nodes),
        ]
        return tuple(self._node(node, state) for node, state in states)

    def _node(self, node: NodeIdentity, state: NodeState) -> NodeStatus:
        return NodeStatus(
            node_id=node.node_id,
            zone=node.zone,
            address=f"{node.host}:{node.port}",
            state=state.value,
            revision=self._revision_of(node.node_id),
        )

    def _revision_of(self, node_id: NodeId) -> Revision | None:
        if node_id == self._view.identity.node_id:
            return self._in_force.revision
        return self._revision_tracker.revision_of(node_id)

    def _warnings(self, zones: tuple[ZoneStatus, ...]) -> tuple[str, ...]:
        own = self._in_force.revision
        warnings = [
            ZONE_BEHIND_WARNING.format(zone=zone.zone, lowest=zone.lowest_revision, own=own)
            for zone in zones
            if zone.lowest_revision is not None and zone.lowest_revision < own
        ]
        if self._store_health.reachable is False:
            warnings.append(STORE_UNAVAILABLE_WARNING)
        if self._in_force.document is None:
            warnings.append(NO_CONFIGURATION_WARNING)
        return tuple(warnings)
