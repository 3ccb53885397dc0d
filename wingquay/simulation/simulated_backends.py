"""All back ends of a simulated deployment, and what may happen to them."""

from collections.abc import Callable

from ..model.configuration import Replica, Service, Shard
from ..model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    SnapshotVersion,
)
from ..ports.machine_directory import MachineState
from .deployment_profile import DeploymentProfile, ServiceProfile
from .models.backend_model import BackendModel
from .models.backend_settings import BackendSettings
from .models.execution_ledger import ExecutionLedger, RecordedWrite
from .models.service_time import ServiceTimeSettings
from .oracle import Oracle
from .random_streams import RandomStreams
from .simulated_replica import Arrived, SimulatedReplica
from .virtual_clock import VirtualClock

FIRST_VERSION = SnapshotVersion(1)
WARM_UP_SECONDS = 2.0
CATCH_UP_SECONDS = 2.0
"""A replica that restarts on an older index has the newest one after so long."""
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
    lost
        Told when a replica's process ends.
    listed
        Tells the platform's machine list of a replica's state.
    """

    def __init__(
        self,
        profile: DeploymentProfile,
        clock: VirtualClock,
        oracle: Oracle,
        streams: RandomStreams,
        straggler_share: float,
        arrived: Arrived,
        lost: Callable[[SimulatedReplica], None],
        listed: Callable[[SimulatedReplica, MachineState], None],
    ) -> None:
        self.ledger = ReportingLedger(oracle, clock)
        self.replicas: dict[ReplicaId, SimulatedReplica] = {}
        self.newest: dict[ServiceName, SnapshotVersion] = {}
        self.bounds: dict[ServiceName, tuple[Shard, ...]] = {}
        """The shards as they are meant to be now."""
        self._clock = clock
        self._arrived = arrived
        self._lost = lost
        self._listed = listed
        self._oracle = oracle
        self._by_address: dict[tuple[str, int], SimulatedReplica] = {}
        self._random = streams.stream("back ends")
        self._profile = profile
        self._straggler_share = straggler_share
        sizes = {entry.name: entry for entry in profile.services}
        for service in profile.configuration.services:
            self.newest[service.name] = FIRST_VERSION
            self.bounds[service.name] = service.shards
            self._build_service(service, sizes[service.name])
        self.first_replicas = list(self.replicas.values())

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

    def lose(self, replica: SimulatedReplica, *, silent: bool) -> None:
        """End a replica's process, or let its machine fall silent."""
        replica.condition.alive = silent
        replica.condition.silent = silent
        replica.lose_everything()
        # What ran is lost with the process; a silent machine's work reaches nobody either.
        oldest, newest = replica.model.held_versions
        replica.model.restart(oldest, newest, self._clock.now)
        self._lost(replica)

    def restart(self, replica: SimulatedReplica, *, on_older_index: bool) -> None:
        """Start a replica's process again, cold, perhaps on an older index for a while."""
        newest = self.newest[replica.model.settings.service]
        version = newest
        if on_older_index and newest > FIRST_VERSION:
            version = SnapshotVersion(newest - 1)
            self._clock.after(CATCH_UP_SECONDS, self._catch_up, replica)
        replica.model.restart(version, version, self._clock.now)
        replica.condition.alive = True
        replica.condition.silent = False
        self._oracle.replica_returned(replica.entry.replica_id)
        self._listed(replica, MachineState.LIVE)

    def drain(self, replica: SimulatedReplica) -> None:
        """Let a replica refuse new work because it leaves."""
        replica.model.drain(self._clock.now)
        self._oracle.replica_leaving(replica.entry.replica_id, self._clock.now)
        self._listed(replica, MachineState.LEAVING)

    def list_all(self) -> None:
        """Put every replica on the machine list."""
        for replica in self.replicas.values():
            self._listed(replica, MachineState.LIVE)

    def _catch_up(self, replica: SimulatedReplica) -> None:
        newest = self.newest[replica.model.settings.service]
        replica.model.install_version(newest, self._clock.now)

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
