"""Finds the configuration when a node starts: from any peer, else from the store."""

from ..ports.caller import SetReady
from ..ports.machine import Action
from ..ports.peer import ConfigurationFetch, SendToPeer
from .current_key import CurrentKey, StoredDocument
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .node_view import NodeView
from .script import Script, pause, perform
from .store_schedule import (
    CROWD_REQUESTS_PER_SECOND,
    FullJitterBackoff,
    takes_turn,
)

FIRST_LOOK_SECONDS = 0.5
"""The first look is spread over this time, so that a fleet that starts at once does not knock."""

LOOK_PAUSE_SECONDS = 1.0
"""Mean pause between looks."""

PEERS_ASKED = 2


class ConfigurationFinder:
    """Looks for a configuration until there is one; meanwhile the node is not ready."""

    def __init__(
        self,
        view: NodeView,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        current_key: CurrentKey,
    ) -> None:
        self._view = view
        self._in_force = in_force
        self._dissemination = dissemination
        self._current_key = current_key
        self.nothing_confirmed = False
        """Whether the store itself said that it holds no configuration yet."""

    def look(self) -> Script[list[Action]]:
        """Look among peers and, as few nodes at a time, in the store."""
        random = self._view.random
        backoff = FullJitterBackoff(random)
        yield from perform(SetReady(False, "no configuration is known yet"))
        now = yield from pause(random.uniform(0.0, FIRST_LOOK_SECONDS))
        store_not_before = now
        while self._in_force.document is None:
            yield from perform(*self._ask_peers())
            now = yield from pause(LOOK_PAUSE_SECONDS * random.uniform(0.25, 0.75))
            crowd = self._view.node_count
            turn = takes_turn(random, crowd, CROWD_REQUESTS_PER_SECOND * LOOK_PAUSE_SECONDS)
            if self._in_force.document is None and now >= store_not_before and turn:
                found = yield from self._current_key.read()
                now = yield from self._take(found)
                if isinstance(found, StoredDocument):
                    backoff.succeeded()
                else:
                    store_not_before = now + backoff.delay_seconds(crowd)
            yield from pause(LOOK_PAUSE_SECONDS * random.uniform(0.25, 0.75))
        return []

    def _ask_peers(self) -> list[Action]:
        nodes = self._view.sample(self._view.peers, PEERS_ASKED)
        return [SendToPeer(node, ConfigurationFetch(self._in_force.revision)) for node in nodes]

    def _take(self, found: object) -> Script[float]:
        now = yield from perform()
        if not isinstance(found, StoredDocument):
            return now
        if found.modified_at == 0:
            self.nothing_confirmed = True
            yield from perform(SetReady(False, "no configuration has been confirmed yet"))
            return now
        actions = self._dissemination.take(found.document, now, "store", from_store=True)
        yield from perform(*actions)
        return now
