"""Snapshot versions held by the replicas of each service, and the choice of the version to pin.

The best version is held by at least one replica in the largest number of shards. Ties are decided
by the higher minimum, over the shards, of the share of replicas that hold the version; then by the
newer version. A version that is being installed is therefore not used until it is held as widely
as the previous one.
"""

from ..model.answer import HeldVersions
from ..model.configuration import Configuration, Service
from ..model.identifiers import ServiceName, SnapshotVersion

UNKNOWN_VERSION = SnapshotVersion(0)
"""Pinned while no held versions are known; replicas reject it and report what they hold."""


class VersionTable:
    """Held versions by replica and the best version of each service."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._service_of_replica: dict[str, str] = {}
        self._held: dict[str, HeldVersions] = {}
        self._excluded: dict[str, bool] = {}
        self._best_versions: dict[str, SnapshotVersion] = {}

    def apply(self, configuration: Configuration) -> None:
        """Apply the services and replicas of a configuration."""
        self._services = {service.name: service for service in configuration.services}
        self._service_of_replica = {
            replica.replica_id: service.name
            for service in configuration.services
            for shard in service.shards
            for replica in shard.replicas
        }
        configured = self._service_of_replica
        self._held = {name: held for name, held in self._held.items() if name in configured}
        self._best_versions.clear()

    def record(self, held: HeldVersions) -> None:
        """Record the versions held by a replica."""
        previous = self._held.get(held.replica_id)
        if previous is held or previous == held:
            return
        self._held[held.replica_id] = held
        self._invalidate_best(held.replica_id)

    def set_excluded(self, replica_id: str, excluded: bool) -> None:
        """Set whether a replica is ignored in the choice because it is leaving or gone."""
        if self._excluded.get(replica_id, False) != excluded:
            self._excluded[replica_id] = excluded
            self._invalidate_best(replica_id)

    def _invalidate_best(self, replica_id: str) -> None:
        service = self._service_of_replica.get(replica_id)
        if service is not None:
            self._best_versions.pop(service, None)

    def best_version(self, service_name: ServiceName) -> SnapshotVersion:
        """Return the version to pin, or ``UNKNOWN_VERSION``."""
        cached = self._best_versions.get(service_name)
        if cached is not None:
            return cached
        service = self._services.get(service_name)
        best = UNKNOWN_VERSION if service is None else self._choose(service)
        self._best_versions[service_name] = best
        return best

    def _choose(self, service: Service) -> SnapshotVersion:
        held_by_shard = [
            [
                self._held[replica.replica_id]
                for replica in shard.replicas
                if replica.replica_id in self._held
                and not self._excluded.get(replica.replica_id, False)
            ]
            for shard in service.shards
        ]
        reported_shards = [shard for shard in held_by_shard if shard]
        candidates = {
            version for shard in reported_shards for held in shard for version in _bounds(held)
        }
        if not candidates:
            return UNKNOWN_VERSION
        return max(sorted(candidates), key=lambda version: _rank(reported_shards, version))

    def shards_holding(self, service_name: ServiceName, version: SnapshotVersion) -> int:
        """Return the number of shards with at least one replica known to hold ``version``.

        Includes replicas that are excluded from the choice.
        """
        service = self._services.get(service_name)
        if service is None:
            return 0
        return sum(
            any(self._holds(replica.replica_id, version) for replica in shard.replicas)
            for shard in service.shards
        )

    def _holds(self, replica_id: str, version: SnapshotVersion) -> bool:
        held = self._held.get(replica_id)
        return held is not None and held.oldest <= version <= held.newest


def _bounds(held: HeldVersions) -> tuple[SnapshotVersion, SnapshotVersion]:
    return (held.oldest, held.newest)


def _rank(
    shards: list[list[HeldVersions]], version: SnapshotVersion
) -> tuple[int, float, SnapshotVersion]:
    shares = [
        sum(held.oldest <= version <= held.newest for held in shard) / len(shard)
        for shard in shards
    ]
    shards_with_any = sum(share > 0.0 for share in shares)
    return (shards_with_any, min(shares), version)
