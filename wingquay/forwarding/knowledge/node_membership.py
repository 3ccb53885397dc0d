"""The nodes by their entries in the store, and this node's own entry."""

from collections.abc import Collection
from typing import TYPE_CHECKING

from ...model.routing_table import RoutingTable
from ...ports.machine import Action, Log, LogLevel, Schedule
from ...ports.peer_link import NodeIdentity, NodeRecord, PeerLinkOpened
from ...ports.store import StoredValue, StoreResponse
from ..settings import ForwardingSettings
from ..store_formats import StoreFormats
from .peer_setup import PeerSetup, count_max_shards
from .presence import NodeCount, Presence, PresenceDue

if TYPE_CHECKING:
    from .node_groups import NodeGroups

LINK_WAIT_SECONDS = 0.4
"""Time between two checks whether the link to other nodes is open."""
TABLE_WAIT_SECONDS = 0.03
"""Time between two checks whether a configuration has arrived."""
MAX_TABLE_WAITS = 50
"""Checks for a configuration after which the entry is written without one. A node counts without
the link, too."""
MAX_LINK_WAITS = 7
"""Checks for the link after which the entry is written without an address."""


class NodeMembership:
    """Counts the nodes and, once the link to them is open, tracks their addresses.

    Parameters
    ----------
    name
        This node's name.
    nodes
        Counts the node entries.
    presence
        Maintains this node's own entry.
    new_cluster_key
        The cluster key to write if the store has none.
    """

    def __init__(
        self,
        name: str,
        settings: ForwardingSettings,
        formats: StoreFormats,
        nodes: NodeCount,
        presence: Presence,
        new_cluster_key: bytes,
    ) -> None:
        self._name = name
        self._settings = settings
        self._formats = formats
        self._nodes = nodes
        self._presence = presence
        self._setup = PeerSetup(settings, formats.cluster_key, new_cluster_key)
        self._link_waits = 0
        self._table_waits = 0
        self._needs_initial_delay = True
        """Whether the delay before the first write of the entry has not been scheduled yet."""
        self._opened_at = float("-inf")
        self._known_at_opening = 0
        self._records: dict[str, NodeRecord | None] = {}
        self._groups: NodeGroups | None = None

    @property
    def groups(self) -> "NodeGroups":
        """The groups of nodes; available only after the link was opened."""
        assert self._groups is not None
        return self._groups

    def handles(self, event: StoreResponse) -> bool:
        """Whether a store response answers a request of this class."""
        return self._presence.handles(event) or self._setup.handles(event)

    def handle_response(self, event: StoreResponse, now: float) -> list[Action]:
        """Handle a store response."""
        if self._presence.handles(event):
            return self._presence.handle(event, now)
        return self._setup.handle_result(event.result)

    def handle_presence_due(
        self, event: PresenceDue, table: RoutingTable | None, now: float
    ) -> list[Action]:
        """Open the link to other nodes, then write this node's entry with its address.

        The link is opened even if all routes have few shards, because nodes also use it to report
        requests that crash replicas, even during a store outage.
        """
        is_open = self._groups is not None
        if table is None and self._table_waits < MAX_TABLE_WAITS:
            self._table_waits += 1
            return [Schedule(now + TABLE_WAIT_SECONDS, event)]
        if table is None:
            return self._write_without_address(event, now)
        if self._needs_initial_delay and not self._setup.needs_early_link(table):
            settings = self._settings
            return self._schedule_first_write(settings.join_delay_seconds, event, now)
        if is_open:
            return self._presence.handle(event, now)
        self._link_waits += 1
        if self._link_waits > MAX_LINK_WAITS:
            return self._presence.handle(event, now)
        return [*self._setup.request_link(), Schedule(now + LINK_WAIT_SECONDS, event)]

    def _write_without_address(self, event: PresenceDue, now: float) -> list[Action]:
        """Write the entry of a node without a configuration, after the initial delay."""
        if self._needs_initial_delay:
            return self._schedule_first_write(self._settings.presence_delay_seconds, event, now)
        return self._presence.handle(event, now)

    def _schedule_first_write(
        self, delay_seconds: float, event: PresenceDue, now: float
    ) -> list[Action]:
        """Schedule the first write ``delay_seconds`` after the start.

        The timer that led here already fired ``join_wide_delay_seconds`` after the start.
        """
        self._needs_initial_delay = False
        delay_left_seconds = delay_seconds - self._settings.join_wide_delay_seconds
        return [Schedule(now + max(0.0, delay_left_seconds), event)]

    def handle_link_opened(
        self, event: PeerLinkOpened, table: RoutingTable | None, now: float
    ) -> list[Action]:
        """Set this node's address in its entry and start grouping the nodes."""
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
        """Whether this node's entry is certain to be in the store."""
        return self._presence.is_listed(now)

    def reused_key(self) -> bool:
        """Whether the entry of this node's previous incarnation was found unchanged and reused."""
        return self._presence.reused_key

    def update_recipients(self) -> list[NodeIdentity]:
        """Return the nodes to which this node sends store updates."""
        return [] if self._groups is None else self._groups.update_recipients()

    def group_position(self) -> int:
        """Return this node's position among the nodes that share store updates, from 0."""
        return 0 if self._groups is None else self._groups.group_position()

    def is_joining(self, now: float) -> bool:
        """Whether entries of nodes that started together with this one may still appear.

        They are not waited for if enough entries were present when the link opened, because a node
        keeps its id and address when it restarts.
        """
        if self._known_at_opening >= self._settings.update_group_min_nodes:
            return False
        return now - self._opened_at < self._settings.join_seconds

    def configure(self, table: RoutingTable) -> None:
        """Apply a configuration."""
        if self._groups is not None:
            self._groups.set_max_shard_count(count_max_shards(table))

    def set_cluster_key(self, cluster_key: bytes) -> None:
        """Record the cluster key found in the store."""
        self._setup.set_cluster_key(cluster_key)

    def put(self, item: StoredValue) -> None:
        """Apply a node's entry."""
        self._nodes.put(item.key)
        name = item.key.removeprefix(self._formats.node_prefix)
        record = self._formats.parse_node(item.value)
        self._records[name] = record
        if name == self._name:
            self._presence.set_stored(item)
        if self._groups is not None and name != self._name:
            self._groups.put(name, record)

    def remove(self, key: str) -> None:
        """Remove a node whose entry is gone."""
        self._nodes.remove(key)
        name = key.removeprefix(self._formats.node_prefix)
        self._records.pop(name, None)
        if self._groups is not None and name != self._name:
            self._groups.remove(name)

    def missing_from(self, keys: Collection[str]) -> tuple[str, ...]:
        """Return the keys of known nodes that are missing from a complete listing."""
        prefix = self._formats.node_prefix
        return tuple(prefix + name for name in self._records if prefix + name not in keys)

    def rewrite_cluster_key(self, keys: Collection[str]) -> list[Action]:
        """Write the cluster key again if it is missing from a complete listing.

        The first node of a group does so: others that start would write a key of their own.
        """
        if self._formats.cluster_key in keys or self.group_position():
            return []
        return self._setup.rewrite_cluster_key()

    def on_restored(self, now: float) -> list[Action]:
        """Write this node's entry again, because the store lost its lease."""
        return self._presence.on_restored(now)

    def keep_only(self, keys: set[str]) -> None:
        """Apply a complete listing: remove the nodes that are not in it."""
        self._nodes.keep_only(keys)
        prefix = self._formats.node_prefix
        names = {key.removeprefix(prefix) for key in keys}
        for name in [name for name in self._records if name not in names]:
            self.remove(prefix + name)
