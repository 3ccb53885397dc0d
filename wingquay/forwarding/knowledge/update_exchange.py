"""Exchanges store updates between nodes, so that one poll serves a group."""

from ...ports.machine import Action, Count
from ...ports.peer_link import NodeIdentity, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest
from ...ports.store import StartWatch, StoredValue
from ...ports.store_update import StoreUpdate
from ..settings import ForwardingSettings
from .node_membership import NodeMembership
from .processing_lag import ProcessingLag
from .proof_manager import ProofManager
from .store_follower import StoreFollower


class UpdateExchange:
    """Sends store updates to other nodes and applies those received.

    Parameters
    ----------
    settings
        How long nodes wait for each other's polls.
    members
        Provides the nodes to which updates are sent.
    follower
        Applies updates and postpones its next poll.
    processing_lag
        The lag of this node, which adds to the age of updates.
    proof_manager
        Handles proof requests and proofs.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        members: NodeMembership,
        follower: StoreFollower,
        processing_lag: ProcessingLag,
        proof_manager: ProofManager,
    ) -> None:
        self._settings = settings
        self._members = members
        self._follower = follower
        self._processing_lag = processing_lag
        self._proof_manager = proof_manager
        self.rewritten_keys: set[str] = set()
        """Keys of replica entries that were written again with an unchanged value; updates omit
        them."""

    def send_update(self, changes: StoreUpdate, now: float) -> list[Action]:
        """Send the changes that this node polled to the other nodes of its group."""
        recipients = self._members.update_recipients()
        if not recipients:
            return []
        update = StoreUpdate(
            changes.from_revision,
            changes.store_revision,
            changes.changed if changes.is_listing else self._without_rewritten(changes),
            changes.deleted,
            max(changes.age_seconds, self._processing_lag.seconds(now)),
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
        """Apply an update of another node and postpone the next poll.

        The postponement is shortened by the known age of the update: the delay at the sender and
        the lag of this node.
        """
        age_seconds = update.age_seconds + self._processing_lag.seconds(now)
        pause_seconds = self._usual_pause_seconds - age_seconds
        if update.may_have_more or age_seconds >= self._settings.max_update_age_seconds:
            pause_seconds = 0.0
        actions = self._follower.apply_update(update, pause_seconds, now)
        is_postponed = any(isinstance(action, StartWatch) for action in actions)
        side = "look_put_off" if is_postponed else "heard"
        return [*actions, Count("store_news_total", labels=(("side", side),))]

    def handle_proof_message(
        self, sender: NodeIdentity, message: ProofRequest | ProofReply, now: float
    ) -> list[Action]:
        """Handle a proof request, or a proof, after which the next poll is postponed."""
        known_revision = self._follower.known_revision
        if isinstance(message, ProofRequest):
            return self._proof_manager.handle_request(sender, message, known_revision, now)
        actions = self._proof_manager.handle_proof(sender, message, known_revision, now)
        pause_seconds = self._usual_pause_seconds - self._proof_manager.age_seconds(now)
        return [*actions, *self._follower.postpone_poll(pause_seconds, now)]

    @property
    def _usual_pause_seconds(self) -> float:
        """The time between two polls of this node while other nodes send updates.

        It grows with the node's position in its group, so that the nodes do not poll together.
        """
        poll_delay_seconds = self._settings.poll_rank_delay_seconds * self._members.group_position()
        return self._follower.usual_poll_interval_seconds + poll_delay_seconds
