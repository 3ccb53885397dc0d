"""Spreads a new revision from node to node.

A node that learns a revision announces it to a few random nodes, and again twice a little later.
The announcement is a ``ConfigurationFetch`` that names the sender's revision: a receiver that
has a newer one answers with the body, one that has an older one fetches it, one that has the
same says so with an empty body. So a body crosses the network about once a node, and the sender
hears who has it. Source: "Epidemic Algorithms for Replicated Database Maintenance" (Demers and
others, 1987), rumor mongering with anti-entropy behind it.
"""

from dataclasses import dataclass

from ..model.failure import Failure
from ..model.identifiers import NodeId, Revision
from ..model.mechanisms import Mechanism
from ..ports.machine import Action, Log, LogLevel
from ..ports.peer import (
    ConfigurationBody,
    ConfigurationFetch,
    NodeIdentity,
    SendToPeer,
)
from .document import ConfigurationDocument, parse_document, unpack_body
from .in_force import InForceConfiguration
from .node_view import NodeView
from .script import Script, ScriptRunner, pause, perform
from .spread import Spread

FAN_OUT = 3
"""Random nodes told in each round of an announcement."""

ROUNDS = 3
"""Rounds of an announcement."""

ROUND_PAUSE_SECONDS = 0.3
"""Mean pause between rounds."""

NODES_TOLD_IN_EACH_ZONE = 2
"""Further nodes told, in every zone, by a node that has a revision from the store itself."""

FETCH_TIMEOUT_SECONDS = 0.5
"""Pause before another node is asked for a body."""

FETCH_ATTEMPTS = 10
"""Nodes asked for a body before waiting to hear of it anew."""

ANTI_ENTROPY_SECONDS = 20.0
"""Mean pause between two comparisons of revisions with a random node."""

UNREADABLE_PAUSE_SECONDS = 30.0
"""Pause before a revision whose body could not be read is fetched again."""


@dataclass(slots=True)
class _Wanted:
    """A newer revision that is being fetched, and who said to have it."""

    revision: Revision
    sources: list[NodeIdentity]


class Dissemination:
    """Takes new revisions into force, tells others of them and fetches what others have."""

    def __init__(
        self, view: NodeView, runner: ScriptRunner, in_force: InForceConfiguration, spread: Spread
    ) -> None:
        self._view = view
        self._runner = runner
        self._in_force = in_force
        self._spread = spread
        self._wanted: _Wanted | None = None
        self._asked: NodeId | None = None
        self._not_before = 0.0

    def start(self, now: float) -> list[Action]:
        """Begin to compare revisions with random nodes."""
        return self._runner.start(self._compare_now_and_then(), now)

    def take(
        self, document: ConfigurationDocument, now: float, source: str, from_store: bool
    ) -> list[Action]:
        """Put ``document`` in force if it is newer, and then tell others.

        Parameters
        ----------
        source
            Where it came from, for the log.
        from_store
            Whether this node has it from the store: then every zone is told.
        """
        if not self._in_force.is_newer(document.revision):
            return self._in_force.apply(document, now, source)
        actions = self._in_force.apply(document, now, source)
        if self._wanted is not None and self._wanted.revision <= document.revision:
            self._wanted = None
        return actions + self._runner.start(self._announce(document.revision, from_store), now)

    def heard(self, sender: NodeIdentity, revision: Revision, now: float) -> list[Action]:
        """Take in that ``sender`` has ``revision``, and fetch it if it is newer."""
        self._spread.heard(sender.node_id, revision, now)
        if not self._in_force.is_newer(revision) or now < self._not_before:
            return []
        if Mechanism.PEER_DISSEMINATION in self._view.disabled:
            return []
        wanted = self._wanted
        if wanted is None:
            self._wanted = _Wanted(revision, [sender])
            return self._runner.start(self._fetch(self._wanted), now)
        if revision > wanted.revision:
            wanted.revision = revision
            wanted.sources.clear()
        if revision == wanted.revision and sender not in wanted.sources:
            wanted.sources.append(sender)
        return []

    def fetch_requested(
        self, sender: NodeIdentity, message: ConfigurationFetch, now: float
    ) -> list[Action]:
        """Answer a node that named its revision."""
        own = self._in_force.revision
        if message.known_revision > own:
            return self.heard(sender, message.known_revision, now)
        self._spread.heard(sender.node_id, message.known_revision, now)
        if own == 0:
            return []
        body = self._in_force.packed_body() if message.known_revision < own else b""
        return [SendToPeer(sender, ConfigurationBody(own, body))]

    def body_received(
        self, sender: NodeIdentity, message: ConfigurationBody, now: float
    ) -> list[Action]:
        """Take in a node's configuration, or (an empty body) just which one it has."""
        if not message.body or not self._in_force.is_newer(message.revision):
            return self.heard(sender, message.revision, now)
        self._spread.heard(sender.node_id, message.revision, now)
        document = _unpacked(message, self._in_force.document)
        if isinstance(document, str):
            self._wanted = None
            self._not_before = now + UNREADABLE_PAUSE_SECONDS
            fields = (("sender", sender.node_id), ("reason", document))
            return [Log("configuration_body_unreadable", LogLevel.ERROR, fields)]
        actions = self.take(document, now, f"peer {sender.node_id}", from_store=False)
        confirmation = ConfigurationBody(document.revision, b"")
        return [*actions, SendToPeer(sender, confirmation)]

    def link_broken(self, node_id: NodeId, now: float) -> list[Action]:
        """Ask another node at once if the one asked for a body cannot be reached."""
        if self._wanted is None or self._asked != node_id:
            return []
        self._asked = None
        return self._ask(self._wanted)

    def _fetch(self, wanted: _Wanted) -> Script[list[Action]]:
        """Ask one node after another until the revision is there."""
        for _ in range(FETCH_ATTEMPTS):
            yield from perform(*self._ask(wanted))
            yield from pause(FETCH_TIMEOUT_SECONDS * self._view.random.uniform(1.0, 1.5))
            if self._wanted is not wanted:
                return []
        self._wanted = None
        return []

    def _ask(self, wanted: _Wanted) -> list[Action]:
        """Ask the next node that said to have it, or a random one when none is left."""
        if wanted.sources:
            node = wanted.sources.pop(0)
        elif self._view.peers:
            node = self._view.random.choice(self._view.peers)
        else:
            return []
        self._asked = node.node_id
        return [SendToPeer(node, ConfigurationFetch(self._in_force.revision))]

    def _announce(self, revision: Revision, from_store: bool) -> Script[list[Action]]:
        if from_store:
            yield from perform(*self.tell(self.some_of_each_zone()))
        for _ in range(ROUNDS):
            if self._in_force.revision != revision:
                return []
            yield from perform(*self.tell(self._view.sample(self._view.peers, FAN_OUT)))
            yield from pause(ROUND_PAUSE_SECONDS * self._view.random.uniform(0.5, 1.5))
        return []

    def some_of_each_zone(self) -> list[NodeIdentity]:
        """Return a few random nodes of every zone."""
        return [
            node
            for zone in self._view.zones
            for node in self._view.sample(self._view.zone_peers(zone), NODES_TOLD_IN_EACH_ZONE)
        ]

    def tell(self, nodes: list[NodeIdentity]) -> list[Action]:
        """Name this node's revision to ``nodes``; they answer with theirs."""
        if Mechanism.PEER_DISSEMINATION in self._view.disabled:
            return []
        announcement = ConfigurationFetch(self._in_force.revision)
        return [SendToPeer(node, announcement) for node in nodes]

    def _compare_now_and_then(self) -> Script[list[Action]]:
        while True:
            yield from pause(ANTI_ENTROPY_SECONDS * self._view.random.uniform(0.5, 1.5))
            yield from perform(*self.tell(self._view.sample(self._view.peers, 1)))


def _unpacked(
    message: ConfigurationBody, like: ConfigurationDocument | None
) -> ConfigurationDocument | str:
    """Return the document in a message, or why it cannot be believed."""
    body = unpack_body(message.body)
    if isinstance(body, Failure):
        return body.reason
    document = parse_document(body, like)
    if isinstance(document, Failure):
        return document.reason
    if document.revision != message.revision:
        return f"the body is of revision {document.revision}, not {message.revision}"
    return document
