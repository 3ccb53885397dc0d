"""Starts the store, the back ends of ro-nord and two nodes on loopback ports of their own."""

import hashlib
import random
from collections.abc import Sequence

from ..adapters.settings import Settings
from ..adapters.settings_check import SettingsErrors, check_settings
from ..model.configuration import Configuration, Replica, RequestKind, Service, Shard
from ..model.identifiers import (
    ClassName,
    ReplicaId,
    RequestKindName,
    ServiceName,
    SnapshotVersion,
)
from ..model.key_range import KeyRange, intersect
from ..node import Node
from ..simulation.deployment_profile import DeploymentProfile, ServiceProfile
from ..simulation.deployments import RO_NORD
from ..simulation.models.backend_settings import BackendSettings
from ..simulation.models.execution_ledger import ExecutionLedger
from ..simulation.models.service_time import ServiceTimeSettings
from ..simulation.models.store_model import StoreSettings
from ..standins.backend import BackendStandin
from ..standins.backend_admin import ChangeVersions, Drain
from ..standins.store import StoreStandin

LOOPBACK = "127.0.0.1"
NODE_ZONES = ("cluj-a", "bistrita")
"""Zones of the demonstration's two nodes."""

DEMO_PROFILE = DeploymentProfile.model_validate(RO_NORD.model_dump() | {"zones": NODE_ZONES})
"""ro-nord at its full sizes in two of its four zones: an unrepeatable request needs the vote of a
majority of the zones, and each zone votes through a node of its own."""

CALLER_TOKEN = "demo-caller-token"
SHARED_LOOP_LAG_SECONDS = 30.0
OPERATOR_TOKEN = "demo-operator-token"
CLUSTER_KEY = "demo-cluster-key-of-at-least-32-characters"

UNREPEATABLE_SERVICE = ServiceName("install-planner")
UNREPEATABLE_KIND = RequestKindName("install-order")
UNREPEATABLE_CLASS = ClassName("standard")


class DemoDeployment:
    """Everything that the demonstration runs, in this process.

    Parameters
    ----------
    seed
        Of the service times and stragglers of the back ends.
    profile
        What is deployed, and its sizes.
    node_zones
        One node is started in each of these zones, in this order.
    """

    def __init__(
        self,
        seed: int,
        profile: DeploymentProfile = DEMO_PROFILE,
        node_zones: Sequence[str] = NODE_ZONES,
    ) -> None:
        self._random = random.Random(seed)
        self._node_zones = node_zones
        self.profile = profile
        self.dataset = profile.dataset
        self.ledger = ExecutionLedger()
        self.store = StoreStandin(StoreSettings(), random.Random(seed))
        self.backends: dict[ReplicaId, BackendStandin] = {}
        self.nodes: list[Node] = []
        self.configuration = Configuration()
        """What the operators set up; no node knows it before its plan is confirmed."""

    async def start(self) -> None:
        """Start everything; ``close`` ends it."""
        store_port = await self.store.start(LOOPBACK, 0)
        services = [await self._start_service(service) for service in self._services()]
        caller = self.profile.configuration.callers[0]
        token_sha256 = hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()
        self.configuration = self.profile.configuration.model_copy(
            update={
                "services": tuple(services),
                "callers": (caller.model_copy(update={"token_sha256": token_sha256}),),
            }
        )
        await self._start_nodes(store_port)

    async def close(self) -> None:
        """End everything."""
        for node in self.nodes:
            await node.close()
        for backend in self.backends.values():
            await backend.close()
        await self.store.close()

    @property
    def newest_version(self) -> SnapshotVersion:
        """The newest index version that any back end holds."""
        return max(backend.model.held_versions[1] for backend in self.backends.values())

    def replicas_of(self, service_name: str) -> list[ReplicaId]:
        """Return the replicas of a service, shard by shard."""
        return [
            replica.replica_id
            for service in self.configuration.services
            if service.name == service_name
            for shard in service.shards
            for replica in shard.replicas
        ]

    def shards_asked(self, service_name: str, key_ranges: Sequence[KeyRange]) -> int:
        """Return how many shards of a service hold some of the keys."""
        service = self.configuration.service(service_name)
        shards = () if service is None else service.shards
        return sum(1 for shard in shards if intersect([shard.key_range], key_ranges))

    def install_version(self, replica_id: ReplicaId, version: int) -> None:
        """Let a back end hold a further index version."""
        self.backends[replica_id].admin.perform(ChangeVersions(install=version))

    def drain_backend(self, replica_id: ReplicaId) -> None:
        """Let a back end refuse new work and say that it leaves."""
        self.backends[replica_id].admin.perform(Drain())

    async def stop_backend(self, replica_id: ReplicaId) -> None:
        """End a back end at once, without a word."""
        await self.backends[replica_id].close()

    def _services(self) -> list[Service]:
        """Return the services of ro-nord, with a kind of request that may run only once."""
        unrepeatable = RequestKind(
            name=UNREPEATABLE_KIND, class_name=UNREPEATABLE_CLASS, repeatable=False
        )
        return [
            service.model_copy(update={"kinds": (*service.kinds, unrepeatable)})
            if service.name == UNREPEATABLE_SERVICE
            else service
            for service in self.profile.configuration.services
        ]

    async def _start_service(self, service: Service) -> Service:
        profile = next(entry for entry in self.profile.services if entry.name == service.name)
        shards = [await self._start_shard(service, profile, shard) for shard in service.shards]
        return service.model_copy(update={"shards": tuple(shards)})

    async def _start_shard(self, service: Service, profile: ServiceProfile, shard: Shard) -> Shard:
        replicas: list[Replica] = []
        for replica in shard.replicas:
            settings = BackendSettings(
                replica_id=replica.replica_id,
                service=service.name,
                shard_id=shard.shard_id,
                key_range=shard.key_range,
                slots=replica.slots,
                connection_limit=replica.connection_limit,
                service_time=ServiceTimeSettings(median_seconds=profile.service_seconds),
            )
            backend = BackendStandin(settings, self._random, self.dataset, self.ledger)
            port = await backend.start(LOOPBACK, 0)
            self.backends[replica.replica_id] = backend
            replicas.append(replica.model_copy(update={"host": LOOPBACK, "port": port}))
        return shard.model_copy(update={"replicas": tuple(replicas)})

    async def _start_nodes(self, store_port: int) -> None:
        for index, zone in enumerate(self._node_zones):
            seeds = [f"{node.identity.host}:{node.identity.port}" for node in self.nodes]
            node = Node(_settings(self.profile.name, f"node-{index + 1}", zone, store_port, seeds))
            await node.start()
            self.nodes.append(node)


def _settings(deployment: str, name: str, zone: str, store_port: int, seeds: list[str]) -> Settings:
    operator_token = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    settings = check_settings(
        {
            "node": {"name": name, "deployment": deployment, "zone": zone},
            "caller_interface": {"host": LOOPBACK, "port": 0},
            "operator_interface": {
                "host": LOOPBACK,
                "port": 0,
                "operators": [{"name": "demo", "token_sha256": operator_token}],
            },
            "peers": {"host": LOOPBACK, "port": 0, "cluster_key": CLUSTER_KEY, "seeds": seeds},
            "store": {"endpoints": [f"{LOOPBACK}:{store_port}"]},
            # All back ends share this process and its event loop, whose lateness therefore says
            # nothing of the nodes alone.
            "query": {"loop_lag_limit_seconds": SHARED_LOOP_LAG_SECONDS},
        }
    )
    assert not isinstance(settings, SettingsErrors), settings.lines
    return settings
