"""The operators' configuration: what is confirmed, in force everywhere and never reverts.

The models are checked on construction by pydantic, immutable, and serialized as JSON in the
platform's key-value service and between nodes. Source: brief, "The product".
"""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field, model_validator

from wingquay.model.identifiers import (
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
from wingquay.model.key_range import KeyRange

SCHEMA_VERSION = 1


class _Checked(BaseModel):
    # Unknown keys are kept out of the way rather than refused: a newer node may write fields
    # that an older one beside it does not know yet. Intents are checked strictly at the rim.
    model_config = ConfigDict(frozen=True, extra="ignore")


class CoveragePreference(Enum):
    """What a request kind gives up first when a shard is slow."""

    FULL_COVERAGE = "full_coverage"
    """Wait for the last shard while the deadline allows."""

    LATENCY_FIRST = "latency_first"
    """Answer within the class's promise, with what is there by then."""


class PriorityClass(_Checked):
    """A priority class: a price and a promise of latency.

    ``price`` weighs the class against others (greater is served sooner);
    ``promise_seconds`` is the latency within which its requests should be answered.
    """

    name: ClassName
    price: float = Field(gt=0, le=1e6)
    promise_seconds: float = Field(gt=0, le=600)


class RequestKind(_Checked):
    """A kind of request that a service serves, with its defaults."""

    name: RequestKindName
    class_name: ClassName
    repeatable: bool = True
    coverage_preference: CoveragePreference = CoveragePreference.FULL_COVERAGE
    deadline_seconds: float = Field(default=2.0, gt=0, le=600)


class Replica(_Checked):
    """A back-end process that serves one shard at ``host:port`` (an IP number)."""

    replica_id: ReplicaId
    zone: ZoneName
    host: str
    port: int = Field(ge=1, le=65535)
    slots: int = Field(default=5, ge=1, le=10_000)
    connection_limit: int = Field(default=70, ge=1, le=100_000)


class Shard(_Checked):
    """A part of a service's keys, from ``start`` to ``end`` (``None``: unbounded)."""

    shard_id: ShardId
    start: str = ""
    end: str | None = None
    replicas: tuple[Replica, ...]

    @property
    def key_range(self) -> KeyRange:
        """The keys that the shard holds."""
        return KeyRange(self.start, self.end)


class Service(_Checked):
    """A sharded back-end service of one deployment."""

    name: ServiceName
    deployment: DeploymentName
    kinds: tuple[RequestKind, ...]
    shards: tuple[Shard, ...]

    def kind(self, name: str) -> RequestKind | None:
        """Return the request kind called ``name``, or ``None``."""
        return next((kind for kind in self.kinds if kind.name == name), None)


class Deployment(_Checked):
    """A group of zones that are close to each other."""

    name: DeploymentName
    zones: tuple[ZoneName, ...]


class Caller(_Checked):
    """A caller, known by the SHA-256 (hexadecimal) of its bearer token, and what it may see."""

    name: CallerName
    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    services: tuple[ServiceName, ...]


class Attachment(_Checked):
    """Assigns a request kind of a service, for one caller or (``None``) for all, to a class."""

    service: ServiceName
    kind: RequestKindName
    class_name: ClassName
    caller: CallerName | None = None


class Configuration(_Checked):
    """One confirmed revision of everything that operators decide."""

    schema_version: int = SCHEMA_VERSION
    revision: Revision = Revision(0)
    confirm_id: str = ""
    deployments: tuple[Deployment, ...] = ()
    classes: tuple[PriorityClass, ...] = ()
    services: tuple[Service, ...] = ()
    callers: tuple[Caller, ...] = ()
    attachments: tuple[Attachment, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``, or ``None``."""
        return next((service for service in self.services if service.name == name), None)

    def priority_class(self, name: str) -> PriorityClass | None:
        """Return the priority class called ``name``, or ``None``."""
        return next((entry for entry in self.classes if entry.name == name), None)

    def caller(self, name: str) -> Caller | None:
        """Return the caller called ``name``, or ``None``."""
        return next((caller for caller in self.callers if caller.name == name), None)

    def class_for(self, service: Service, kind: RequestKind, caller: str) -> ClassName:
        """Return the class of a request: the caller's attachment, else the kind's, else default."""
        chosen = kind.class_name
        for attachment in self.attachments:
            if (attachment.service, attachment.kind) != (service.name, kind.name):
                continue
            if attachment.caller == caller:
                return attachment.class_name
            if attachment.caller is None:
                chosen = attachment.class_name
        return chosen

    @model_validator(mode="after")
    def _check_references(self) -> "Configuration":
        from wingquay.model.configuration_check import reference_errors

        errors = reference_errors(self)
        if errors:
            raise ValueError("; ".join(errors))
        return self
