"""Offering assignments to the nodes that should hold them."""

from ..model.identifiers import NodeId
from ..ports.machine import Action
from ..ports.peer import NodeIdentity, SendToPeer
from ..ports.peer_claims import ClaimAssignmentOffer
from .assignment import (
    Assignment,
    AssignmentOffer,
    AssignmentStatus,
    AssignmentTable,
)
from .directory import AssignmentDirectory
from .settings import ClaimsSettings


class AssignmentOffers:
    """Offers the assignments that another node should hold, until it has fetched them."""

    def __init__(
        self,
        settings: ClaimsSettings,
        assignments: AssignmentTable,
        directory: AssignmentDirectory,
    ) -> None:
        self._settings = settings
        self._assignments = assignments
        self._directory = directory
        self._leaving = False
        self._offers = 0
        self._next_offer_at = 0.0
        self._greeted: set[NodeId] = set()

    def on_membership(self) -> None:
        """Offer at the next tick, and greet the nodes that are new in the zone."""
        self.offer_soon()
        mates = self._directory.mates(self._assignments.identity)
        self._greeted &= {node.node_id for node in mates}

    def link_broken(self, node_id: NodeId) -> None:
        """Greet the node again: it may not have heard the first time."""
        self._greeted.discard(node_id)

    def begin_leaving(self) -> None:
        """Offer every assignment to the node that holds it next."""
        self._leaving = True
        self.offer_soon()

    def offer_soon(self) -> None:
        """Offer at the next tick, not after the usual time."""
        self._next_offer_at = 0.0

    def assignments_to_hand_over(self) -> int:
        """Return how many assignments are held that another node should hold."""
        voting = self._assignments.with_status(AssignmentStatus.VOTING)
        return sum(self._receiver(assignment) is not None for assignment in voting)

    def tick(self, now: float) -> list[Action]:
        """Offer now and then."""
        if now < self._next_offer_at:
            return []
        self._next_offer_at = now + self._settings.table_retry_seconds
        return self._offer()

    def _offer(self) -> list[Action]:
        offered: dict[AssignmentOffer, tuple[NodeIdentity, list[int]]] = {}
        self._offers += 1
        offer_id = f"{self._assignments.identity.node_id}/{self._offers}"
        for assignment in self._assignments.with_status(AssignmentStatus.VOTING):
            receiver = self._receiver(assignment)
            if receiver is None:
                assignment.offer = None
                continue
            if assignment.offer is None or assignment.offer.receiver != receiver.node_id:
                assignment.offer = AssignmentOffer(offer_id, receiver.node_id)
            offered.setdefault(assignment.offer, (receiver, []))[1].append(assignment.partition)
        self._greeted |= {offer.receiver for offer in offered}
        actions: list[Action] = [
            SendToPeer(receiver, ClaimAssignmentOffer(offer.offer_id, tuple(partitions)))
            for offer, (receiver, partitions) in offered.items()
        ]
        return actions + self._greet(offer_id)

    def _greet(self, offer_id: str) -> list[Action]:
        """Tell nodes seen for the first time that there is nothing to offer them."""
        mates = self._directory.mates(self._assignments.identity)
        strangers = [node for node in mates if node.node_id not in self._greeted]
        self._greeted |= {node.node_id for node in strangers}
        return [SendToPeer(node, ClaimAssignmentOffer(offer_id, ())) for node in strangers]

    def _receiver(self, assignment: Assignment) -> NodeIdentity | None:
        identity = self._assignments.identity
        if self._leaving:
            return self._directory.successor(identity, assignment.partition)
        holder = self._directory.holder(identity.deployment, identity.zone, assignment.partition)
        is_other = holder is not None and holder.node_id != identity.node_id
        return holder if is_other else None
