"""Parts of the operators' configuration: classes, services, shards, replicas, callers.

The models are immutable and validated by pydantic. They are serialized as JSON in the platform's
key-value store and between nodes.
"""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from .identifiers import (
    CallerName,
    ClassName,
    DeploymentName,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    ZoneName,
)
from .key_range import KeyRange


class CheckedModel(BaseModel):
    """Base of every part: immutable, ignores unknown fields."""

    # Unknown fields are ignored because nodes of a newer version may write them. Intents reject
    # unknown fields on arrival.
    model_config = ConfigDict(frozen=True, extra="ignore")


class CoveragePreference(Enum):
    """What a request kind gives up first if a shard is slow."""

    FULL_COVERAGE = "full_coverage"
    """Wait for all shards as long as the deadline allows."""

    LATENCY_FIRST = "latency_first"
    """Answer within the class's promise with the results available by then."""


class PriorityClass(CheckedModel):
    """A priority class: its price and its latency promise.

    Parameters
    ----------
    price
        Weight of the class relative to others; a higher price is served sooner.
    promise_seconds
        Latency within which its requests should be answered.
    """

    name: ClassName
    price: float = Field(gt=0, le=1e6)
    promise_seconds: float = Field(gt=0, le=600)


class RequestKind(CheckedModel):
    """A kind of request that a service accepts, with its defaults."""

    name: RequestKindName
    class_name: ClassName
    repeatable: bool = True
    coverage_preference: CoveragePreference = CoveragePreference.FULL_COVERAGE
    deadline_seconds: float = Field(default=2.0, gt=0, le=600)


class Replica(CheckedModel):
    """A back-end process that serves one shard at ``host:port`` (``host`` is an IP address)."""

    replica_id: ReplicaId
    zone: ZoneName
    host: str
    port: int = Field(ge=1, le=65535)
    slots: int = Field(default=5, ge=1, le=10_000)
    connection_limit: int = Field(default=70, ge=1, le=100_000)


class Shard(CheckedModel):
    """A part of a service's keys, from ``start`` to ``end`` (``None``: unbounded)."""

    shard_id: ShardId
    start: str = ""
    end: str | None = None
    replicas: tuple[Replica, ...]

    @property
    def key_range(self) -> KeyRange:
        """The keys that the shard holds."""
        return KeyRange(self.start, self.end)


class Service(CheckedModel):
    """A sharded back-end service of one deployment."""

    name: ServiceName
    deployment: DeploymentName
    kinds: tuple[RequestKind, ...]
    shards: tuple[Shard, ...]

    def kind(self, name: str) -> RequestKind | None:
        """Return the request kind called ``name``, or ``None``."""
        return next((kind for kind in self.kinds if kind.name == name), None)


class Deployment(CheckedModel):
    """A group of zones with low latency between them."""

    name: DeploymentName
    zones: tuple[ZoneName, ...]


class Caller(CheckedModel):
    """A caller and the services it may use.

    Parameters
    ----------
    token_sha256
        SHA-256 of the caller's bearer token, in hexadecimal.
    """

    name: CallerName
    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    services: tuple[ServiceName, ...]


class Attachment(CheckedModel):
    """Assigns a request kind of a service to a class, for one caller or all (``None``)."""

    service: ServiceName
    kind: RequestKindName
    class_name: ClassName
    caller: CallerName | None = None
