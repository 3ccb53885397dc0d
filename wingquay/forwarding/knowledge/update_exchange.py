"""Nodes tell each other what they read of the store, so that one look serves several."""

from ...ports.machine import Action, Count
from ...ports.peer_link import NodeIdentity, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest
from ...ports.store import StartWatch
from ...ports.store_update import StoreUpdate
from ..settings import ForwardingSettings
from .node_membership import NodeMembership
from .processing_lag import ProcessingLag
from .proof_manager import ProofManager
from .store_follower import StoreFollower


class UpdateExchange:
    """Tells news of the store and takes in those of others.

    Parameters
    ----------
    settings
        How long nodes wait for each other's looks.
    members
        Knows the nodes that are told.
    follower
        Takes in news, and puts its own look off.
    lateness
        How late this node is, and so the news that it tells and hears.
    keeper
        Asks for proof of the configuration, and takes in what is given.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        members: NodeMembership,
        follower: StoreFollower,
        lateness: ProcessingLag,
        keeper: ProofManager,
    ) -> None:
        self._settings = settings
        self._members = members
        self._follower = follower
        self._lateness = lateness
        self._keeper = keeper
        self.rewritten_keys: set[str] = set()
        """Keys of replicas' entries that the last changes left as they were but for the writing."""

    def send_update(self, news: StoreUpdate, now: float) -> list[Action]:
        """Tell the nodes that would look at the same what this one has seen."""
        listeners = self._members.update_recipients()
        if not listeners:
            return []
        told = StoreUpdate(
            news.from_revision,
            news.store_revision,
            tuple(
                item
                for item in news.changed
                if item.key not in self.rewritten_keys or item.created_at > news.from_revision
            ),
            news.deleted,
            max(news.age_seconds, self._lateness.seconds(now)),
            news.may_have_more,
        )
        sent: list[Action] = [SendToPeer(listener, told) for listener in listeners]
        return [*sent, Count("store_news_total", len(listeners), (("side", "told"),))]

    def receive_update(self, news: StoreUpdate, now: float) -> list[Action]:
        """Take in what another node has read.

        The own look is put off, but for the time that the news have taken, as far as it is known:
        at the sender, and behind other work of this node.
        """
        taken_seconds = news.age_seconds + self._lateness.seconds(now)
        pause_seconds = self._usual_pause_seconds - taken_seconds
        if news.may_have_more or taken_seconds >= self._settings.max_update_age_seconds:
            pause_seconds = 0.0
        actions = self._follower.absorb(news, pause_seconds, now)
        is_put_off = any(isinstance(action, StartWatch) for action in actions)
        side = "look_put_off" if is_put_off else "heard"
        return [*actions, Count("store_news_total", labels=(("side", side),))]

    def handle_proof_message(
        self, sender: NodeIdentity, message: ProofRequest | ProofReply, now: float
    ) -> list[Action]:
        """Take in that another node asks, or what its look proves; then put the own look off."""
        known_revision = self._follower.known_revision
        if isinstance(message, ProofRequest):
            return self._keeper.asked(sender, message, known_revision, now)
        actions = self._keeper.given(sender, message, known_revision, now)
        pause_seconds = self._usual_pause_seconds - self._keeper.age_seconds(now)
        return [*actions, *self._follower.put_off(pause_seconds, now)]

    @property
    def _usual_pause_seconds(self) -> float:
        """The time between two own looks while others tell what they read.

        Each node looks a little later than the one before it in its group.
        """
        rank_seconds = self._settings.poll_rank_delay_seconds * self._members.group_position()
        return self._follower.usual_gather_seconds + rank_seconds
