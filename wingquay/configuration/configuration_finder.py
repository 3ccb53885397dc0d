"""Obtains the configuration when a node starts, from a peer or from the store."""

from ..ports.caller import SetReady
from ..ports.machine import Action
from ..ports.peer import ConfigurationFetch, SendToPeer
from .current_document import CurrentDocumentReader, StoredDocument
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .node_view import NodeView
from .script import Script, pause, perform
from .store_schedule import (
    CLUSTER_REQUESTS_PER_SECOND,
    FullJitterBackoff,
    is_selected,
)

START_SPREAD_SECONDS = 0.5
"""The first poll is delayed at random by up to this time, to spread nodes that start together."""

POLL_INTERVAL_SECONDS = 1.0
"""Mean time between polls."""

PEERS_PER_POLL = 2
"""Random peers that each poll sends a fetch to."""


class ConfigurationFinder:
    """Polls peers and the store until a configuration is in force.

    The node is not ready until then. In each interval only a random subset of the nodes reads
    the store, so that all nodes together stay within ``CLUSTER_REQUESTS_PER_SECOND``.
    """

    def __init__(
        self,
        view: NodeView,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        document_reader: CurrentDocumentReader,
    ) -> None:
        self._view = view
        self._in_force = in_force
        self._dissemination = dissemination
        self._document_reader = document_reader
        self.store_is_empty = False
        """Whether the store has replied that it holds no configuration yet."""

    def run(self) -> Script[list[Action]]:
        """Poll peers, and the store if this node is selected, until a configuration is in force."""
        random = self._view.random
        backoff = FullJitterBackoff(random)
        yield from perform(SetReady(False, "no configuration received yet"))
        now = yield from pause(random.uniform(0.0, START_SPREAD_SECONDS))
        next_store_read_at = now
        while self._in_force.document is None:
            yield from perform(*self._fetch_from_peers())
            now = yield from pause(POLL_INTERVAL_SECONDS * random.uniform(0.25, 0.75))
            node_count = self._view.node_count
            selected = is_selected(
                random, node_count, CLUSTER_REQUESTS_PER_SECOND * POLL_INTERVAL_SECONDS
            )
            if self._in_force.document is None and now >= next_store_read_at and selected:
                found = yield from self._document_reader.read()
                now = yield from self._apply(found)
                if isinstance(found, StoredDocument):
                    backoff.reset()
                else:
                    next_store_read_at = now + backoff.next_delay_seconds(node_count)
            yield from pause(POLL_INTERVAL_SECONDS * random.uniform(0.25, 0.75))
        return []

    def _fetch_from_peers(self) -> list[Action]:
        nodes = self._view.sample(self._view.peers, PEERS_PER_POLL)
        return [SendToPeer(node, ConfigurationFetch(self._in_force.revision)) for node in nodes]

    def _apply(self, found: object) -> Script[float]:
        now = yield from perform()
        if not isinstance(found, StoredDocument):
            return now
        if found.modified_at == 0:
            self.store_is_empty = True
            yield from perform(SetReady(False, "no configuration has been confirmed yet"))
            return now
        actions = self._dissemination.apply_and_announce(
            found.document, now, "store", from_store=True
        )
        yield from perform(*actions)
        return now
