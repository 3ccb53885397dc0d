"""Exchanges store updates between nodes, so that one poll serves a group."""

from ...ports.machine import Action, Count
from ...ports.peer_link import NodeIdentity, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest
from ...ports.store import StoredValue
from ...ports.store_update import StoreUpdate
from .node_membership import NodeMembership
from .proof_manager import ProofManager
from .store_follower import StoreFollower


class UpdateExchange:
    """Sends store updates to other nodes and applies those received.

    Parameters
    ----------
    members
        Provides the nodes to which updates are sent.
    follower
        Applies updates and postpones its next poll.
    proof_manager
        Handles proof requests and proofs.
    """

    def __init__(
        self,
        members: NodeMembership,
        follower: StoreFollower,
        proof_manager: ProofManager,
    ) -> None:
        self._members = members
        self._follower = follower
        self._proof_manager = proof_manager
        self.rewritten_keys: set[str] = set()
        """Keys of replica entries that were written again with an unchanged value; updates omit
        them."""

    def send_update(self, changes: StoreUpdate) -> list[Action]:
        """Send the changes that this node polled to the other nodes of its group."""
        recipients = self._members.update_recipients()
        if not recipients:
            return []
        update = StoreUpdate(
            changes.from_revision,
            changes.store_revision,
            changes.changed if changes.is_listing else self._without_rewritten(changes),
            changes.deleted,
            changes.may_have_more,
            changes.is_listing,
        )
        sent: list[Action] = [SendToPeer(recipient, update) for recipient in recipients]
        return [*sent, Count("store_news_total", len(recipients), (("side", "told"),))]

    def _without_rewritten(self, changes: StoreUpdate) -> tuple[StoredValue, ...]:
        """Return the changed items without entries that were written again unchanged."""
        return tuple(
            item
            for item in changes.changed
            if item.key not in self.rewritten_keys or item.created_at > changes.from_revision
        )

    def receive_update(self, update: StoreUpdate, now: float) -> list[Action]:
        """Apply an update of another node."""
        actions = self._follower.apply_update(update, now)
        return [*actions, Count("store_news_total", labels=(("side", "heard"),))]

    def handle_proof_message(
        self, sender: NodeIdentity, message: ProofRequest | ProofReply, now: float
    ) -> list[Action]:
        """Handle a proof request, or a proof, after which the next poll is postponed."""
        known_revision = self._follower.known_revision
        if isinstance(message, ProofRequest):
            return self._proof_manager.handle_request(sender, message, known_revision, now)
        proven = self._proof_manager.handle_proof(sender, message, known_revision, now)
        postponed = self._follower.postpone_poll(now)
        if postponed:
            proven.append(Count("store_news_total", labels=(("side", "look_put_off"),)))
        return [*proven, *postponed]
