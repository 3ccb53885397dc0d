"""Opens connections before a request needs them: to shards that this node owns.

When the index is cut anew, the replicas of the new shards are in the store some seconds before a
configuration names them. All nodes then turn to them with the same request, and each new connection
takes a replica's slot for some milliseconds, as long as a small request. So the owners of shards
that no configuration has named yet open theirs ahead, a few at a time.
"""

from ...model.routing_table import RoutingTable
from ...ports.forwarding import OpenConnection
from ...ports.machine import Action
from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..settings import ForwardingSettings
from .shard_placement import ShardPlacement

MAX_OPENED_AT_ONCE = 12
"""Connections that a node opens at a time, twice a second: an owner of 45 shards is done within two
seconds, and spends 2 ms of processor time on it each time."""


class ConnectionPrewarmer:
    """Chooses the replicas to connect to.

    Parameters
    ----------
    settings
        From how many shards on a route is divided among owners; the zone of this node.
    directory
        The replicas.
    placement
        Who owns which shard.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        placement: ShardPlacement,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._placement = placement
        self._configured: set[str] = set()
        """Services that a configuration has named so far: the old shards among them are leaving."""
        self._opened: set[str] = set()
        """Lives of replicas to which a connection was opened ahead."""

    def due(self, table: RoutingTable, now: float) -> list[Action]:
        """Return the next few connections to open."""
        for route in table.routes:
            self._configured.update(route.all_services)
        shard_sets = {route.shards for route in table.routes if route.is_repeatable}
        shard_sets.add(self._unconfigured_services())
        candidates: list[ReplicaState] = []
        for shards in sorted(shard_sets):
            if len(shards) >= self._settings.delegate_min_shards:
                candidates += self._unused_replicas(shards, now)
        chosen = candidates[:MAX_OPENED_AT_ONCE]
        self._opened.update(state.life for state in chosen)
        return [OpenConnection(state.record) for state in chosen]

    def _unconfigured_services(self) -> tuple[str, ...]:
        """Return the services that replicas serve and that no configuration has named yet."""
        return tuple(sorted(self._directory.services() - self._configured))

    def _unused_replicas(self, shards: tuple[str, ...], now: float) -> list[ReplicaState]:
        """Return the near replicas of own shards to which nothing was ever sent."""
        owners = self._placement.owners(shards, now)
        own = [shard for shard, owner in owners.items() if owner is None]
        zone = self._settings.zone
        return [
            state
            for shard in own
            for state in self._directory.usable(shard, now)
            if state.record.zone == zone and state.is_untouched and state.life not in self._opened
        ]
