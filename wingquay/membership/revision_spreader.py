"""Lets nodes hear soon that there is a newer configuration."""

from ..model.identifiers import Revision
from ..ports.internal import NewerRevisionReported, Notify
from ..ports.peer import NodeIdentity, Ping
from .message_sender import NO_ANSWER_WANTED, MessageSender
from .outbox import Outbox
from .settings import MembershipSettings


class RevisionSpreader:
    """Pushes the revision in force here, and notices greater ones."""

    def __init__(
        self, settings: MembershipSettings, messages: MessageSender, outbox: Outbox
    ) -> None:
        self._settings = settings
        self._messages = messages
        self._outbox = outbox
        self._rounds_left = 0
        self._last_heard = Revision(0)
        self._quiet_until = float("-inf")

    def in_force(self, revision: Revision, push_rounds: int) -> None:
        """Tell ``revision`` from now on, and push it for a number of ticks."""
        if revision > self._messages.revision:
            self._messages.revision = revision
            self._rounds_left = push_rounds
            self._messages.push(self._settings.gossip_fanout)

    def take_push_round(self) -> bool:
        """Return whether the revision is to be pushed in this tick."""
        if self._rounds_left == 0:
            return False
        self._rounds_left -= 1
        return True

    def hear(self, sender: NodeIdentity, revision: Revision, now: float) -> None:
        """Notify the node of a greater revision, once a tick while it is not in force."""
        if revision <= self._messages.revision:
            return
        if revision <= self._last_heard and now < self._quiet_until:
            return
        self._last_heard = revision
        self._quiet_until = now + self._settings.tick_seconds
        self._outbox.add(Notify(NewerRevisionReported(sender, revision)))

    def answer_outdated(self, sender: NodeIdentity, message: Ping) -> None:
        """Tell a node that pushed an older revision; a probe's answer tells it anyway."""
        is_outdated = message.gossip.configuration_revision < self._messages.revision
        if is_outdated and message.sequence == NO_ANSWER_WANTED:
            self._messages.ping(sender, NO_ANSWER_WANTED)
