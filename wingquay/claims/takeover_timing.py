"""When a node should take an assignment over: at once, or after waiting for an offer of it."""

from math import inf

from ..model.identifiers import NodeId, ZoneName
from .assignment import Assignment, AssignmentStatus, LocalAssignments
from .assignment_document import AssignmentDocument
from .directory import AssignmentDirectory
from .settings import ClaimsSettings


class TakeoverTiming:
    """Decides when assignments are taken over, based on the nodes of this node's zone.

    A takeover that is too early is safe, since the higher epoch reveals it; but the claims of the
    previous holder are lost and must be rebuilt.
    """

    def __init__(
        self,
        settings: ClaimsSettings,
        assignments: LocalAssignments,
        directory: AssignmentDirectory,
    ) -> None:
        self._settings = settings
        self._assignments = assignments
        self._directory = directory
        self._zones: tuple[ZoneName, ...] = ()
        self._leaving = False
        self._document: AssignmentDocument | None = None
        self._nodes: frozenset[NodeId] = frozenset()
        self._alone_since = inf
        self._offered_by: set[NodeId] = set()
        self._last_designated: dict[int, NodeId] = {}

    @property
    def has_membership(self) -> bool:
        """Whether any membership view with nodes of this zone has been received."""
        return bool(self._nodes)

    def set_zones(self, zones: tuple[ZoneName, ...]) -> None:
        """Use the zones of the deployment from the configuration in force."""
        self._zones = zones

    def begin_leaving(self) -> None:
        """Take over no more assignments."""
        self._leaving = True

    def record_document(self, document: AssignmentDocument) -> None:
        """Store the assignment document that was last read."""
        self._document = document

    def record_offer_from(self, node_id: NodeId) -> None:
        """Record that a node has sent its offers to this node, possibly none."""
        self._offered_by.add(node_id)

    def should_hold(self, partition: int) -> bool:
        """Whether this node is the designated holder of the assignment."""
        identity = self._assignments.identity
        if self._leaving or identity.zone not in self._zones:
            return False
        holder = self._directory.designated_holder(identity.deployment, identity.zone, partition)
        return holder is not None and holder.node_id == identity.node_id

    def reevaluate(self, now: float) -> None:
        """Update the takeover times after a change of the membership or of the zones."""
        identity = self._assignments.identity
        nodes = self._directory.node_ids(identity.deployment, identity.zone)
        crashed = {
            node_id for node_id in self._nodes - nodes if not self._directory.is_leaving(node_id)
        }
        self._nodes = nodes
        if self._directory.zone_peers(identity):
            self._alone_since = inf
        elif self._alone_since == inf:
            self._alone_since = now
        for assignment in self._assignments.by_partition:
            self._reevaluate_assignment(assignment, crashed, now)

    def _reevaluate_assignment(
        self, assignment: Assignment, crashed: set[NodeId], now: float
    ) -> None:
        identity = self._assignments.identity
        holder = self._directory.designated_holder(
            identity.deployment, identity.zone, assignment.partition
        )
        last_designated = self._last_designated.get(assignment.partition)
        if holder is not None:
            self._last_designated[assignment.partition] = holder.node_id
            assignment.seen_other_designated = (
                assignment.seen_other_designated or holder.node_id != identity.node_id
            )
        if not self.should_hold(assignment.partition):
            assignment.takeover_at = inf
        elif assignment.takeover_at == inf:
            assignment.takeover_at = now + self._delay(last_designated in crashed)

    def _delay(self, holder_crashed: bool) -> float:
        # With a single zone no other voter has a copy, so wait longer in case the holder is still
        # alive.
        if holder_crashed and len(self._zones) > 1:
            return self._settings.crash_takeover_delay_seconds
        return self._settings.join_takeover_delay_seconds

    def due_takeovers(self, now: float) -> list[Assignment]:
        """Return the assignments to take over now."""
        no_offers_expected = self._no_offers_expected(now)
        return [
            assignment
            for assignment in self._assignments.by_partition
            if self.should_hold(assignment.partition)
            and self._can_take_over(assignment)
            and now >= assignment.accepted_until
            and (
                now >= assignment.takeover_at
                or (no_offers_expected and self._is_orphaned(assignment))
            )
        ]

    def _can_take_over(self, assignment: Assignment) -> bool:
        """Whether this node neither holds the assignment nor is handing it to a present peer."""
        if assignment.status is not AssignmentStatus.HANDED_OVER:
            return assignment.status is AssignmentStatus.EMPTY
        receiver = None if assignment.offer is None else assignment.offer.receiver
        zone_peers = self._directory.zone_peers(self._assignments.identity)
        return all(node.node_id != receiver for node in zone_peers)

    def _no_offers_expected(self, now: float) -> bool:
        """Whether no peer of the zone has offers left to send.

        True once every peer has sent its offers, or after some time without any peer. Always false
        if the deployment has a single zone.
        """
        if len(self._zones) == 1:
            return False
        zone_peers = self._directory.zone_peers(self._assignments.identity)
        if not zone_peers:
            return now - self._alone_since >= self._settings.alone_takeover_delay_seconds
        return all(node.node_id in self._offered_by for node in zone_peers)

    def _is_orphaned(self, assignment: Assignment) -> bool:
        """Whether no present peer can hold the assignment.

        False also if the document has not been read yet, or if another node was the designated
        holder at any time since this node started: it may have received the assignment after it
        sent its offers.
        """
        if assignment.seen_other_designated or self._document is None:
            return False
        identity = self._assignments.identity
        taker = self._document.taker(identity.zone, assignment.partition)
        return all(node.node_id != taker for node in self._directory.zone_peers(identity))
