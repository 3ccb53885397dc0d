"""Table of all configured shards, updated from the configuration."""

from collections.abc import Iterator

from ..model.configuration import Configuration, Replica, Service, Shard
from ..routing.replica_tracker import ReplicaTracker
from ..routing.settings import RoutingSettings
from .class_queue import ClassQueue
from .shard_state import ShardState


class ShardTable:
    """Shard states by shard id and by replica id.

    Parameters
    ----------
    by_class
        Whether queues separate classes; see ``ClassQueue``.
    """

    def __init__(self, settings: RoutingSettings, by_class: bool) -> None:
        self._settings = settings
        self._by_class = by_class
        self._shards: dict[str, ShardState] = {}
        self._shard_of_replica: dict[str, ShardState] = {}

    def __iter__(self) -> Iterator[ShardState]:
        """Iterate over all shards in the order of the configuration."""
        return iter(self._shards.values())

    def shard_state(self, shard_id: str) -> ShardState | None:
        """Return the state of a shard, or ``None`` if it is not configured."""
        return self._shards.get(shard_id)

    def find_replica(self, replica_id: str) -> tuple[ShardState, ReplicaTracker] | None:
        """Return the shard and the tracker of a replica; ``None`` if it is not configured."""
        shard_state = self._shard_of_replica.get(replica_id)
        if shard_state is None:
            return None
        return shard_state, shard_state.trackers[replica_id]

    def apply(self, configuration: Configuration) -> list[ShardState]:
        """Apply a configuration; return the removed shards with their queued sub-requests."""
        before = self._shards
        self._shards = {}
        self._shard_of_replica = {}
        for service in configuration.services:
            for shard in service.shards:
                shard_state = self._update_shard_state(
                    before.pop(shard.shard_id, None), service, shard
                )
                self._shards[shard.shard_id] = shard_state
                for replica_id in shard_state.trackers:
                    self._shard_of_replica[replica_id] = shard_state
        return list(before.values())

    def _update_shard_state(
        self, shard_state: ShardState | None, service: Service, shard: Shard
    ) -> ShardState:
        if shard_state is None:
            shard_state = ShardState(service, shard, {}, ClassQueue(self._by_class))
        shard_state.service = service
        shard_state.shard = shard
        known = shard_state.trackers
        shard_state.trackers = {
            replica.replica_id: self._create_or_update_tracker(
                known.get(replica.replica_id), replica
            )
            for replica in shard.replicas
        }
        shard_state.tracker_list = list(shard_state.trackers.values())
        return shard_state

    def _create_or_update_tracker(
        self, known: ReplicaTracker | None, replica: Replica
    ) -> ReplicaTracker:
        owner_count = max(1, self._settings.owners_per_shard)
        if known is None or (known.replica.host, known.replica.port) != (
            replica.host,
            replica.port,
        ):
            return ReplicaTracker(replica, self._settings, owner_count)
        known.set_replica(replica)
        return known
