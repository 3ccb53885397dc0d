"""Spreads the configuration revision quickly to all nodes."""

from ..model.identifiers import Revision
from ..ports.internal import NewerRevisionReported, Notify
from ..ports.peer import NodeIdentity, Ping
from .message_sender import NO_ACK_SEQUENCE, MessageSender
from .outbox import Outbox
from .settings import MembershipSettings


class RevisionSpreader:
    """Pushes the revision in force at this node, and detects newer ones of others."""

    def __init__(
        self, settings: MembershipSettings, messages: MessageSender, outbox: Outbox
    ) -> None:
        self._settings = settings
        self._messages = messages
        self._outbox = outbox
        self._rounds_left = 0
        self._last_notified = Revision(0)
        self._next_notify_at = float("-inf")

    def set_revision(self, revision: Revision, push_rounds: int) -> None:
        """Include ``revision`` in all messages, and push it for ``push_rounds`` ticks."""
        if revision > self._messages.revision:
            self._messages.revision = revision
            self._rounds_left = push_rounds
            self._messages.push(self._settings.gossip_fanout)

    def take_push_round(self) -> bool:
        """Return whether to push the revision in this tick, and count the round."""
        if self._rounds_left == 0:
            return False
        self._rounds_left -= 1
        return True

    def handle_revision(self, sender: NodeIdentity, revision: Revision, now: float) -> None:
        """Notify this node of a newer revision, at most once per tick until it is in force."""
        if revision <= self._messages.revision:
            return
        if revision <= self._last_notified and now < self._next_notify_at:
            return
        self._last_notified = revision
        self._next_notify_at = now + self._settings.tick_seconds
        self._outbox.add(Notify(NewerRevisionReported(sender, revision)))

    def answer_outdated(self, sender: NodeIdentity, message: Ping) -> None:
        """Send the revision to a node that pushed an older one.

        The acknowledgement of a probe includes it anyway.
        """
        is_outdated = message.gossip.configuration_revision < self._messages.revision
        if is_outdated and message.sequence == NO_ACK_SEQUENCE:
            self._messages.ping(sender, NO_ACK_SEQUENCE)
