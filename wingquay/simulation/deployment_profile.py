"""What a simulated deployment looks like: zones, services, kinds of request, classes, sizes."""

from functools import cached_property

from pydantic import BaseModel, ConfigDict, Field

from ..model.configuration import (
    Caller,
    Configuration,
    CoveragePreference,
    Deployment,
    PriorityClass,
    Replica,
    RequestKind,
    Service,
    Shard,
)
from ..model.identifiers import (
    CallerName,
    ClassName,
    DeploymentName,
    ReplicaId,
    RequestKindName,
    Revision,
    ServiceName,
    ShardId,
    ZoneName,
)
from ..model.key_range import KeyRange
from .models.dataset import Dataset

SIMULATED_TOKEN_SHA256 = "0" * 64
REPLICA_PORT = 8000
NODE_PORT = 7000
FIRST_REVISION = Revision(1)


class _Profile(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class KindProfile(_Profile):
    """A kind of request and its part in the load.

    ``load_share`` is the part of the service's load that this kind makes. ``whole_range`` kinds
    ask for a wide range of keys, the others for one key in each shard.
    """

    name: str
    class_name: str
    load_share: float = Field(default=1.0, gt=0, le=1)
    whole_range: bool = True
    repeatable: bool = True
    coverage_preference: CoveragePreference = CoveragePreference.FULL_COVERAGE
    deadline_seconds: float = Field(default=2.0, gt=0, le=600)


class ServiceProfile(_Profile):
    """A service's size. ``service_seconds`` is the median time that one sub-request takes."""

    name: str
    shards: int = Field(ge=1, le=1000)
    replicas_per_shard: int = Field(ge=1, le=100)
    slots: int = Field(ge=1, le=1000)
    connection_limit: int = Field(ge=1, le=10_000)
    service_seconds: float = Field(gt=0, le=60)
    kinds: tuple[KindProfile, ...]


class ClassProfile(_Profile):
    """A priority class."""

    name: str
    price: float = Field(gt=0)
    promise_seconds: float = Field(gt=0)


class DeploymentProfile(_Profile):
    """A whole deployment; durations in seconds, latencies one way."""

    name: str
    zones: tuple[str, ...]
    nodes_per_zone: int = Field(default=2, ge=1, le=200)
    same_zone_seconds: float = Field(default=0.0002, ge=0)
    between_zones_seconds: float = Field(default=0.001, ge=0)
    client_seconds: float = Field(default=0.001, ge=0)
    connection_seconds: float = Field(default=0.001, ge=0)
    keys: int = Field(default=48, ge=1, le=10_000)
    classes: tuple[ClassProfile, ...]
    services: tuple[ServiceProfile, ...]

    @cached_property
    def dataset(self) -> Dataset:
        """The keys and rows that the back ends hold."""
        return Dataset(key_count=self.keys)

    @cached_property
    def configuration(self) -> Configuration:
        """The confirmed configuration that the simulation begins with."""
        return Configuration(
            revision=FIRST_REVISION,
            confirm_id="initial",
            deployments=(
                Deployment(
                    name=DeploymentName(self.name),
                    zones=tuple(ZoneName(zone) for zone in self.zones),
                ),
            ),
            classes=tuple(
                PriorityClass(
                    name=ClassName(entry.name),
                    price=entry.price,
                    promise_seconds=entry.promise_seconds,
                )
                for entry in self.classes
            ),
            services=tuple(
                self._service(index, entry) for index, entry in enumerate(self.services)
            ),
            callers=(
                Caller(
                    name=CallerName("portal"),
                    token_sha256=SIMULATED_TOKEN_SHA256,
                    services=tuple(ServiceName(entry.name) for entry in self.services),
                ),
            ),
        )

    def _service(self, index: int, profile: ServiceProfile) -> Service:
        return Service(
            name=ServiceName(profile.name),
            deployment=DeploymentName(self.name),
            kinds=tuple(
                RequestKind(
                    name=RequestKindName(kind.name),
                    class_name=ClassName(kind.class_name),
                    repeatable=kind.repeatable,
                    coverage_preference=kind.coverage_preference,
                    deadline_seconds=kind.deadline_seconds,
                )
                for kind in profile.kinds
            ),
            shards=tuple(
                self._shard(index, profile, shard_index, key_range)
                for shard_index, key_range in enumerate(self.dataset.shard_ranges(profile.shards))
            ),
        )

    def _shard(
        self, service_index: int, profile: ServiceProfile, shard_index: int, key_range: KeyRange
    ) -> Shard:
        replicas = tuple(
            Replica(
                replica_id=ReplicaId(f"{profile.name}-{shard_index}-{replica_index}"),
                zone=ZoneName(self.zones[(shard_index + replica_index) % len(self.zones)]),
                host=f"10.{service_index + 1}.{shard_index}.{replica_index + 1}",
                port=REPLICA_PORT,
                slots=profile.slots,
                connection_limit=profile.connection_limit,
            )
            for replica_index in range(profile.replicas_per_shard)
        )
        return Shard(
            shard_id=ShardId(f"{profile.name}-{shard_index}"),
            start=key_range.start,
            end=key_range.end,
            replicas=replicas,
        )
