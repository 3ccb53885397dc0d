"""Disseminates a new revision from node to node.

A node that gets a new revision announces it to a few random nodes in several rounds. The
announcement is a ``ConfigurationFetch`` with the sender's revision. A receiver with a newer
revision replies with its body, a receiver with an older one fetches the body, and a receiver with
the same one replies with an empty body. Each node thus receives the body about once, and the
sender finds out which nodes have it. Nodes also compare revisions with random nodes periodically.

Source: "Epidemic Algorithms for Replicated Database Maintenance" (Demers and others, 1987),
rumor mongering backed by anti-entropy.
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
from .revision_tracker import RevisionTracker
from .script import Script, ScriptRunner, pause, perform

ANNOUNCE_FAN_OUT = 3
"""Random nodes that each round of an announcement goes to."""

ANNOUNCE_ROUNDS = 3
"""Rounds of an announcement."""

ANNOUNCE_INTERVAL_SECONDS = 0.3
"""Mean time between rounds."""

NODES_NOTIFIED_PER_ZONE = 2
"""Nodes per zone that are sent a revision read from the store, and queried for the status."""

FETCH_TIMEOUT_SECONDS = 0.5
"""Time without a body after which it is fetched from another node."""

FETCH_ATTEMPTS = 10
"""Attempts to fetch a body; after these the node waits for the next announcement."""

ANTI_ENTROPY_INTERVAL_SECONDS = 20.0
"""Mean time between comparisons of revisions with a random node."""

MALFORMED_BODY_PAUSE_SECONDS = 30.0
"""Time without fetches after a body that could not be parsed."""


@dataclass(slots=True)
class _PendingFetch:
    """A newer revision that is being fetched, and nodes that have it and were not contacted yet."""

    revision: Revision
    sources: list[NodeIdentity]


class Dissemination:
    """Puts new revisions in force, announces them to peers and fetches newer ones from peers."""

    def __init__(
        self,
        view: NodeView,
        runner: ScriptRunner,
        in_force: InForceConfiguration,
        revision_tracker: RevisionTracker,
    ) -> None:
        self._view = view
        self._runner = runner
        self._in_force = in_force
        self._revision_tracker = revision_tracker
        self._pending_fetch: _PendingFetch | None = None
        self._fetch_target: NodeId | None = None
        self._fetch_blocked_until = 0.0

    def start(self, now: float) -> list[Action]:
        """Start the periodic comparison of revisions with random nodes."""
        return self._runner.start(self._run_anti_entropy(), now)

    def apply_and_announce(
        self, document: ConfigurationDocument, now: float, source: str, from_store: bool
    ) -> list[Action]:
        """Put ``document`` in force and announce it, if it is newer.

        Parameters
        ----------
        source
            Origin of the document, for the log.
        from_store
            Whether the document came from the store; if so, nodes of every zone are notified.
        """
        if not self._in_force.is_newer(document.revision):
            return self._in_force.apply(document, now, source)
        actions = self._in_force.apply(document, now, source)
        if self._pending_fetch is not None and self._pending_fetch.revision <= document.revision:
            self._pending_fetch = None
        return actions + self._runner.start(
            self._run_announcement(document.revision, from_store), now
        )

    def handle_revision(self, sender: NodeIdentity, revision: Revision, now: float) -> list[Action]:
        """Record that ``sender`` has ``revision``, and fetch it if it is newer."""
        self._revision_tracker.record(sender.node_id, revision, now)
        if not self._in_force.is_newer(revision) or now < self._fetch_blocked_until:
            return []
        if Mechanism.PEER_DISSEMINATION in self._view.disabled_mechanisms:
            return []
        pending = self._pending_fetch
        if pending is None:
            self._pending_fetch = _PendingFetch(revision, [sender])
            return self._runner.start(self._fetch(self._pending_fetch), now)
        if revision > pending.revision:
            pending.revision = revision
            pending.sources.clear()
        if revision == pending.revision and sender not in pending.sources:
            pending.sources.append(sender)
        return []

    def handle_fetch(
        self, sender: NodeIdentity, message: ConfigurationFetch, now: float
    ) -> list[Action]:
        """Reply to a node that announced its revision."""
        own = self._in_force.revision
        if message.known_revision > own:
            return self.handle_revision(sender, message.known_revision, now)
        self._revision_tracker.record(sender.node_id, message.known_revision, now)
        if own == 0:
            return []
        body = self._in_force.packed_body() if message.known_revision < own else b""
        return [SendToPeer(sender, ConfigurationBody(own, body))]

    def handle_body(
        self, sender: NodeIdentity, message: ConfigurationBody, now: float
    ) -> list[Action]:
        """Apply a node's configuration, or only record its revision if the body is empty."""
        if not message.body or not self._in_force.is_newer(message.revision):
            return self.handle_revision(sender, message.revision, now)
        self._revision_tracker.record(sender.node_id, message.revision, now)
        document = _parse_body(message, self._in_force.document)
        if isinstance(document, str):
            self._pending_fetch = None
            self._fetch_blocked_until = now + MALFORMED_BODY_PAUSE_SECONDS
            fields = (("sender", sender.node_id), ("reason", document))
            return [Log("configuration_body_unreadable", LogLevel.ERROR, fields)]
        actions = self.apply_and_announce(document, now, f"peer {sender.node_id}", from_store=False)
        confirmation = ConfigurationBody(document.revision, b"")
        return [*actions, SendToPeer(sender, confirmation)]

    def handle_link_broken(self, node_id: NodeId, now: float) -> list[Action]:
        """Fetch from another node at once if the connection to the contacted one broke."""
        if self._pending_fetch is None or self._fetch_target != node_id:
            return []
        self._fetch_target = None
        return self._send_fetch(self._pending_fetch)

    def _fetch(self, pending: _PendingFetch) -> Script[list[Action]]:
        """Fetch from one node after another until the revision is in force."""
        for _ in range(FETCH_ATTEMPTS):
            yield from perform(*self._send_fetch(pending))
            yield from pause(FETCH_TIMEOUT_SECONDS * self._view.random.uniform(1.0, 1.5))
            if self._pending_fetch is not pending:
                return []
        self._pending_fetch = None
        return []

    def _send_fetch(self, pending: _PendingFetch) -> list[Action]:
        """Send a fetch to the next node that has the revision, else to a random node."""
        if pending.sources:
            node = pending.sources.pop(0)
        elif self._view.peers:
            node = self._view.random.choice(self._view.peers)
        else:
            return []
        self._fetch_target = node.node_id
        return [SendToPeer(node, ConfigurationFetch(self._in_force.revision))]

    def _run_announcement(self, revision: Revision, from_store: bool) -> Script[list[Action]]:
        if from_store:
            yield from perform(*self.announce(self.sample_each_zone()))
        for _ in range(ANNOUNCE_ROUNDS):
            if self._in_force.revision != revision:
                return []
            yield from perform(
                *self.announce(self._view.sample(self._view.peers, ANNOUNCE_FAN_OUT))
            )
            yield from pause(ANNOUNCE_INTERVAL_SECONDS * self._view.random.uniform(0.5, 1.5))
        return []

    def sample_each_zone(self) -> list[NodeIdentity]:
        """Return up to ``NODES_NOTIFIED_PER_ZONE`` random nodes of each zone."""
        return [
            node
            for zone in self._view.zones
            for node in self._view.sample(self._view.zone_peers(zone), NODES_NOTIFIED_PER_ZONE)
        ]

    def announce(self, nodes: list[NodeIdentity]) -> list[Action]:
        """Send this node's revision to ``nodes``, which reply with theirs."""
        if Mechanism.PEER_DISSEMINATION in self._view.disabled_mechanisms:
            return []
        announcement = ConfigurationFetch(self._in_force.revision)
        return [SendToPeer(node, announcement) for node in nodes]

    def _run_anti_entropy(self) -> Script[list[Action]]:
        while True:
            yield from pause(ANTI_ENTROPY_INTERVAL_SECONDS * self._view.random.uniform(0.5, 1.5))
            yield from perform(*self.announce(self._view.sample(self._view.peers, 1)))


def _parse_body(
    message: ConfigurationBody, previous: ConfigurationDocument | None
) -> ConfigurationDocument | str:
    """Return the document in a message, or the reason why it is malformed."""
    body = unpack_body(message.body)
    if isinstance(body, Failure):
        return body.reason
    document = parse_document(body, previous)
    if isinstance(document, Failure):
        return document.reason
    if document.revision != message.revision:
        return f"the body has revision {document.revision}, expected {message.revision}"
    return document
