"""Opens connections to unused replicas before requests need them.

After resharding, the replicas of the new shards are listed in the store some seconds before a
configuration contains them. Once it does, all nodes send requests to them, and each new connection
would occupy a replica slot for some milliseconds. The owners of shards therefore connect in
advance, a few replicas at a time, to replicas of new shards and of configured ones.
"""

from ...model.routing_table import RoutingTable
from ...ports.forwarding import OpenConnection
from ...ports.machine import Action
from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..settings import ForwardingSettings
from .shard_placement import ShardPlacement

MAX_OPENED_AT_ONCE = 12
"""Maximum number of connections that a node opens at once; limits the processor time spent. An
owner of 45 shards is done within two seconds and spends 2 ms of processor time on it each time."""


class ConnectionPrewarmer:
    """Chooses the replicas to connect to.

    Parameters
    ----------
    settings
        The minimum number of shards for ownership, and the zone of this node.
    directory
        The replicas.
    placement
        The owners of shards.
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
        """Services that any configuration so far has contained; the remaining ones are new."""
        self._opened: set[str] = set()
        """Incarnations of replicas to which a connection was opened."""

    def on_due(self, table: RoutingTable, now: float) -> list[Action]:
        """Return the actions that open the next connections."""
        for route in table.routes:
            self._configured.update(route.all_services)
        shard_sets = {route.shards for route in table.routes if route.is_repeatable}
        shard_sets.add(self._unconfigured_services())
        candidates: list[ReplicaState] = []
        for shards in sorted(shard_sets):
            if len(shards) >= self._settings.delegate_min_shards:
                candidates += self._unused_replicas(shards, now)
        chosen = candidates[:MAX_OPENED_AT_ONCE]
        self._opened.update(state.incarnation for state in chosen)
        return [OpenConnection(state.record) for state in chosen]

    def _unconfigured_services(self) -> tuple[str, ...]:
        """Return the services with replicas that no configuration has contained yet."""
        return tuple(sorted(self._directory.services() - self._configured))

    def _unused_replicas(self, shards: tuple[str, ...], now: float) -> list[ReplicaState]:
        """Return the same-zone replicas of own shards to which nothing was ever sent."""
        owners = self._placement.owners(shards, now)
        own = [shard for shard, owner in owners.items() if owner is None]
        zone = self._settings.zone
        return [
            state
            for shard in own
            for state in self._directory.candidates(shard, now)
            if state.record.zone == zone
            and state.is_unused
            and state.incarnation not in self._opened
        ]
