"""The shards that this node may be asked about, kept up to date with the configuration."""

from collections.abc import Iterator

from ..model.configuration import Configuration, Replica, Service, Shard
from ..routing.replica_tracker import ReplicaTracker
from ..routing.settings import RoutingSettings
from .class_line import ClassLine
from .shard_lane import ShardLane


class LaneTable:
    """Shard lanes by shard id, and the lane of each replica.

    Parameters
    ----------
    by_class
        Whether queues tell classes apart.
    """

    def __init__(self, settings: RoutingSettings, by_class: bool) -> None:
        self._settings = settings
        self._by_class = by_class
        self._lanes: dict[str, ShardLane] = {}
        self._lane_of_replica: dict[str, ShardLane] = {}

    def __iter__(self) -> Iterator[ShardLane]:
        """Return all lanes, in the configuration's order."""
        return iter(self._lanes.values())

    def lane(self, shard_id: str) -> ShardLane | None:
        """Return the lane of a shard, or ``None`` if the configuration has no such shard."""
        return self._lanes.get(shard_id)

    def tracker(self, replica_id: str) -> tuple[ShardLane, ReplicaTracker] | None:
        """Return a replica's lane and tracker, or ``None`` if it is unknown."""
        lane = self._lane_of_replica.get(replica_id)
        if lane is None:
            return None
        return lane, lane.trackers[replica_id]

    def apply(self, configuration: Configuration) -> list[ShardLane]:
        """Follow the configuration; return the lanes that are gone with what waits in them."""
        before = self._lanes
        self._lanes = {}
        self._lane_of_replica = {}
        for service in configuration.services:
            for shard in service.shards:
                lane = self._follow(before.pop(shard.shard_id, None), service, shard)
                self._lanes[shard.shard_id] = lane
                for replica_id in lane.trackers:
                    self._lane_of_replica[replica_id] = lane
        return list(before.values())

    def _follow(self, lane: ShardLane | None, service: Service, shard: Shard) -> ShardLane:
        if lane is None:
            lane = ShardLane(service, shard, {}, ClassLine(self._by_class))
        lane.service = service
        lane.shard = shard
        known = lane.trackers
        lane.trackers = {
            replica.replica_id: self._tracker(known.get(replica.replica_id), replica)
            for replica in shard.replicas
        }
        lane.tracker_list = list(lane.trackers.values())
        return lane

    def _tracker(self, known: ReplicaTracker | None, replica: Replica) -> ReplicaTracker:
        owner_count = max(1, self._settings.owners_per_shard)
        if known is None or (known.replica.host, known.replica.port) != (
            replica.host,
            replica.port,
        ):
            return ReplicaTracker(replica, self._settings, owner_count)
        known.set_replica(replica)
        return known
