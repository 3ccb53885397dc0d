"""The nodes as their keys in the store tell, and this node's own key among them."""

from typing import TYPE_CHECKING

from ...model.routing_table import RoutingTable
from ...ports.machine import Action, Log, LogLevel, Schedule
from ...ports.peer_link import NodeIdentity, NodeRecord, PeerLinkOpened
from ...ports.store import StoredValue, StoreResponse
from ..settings import ForwardingSettings
from ..store_formats import StoreFormats
from .peer_setup import PeerSetup, widest_route
from .presence import NodeCount, Presence, PresenceDue

if TYPE_CHECKING:
    from .node_groups import NodeGroups

LINK_WAIT_SECONDS = 0.4
"""Time between two looks whether the link to other nodes is open."""
TABLE_WAIT_SECONDS = 0.03
"""Time between two looks whether a configuration tells how wide routes are."""
MOST_TABLE_WAITS = 50
"""Looks after which the node's key is written all the same: a node counts without the link, too."""
MOST_LINK_WAITS = 7
"""Looks after which the node's key is written without an address."""


class NodeMembership:
    """Counts the nodes, and knows where each listens once the link to them is open.

    Parameters
    ----------
    name
        This node's name.
    nodes
        Counts the keys of nodes.
    presence
        Keeps this node's own key.
    candidate
        The cluster's key to write if there is none.
    """

    def __init__(
        self,
        name: str,
        settings: ForwardingSettings,
        formats: StoreFormats,
        nodes: NodeCount,
        presence: Presence,
        candidate: bytes,
    ) -> None:
        self._name = name
        self._settings = settings
        self._formats = formats
        self._nodes = nodes
        self._presence = presence
        self._setup = PeerSetup(settings, formats.cluster_key, candidate)
        self._link_waits = 0
        self._table_waits = 0
        self._is_early = True
        """Whether the first moment at which the key may be written has yet to come."""
        self._opened_at = float("-inf")
        self._known_at_opening = 0
        self._records: dict[str, NodeRecord | None] = {}
        self._groups: NodeGroups | None = None

    @property
    def groups(self) -> "NodeGroups":
        """The groups of nodes; only once the link is open."""
        assert self._groups is not None
        return self._groups

    def handles(self, event: StoreResponse) -> bool:
        """Whether the store's answer is to a request of this part."""
        return self._presence.handles(event) or self._setup.handles(event)

    def handle_response(self, event: StoreResponse, now: float) -> list[Action]:
        """Take in the store's answer."""
        if self._presence.handles(event):
            return self._presence.handle(event, now)
        return self._setup.answered(event.result)

    def handle_presence_due(
        self, event: PresenceDue, table: RoutingTable | None, now: float
    ) -> list[Action]:
        """Write the node's key, but open the link before: the key tells where it listens.

        Every node opens it, however narrow its routes are: nodes have to tell each other under
        which requests replicas end, also while the store is away.
        """
        is_open = self._groups is not None
        if table is None and self._table_waits < MOST_TABLE_WAITS:
            self._table_waits += 1
            return [Schedule(now + TABLE_WAIT_SECONDS, event)]
        if table is None:
            return self._without_link(event, now)
        if self._is_early and not self._setup.is_wanted_early(table):
            settings = self._settings
            return self._later(settings.join_delay_seconds, event, now)
        if is_open:
            return self._presence.handle(event, now)
        self._link_waits += 1
        if self._link_waits > MOST_LINK_WAITS:
            return self._presence.handle(event, now)
        return [*self._setup.step(), Schedule(now + LINK_WAIT_SECONDS, event)]

    def _without_link(self, event: PresenceDue, now: float) -> list[Action]:
        """Write the key of a node without a configuration, which other nodes cannot reach yet."""
        if self._is_early:
            return self._later(self._settings.presence_delay_seconds, event, now)
        return self._presence.handle(event, now)

    def _later(self, delay_seconds: float, event: PresenceDue, now: float) -> list[Action]:
        """Wait until so long after the start, once."""
        self._is_early = False
        wait_seconds = delay_seconds - self._settings.join_wide_delay_seconds
        return [Schedule(now + max(0.0, wait_seconds), event)]

    def handle_link_opened(
        self, event: PeerLinkOpened, table: RoutingTable | None, now: float
    ) -> list[Action]:
        """Say where this node listens, and group the nodes from now on."""
        from .node_groups import NodeGroups

        self._opened_at = now
        self._known_at_opening = len(self._records)
        own = NodeRecord(event.identity, self._settings.processor)
        self._presence.set_value(self._formats.node_value(own))
        self._groups = NodeGroups(self._settings, self._name)
        for name, record in self._records.items():
            self._groups.put(name, record)
        self._groups.put(self._name, own)
        if table is not None:
            self.configure(table)
        fields = (("nodes", len(self._records)), ("port", event.identity.port))
        return [Log("peer_link_opened", LogLevel.INFO, fields)]

    def is_listed(self, now: float) -> bool:
        """Whether this node's key is sure to stand in the store."""
        return self._presence.is_listed(now)

    def reused_key(self) -> bool:
        """Whether this node's key stood in the store, as it is now, before this life wrote it."""
        return self._presence.reused_key

    def update_recipients(self) -> list[NodeIdentity]:
        """Return the nodes that are told what this one reads of the store."""
        return [] if self._groups is None else self._groups.update_recipients()

    def group_position(self) -> int:
        """Return this node's place among the nodes that tell each other of the store."""
        return 0 if self._groups is None else self._groups.group_position()

    def is_joining(self, now: float) -> bool:
        """Whether keys of nodes that started together with this one may soon appear.

        Where enough keys stood there already, nodes know each other by these: a node keeps its id
        and its address when it starts again.
        """
        if self._known_at_opening >= self._settings.update_group_min_nodes:
            return False
        return now - self._opened_at < self._settings.join_seconds

    def configure(self, table: RoutingTable) -> None:
        """Take in a configuration."""
        if self._groups is not None:
            self._groups.set_max_shard_count(widest_route(table))

    def set_cluster_key(self, cluster_key: bytes) -> None:
        """Take in the key that stands in the store."""
        self._setup.learn(cluster_key)

    def put(self, item: StoredValue) -> None:
        """Take in the key of a node."""
        self._nodes.put(item.key)
        name = item.key.removeprefix(self._formats.node_prefix)
        record = self._formats.parse_node(item.value)
        self._records[name] = record
        if name == self._name:
            self._presence.learn(item)
        if self._groups is not None and name != self._name:
            self._groups.put(name, record)

    def remove(self, key: str) -> None:
        """Take in that the key of a node is gone."""
        self._nodes.remove(key)
        name = key.removeprefix(self._formats.node_prefix)
        self._records.pop(name, None)
        if self._groups is not None and name != self._name:
            self._groups.remove(name)

    def keep_only(self, keys: set[str]) -> None:
        """Take in a whole listing: nodes that are not in it are gone."""
        self._nodes.keep_only(keys)
        prefix = self._formats.node_prefix
        names = {key.removeprefix(prefix) for key in keys}
        for name in [name for name in self._records if name not in names]:
            self.remove(prefix + name)
