"""Offers of assignments to the nodes that should hold them."""

from ..model.identifiers import NodeId
from ..ports.machine import Action
from ..ports.peer import NodeIdentity, SendToPeer
from ..ports.peer_claims import ClaimAssignmentOffer
from .assignment import (
    Assignment,
    AssignmentOffer,
    AssignmentStatus,
    LocalAssignments,
)
from .directory import AssignmentDirectory
from .settings import ClaimsSettings


class AssignmentOffers:
    """Offers assignments that another node should hold, and repeats each offer until it is fetched.

    A node that has nothing to offer to a peer of its zone sends it one empty offer, so that the
    peer need not wait for offers before it takes assignments over.
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
        self._leaving = False
        self._offer_count = 0
        self._next_offer_at = 0.0
        self._notified: set[NodeId] = set()

    def membership_changed(self) -> None:
        """Offer at the next tick, and forget peers that have gone.

        A peer that returns gets an empty offer again.
        """
        self.offer_at_next_tick()
        zone_peers = self._directory.zone_peers(self._assignments.identity)
        self._notified &= {node.node_id for node in zone_peers}

    def link_broken(self, node_id: NodeId) -> None:
        """Send the peer an empty offer again, since the first may have been lost."""
        self._notified.discard(node_id)

    def begin_leaving(self) -> None:
        """Offer every assignment to its successor from now on."""
        self._leaving = True
        self.offer_at_next_tick()

    def offer_at_next_tick(self) -> None:
        """Send offers at the next tick instead of after the usual interval."""
        self._next_offer_at = 0.0

    def assignments_to_hand_over(self) -> int:
        """Return the number of voting assignments that another node should hold."""
        voting = self._assignments.with_status(AssignmentStatus.VOTING)
        return sum(self._receiver(assignment) is not None for assignment in voting)

    def tick(self, now: float) -> list[Action]:
        """Send offers if the interval has passed."""
        if now < self._next_offer_at:
            return []
        self._next_offer_at = now + self._settings.table_retry_seconds
        return self._offer()

    def _offer(self) -> list[Action]:
        offered: dict[AssignmentOffer, tuple[NodeIdentity, list[int]]] = {}
        self._offer_count += 1
        offer_id = f"{self._assignments.identity.node_id}/{self._offer_count}"
        for assignment in self._assignments.with_status(AssignmentStatus.VOTING):
            receiver = self._receiver(assignment)
            if receiver is None:
                assignment.offer = None
                continue
            if assignment.offer is None or assignment.offer.receiver != receiver.node_id:
                assignment.offer = AssignmentOffer(offer_id, receiver.node_id)
            offered.setdefault(assignment.offer, (receiver, []))[1].append(assignment.partition)
        self._notified |= {offer.receiver for offer in offered}
        actions: list[Action] = [
            SendToPeer(receiver, ClaimAssignmentOffer(offer.offer_id, tuple(partitions)))
            for offer, (receiver, partitions) in offered.items()
        ]
        return actions + self._send_empty_offers(offer_id)

    def _send_empty_offers(self, offer_id: str) -> list[Action]:
        """Send an empty offer to the peers that have not had any offer yet."""
        zone_peers = self._directory.zone_peers(self._assignments.identity)
        new_peers = [node for node in zone_peers if node.node_id not in self._notified]
        self._notified |= {node.node_id for node in new_peers}
        return [SendToPeer(node, ClaimAssignmentOffer(offer_id, ())) for node in new_peers]

    def _receiver(self, assignment: Assignment) -> NodeIdentity | None:
        identity = self._assignments.identity
        if self._leaving:
            return self._directory.successor(identity, assignment.partition)
        holder = self._directory.designated_holder(
            identity.deployment, identity.zone, assignment.partition
        )
        is_other = holder is not None and holder.node_id != identity.node_id
        return holder if is_other else None
