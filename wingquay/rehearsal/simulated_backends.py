"""All back ends of a simulated deployment, and what may happen to them."""

from collections.abc import Callable

from wingquay.model.configuration import Replica, Service, Shard
from wingquay.model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    SnapshotVersion,
)
from wingquay.rehearsal.deployment_profile import DeploymentProfile, ServiceProfile
from wingquay.rehearsal.models.backend_model import BackendModel
from wingquay.rehearsal.models.backend_settings import BackendSettings
from wingquay.rehearsal.models.execution_ledger import ExecutionLedger, RecordedWrite
from wingquay.rehearsal.models.service_time import ServiceTimeSettings
from wingquay.rehearsal.oracle import Oracle
from wingquay.rehearsal.random_streams import RandomStreams
from wingquay.rehearsal.simulated_replica import Arrived, SimulatedReplica
from wingquay.rehearsal.virtual_clock import VirtualClock

FIRST_VERSION = SnapshotVersion(1)
WARM_UP_SECONDS = 2.0
QUEUE_LIMIT_PER_SLOT = 4


class ReportingLedger(ExecutionLedger):
    """Tells the oracle what truly runs on the back ends."""

    def __init__(self, oracle: Oracle, clock: VirtualClock) -> None:
        super().__init__()
        self._oracle = oracle
        self._clock = clock

    def record_execution(self, attempt_id: AttemptId, body: str) -> None:
        """Count the start of work on an attempt."""
        self.execution_count += 1
        self._oracle.execution_began(attempt_id, body)

    def record_write(self, write: RecordedWrite) -> None:
        """Pass on the start of work on an unrepeatable request."""
        self._oracle.unrepeatable_executed(write.body, self._clock.now)


class SimulatedBackends:
    """Builds the replicas of a deployment and finds them by address.

    Parameters
    ----------
    straggler_share
        Share of executions that are 10 to 50 times slower.
    arrived
        Told of every request that arrives at a replica.
    """

    def __init__(
        self,
        profile: DeploymentProfile,
        clock: VirtualClock,
        oracle: Oracle,
        streams: RandomStreams,
        straggler_share: float,
        arrived: Arrived,
    ) -> None:
        self.ledger = ReportingLedger(oracle, clock)
        self.replicas: dict[ReplicaId, SimulatedReplica] = {}
        self.newest: dict[ServiceName, SnapshotVersion] = {}
        self._clock = clock
        self._arrived = arrived
        self._by_address: dict[tuple[str, int], SimulatedReplica] = {}
        self._random = streams.stream("back ends")
        self._profile = profile
        self._straggler_share = straggler_share
        sizes = {entry.name: entry for entry in profile.services}
        for service in profile.configuration.services:
            self.newest[service.name] = FIRST_VERSION
            self._build_service(service, sizes[service.name])

    def find(self, host: str, port: int) -> SimulatedReplica | None:
        """Return the replica that listens at an address."""
        return self._by_address.get((host, port))

    def of_service(self, service: ServiceName) -> list[SimulatedReplica]:
        """Return the replicas of a service, in the order of the configuration."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.model.settings.service == service
        ]

    def add(
        self, service: Service, shard: Shard, entry: Replica, *, cold: bool
    ) -> SimulatedReplica:
        """Start a replica that the configuration may not know yet."""
        sizes = {profile.name: profile for profile in self._profile.services}
        replica = self._build(service, sizes[service.name], shard, entry)
        if cold:
            newest = self.newest[service.name]
            replica.model.restart(newest, newest, self._clock.now)
        return replica

    def for_each_of_shard(
        self, shard_replicas: tuple[Replica, ...], do: Callable[[SimulatedReplica], None]
    ) -> None:
        """Apply ``do`` to the running replicas among ``shard_replicas``."""
        for entry in shard_replicas:
            replica = self.replicas.get(entry.replica_id)
            if replica is not None:
                do(replica)

    def _build_service(self, service: Service, size: ServiceProfile) -> None:
        for shard in service.shards:
            for entry in shard.replicas:
                self._build(service, size, shard, entry)

    def _build(
        self, service: Service, size: ServiceProfile, shard: Shard, entry: Replica
    ) -> SimulatedReplica:
        settings = BackendSettings(
            replica_id=entry.replica_id,
            service=service.name,
            shard_id=shard.shard_id,
            key_range=shard.key_range,
            slots=entry.slots,
            queue_limit=entry.slots * QUEUE_LIMIT_PER_SLOT,
            connection_limit=entry.connection_limit,
            connection_cost_seconds=self._profile.connection_seconds,
            oldest_version=self.newest[service.name],
            newest_version=self.newest[service.name],
            service_time=ServiceTimeSettings(
                median_seconds=size.service_seconds,
                kind_medians=tuple(
                    (RequestKindName(kind.name), size.service_seconds) for kind in size.kinds
                ),
                straggler_share=self._straggler_share,
            ),
            # The replicas of the start have been up for long; later ones start cold.
            warm_up_seconds=WARM_UP_SECONDS,
        )
        model = BackendModel(
            settings,
            self._random,
            self._profile.dataset,
            self.ledger,
            started_at=self._clock.now - WARM_UP_SECONDS,
        )
        replica = SimulatedReplica(entry, model, self._clock, self._arrived)
        self.replicas[entry.replica_id] = replica
        self._by_address[entry.host, entry.port] = replica
        return replica
