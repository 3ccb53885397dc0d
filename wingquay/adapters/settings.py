"""The settings of one process: what it must know before it can reach the platform.

Settings come from a TOML file and flags. What operators decide (services, classes, callers)
is not here but in the configuration. Source: issue "The whole path", settings.
"""

import ipaddress
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, JsonValue, SecretStr

from ..ports.machine import LogLevel

LARGEST_PORT = 65_535
SHORTEST_CLUSTER_KEY = 32
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP number and a port."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint written as ``10.0.0.1:7400`` or ``[2001:db8::1]:7400``.

    Raises
    ------
    ValueError
        If the host is no IP number or the port is out of range.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError("no port")
    if not 1 <= int(port) <= LARGEST_PORT:
        raise ValueError("port out of range")
    bare_host = host.removeprefix("[").removesuffix("]")
    return Endpoint(str(ipaddress.ip_address(bare_host)), int(port))


def _check_host(host: str) -> str:
    return str(ipaddress.ip_address(host))


def _check_reachable_host(host: str) -> str:
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError("peers cannot reach an unspecified address")
    return _check_host(host)


def _check_endpoint(text: str) -> str:
    parse_endpoint(text)
    return text


HOST_ALLOWED = "an IP number such as 10.0.0.1"
REACHABLE_HOST_ALLOWED = "the IP number that peers reach this node at; not 0.0.0.0 or ::"
ENDPOINT_ALLOWED = "an IP number and a port such as 10.0.0.1:7400"

Host = Annotated[str, AfterValidator(_check_host)]
ReachableHost = Annotated[str, AfterValidator(_check_reachable_host)]
EndpointText = Annotated[str, AfterValidator(_check_endpoint)]
ListenPort = Annotated[int, Field(ge=0, le=LARGEST_PORT)]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]

_HOST_EXTRA: dict[str, JsonValue] = {"allowed": HOST_ALLOWED}
_ENDPOINT_EXTRA: dict[str, JsonValue] = {"allowed": ENDPOINT_ALLOWED}
_NAME_EXTRA: dict[str, JsonValue] = {"allowed": "1 to 63 lower-case letters, digits and hyphens"}
_TOKEN_EXTRA: dict[str, JsonValue] = {"allowed": "64 lower-case hexadecimal digits"}


class Section(BaseModel):
    """Base of every section: strict types, no unknown keys, immutable."""

    model_config = ConfigDict(strict=True, extra="forbid", frozen=True)


class LogThreshold(Enum):
    """Least severity that is logged."""

    DEBUG = LogLevel.DEBUG
    INFO = LogLevel.INFO
    WARNING = LogLevel.WARNING
    ERROR = LogLevel.ERROR


class NodeSection(Section):
    """Who this process is and where it runs."""

    name: Name = Field(
        description="Name of the machine. Each start adds a random suffix to make the node id.",
        examples=["node-1"],
        json_schema_extra=_NAME_EXTRA,
    )
    deployment: Name = Field(
        description="Deployment that the node serves.",
        examples=["ro-nord"],
        json_schema_extra=_NAME_EXTRA,
    )
    zone: Name = Field(
        description="Zone that the machine stands in.",
        examples=["cluj-a"],
        json_schema_extra=_NAME_EXTRA,
    )


class CallerSection(Section):
    """Where callers are served, and how much one of them may hold."""

    host: Host = Field(
        description="Address to listen on.",
        examples=["10.0.0.1"],
        json_schema_extra=_HOST_EXTRA,
    )
    port: ListenPort = Field(
        description="Port to listen on; 0 lets the system choose.", default=7400
    )
    connection_limit: int = Field(
        default=2_000,
        ge=1,
        le=100_000,
        description="Most connections open at a time; further ones are closed at once.",
    )
    max_body_bytes: int = Field(
        default=1_048_576,
        ge=1_024,
        le=67_108_864,
        description="Largest request body; a larger one is answered with 413.",
    )
    max_header_bytes: int = Field(
        default=16_384,
        ge=1_024,
        le=1_048_576,
        description="Largest request line and headers; larger ones are answered with 431.",
    )
    read_timeout_seconds: float = Field(
        default=10.0,
        ge=0.05,
        le=600,
        description="Longest time for a request to arrive whole once it has begun.",
    )
    idle_timeout_seconds: float = Field(
        default=60.0,
        ge=0.05,
        le=3_600,
        description="Longest time a connection is kept between two requests.",
    )


class OperatorEntry(Section):
    """One operator who may use the operator interface."""

    name: Name = Field(
        description="Name of the operator, as plans record it.",
        examples=["alice"],
        json_schema_extra=_NAME_EXTRA,
    )
    token_sha256: str = Field(
        pattern=r"^[0-9a-f]{64}$",
        description="SHA-256 of the operator's bearer token.",
        examples=["0" * 64],
        json_schema_extra=_TOKEN_EXTRA,
    )


class OperatorSection(Section):
    """Where operators are served; liveness, readiness and metrics pages are here as well."""

    host: Host = Field(
        description="Address to listen on.",
        examples=["10.0.0.1"],
        json_schema_extra=_HOST_EXTRA,
    )
    port: ListenPort = Field(
        description="Port to listen on; 0 lets the system choose.", default=7401
    )
    operators: tuple[OperatorEntry, ...] = Field(
        default=(),
        description="Operators who may state intents and confirm plans.",
    )


class PeerSection(Section):
    """How nodes reach each other."""

    host: ReachableHost = Field(
        description="Address that peers reach this node at (TCP and UDP).",
        examples=["10.0.0.1"],
        json_schema_extra={"allowed": REACHABLE_HOST_ALLOWED},
    )
    port: ListenPort = Field(description="Port for peers; 0 lets the system choose.", default=7402)
    cluster_key: SecretStr = Field(
        min_length=SHORTEST_CLUSTER_KEY,
        description="Secret that all nodes share; a node without it cannot join.",
        examples=["replace-this-with-32-or-more-random-characters"],
        json_schema_extra={"allowed": f"text of at least {SHORTEST_CLUSTER_KEY} characters"},
    )
    seeds: tuple[EndpointText, ...] = Field(
        default=(),
        description="Peer addresses asked for the membership at start; may name this node too.",
        json_schema_extra=_ENDPOINT_EXTRA,
    )


class StoreSection(Section):
    """The platform's key-value service."""

    endpoints: tuple[EndpointText, ...] = Field(
        min_length=1,
        description="Addresses of the service, tried in turn.",
        examples=[["10.0.1.1:2379"]],
        json_schema_extra={"allowed": f"a list of at least one: {ENDPOINT_ALLOWED}"},
    )


class MachineDirectorySection(Section):
    """The platform's list of live and leaving machines."""

    endpoints: tuple[EndpointText, ...] = Field(
        default=(),
        description="Addresses of the list; none: membership relies on seeds and gossip alone.",
        json_schema_extra=_ENDPOINT_EXTRA,
    )


class LogSection(Section):
    """Logging to the standard error stream."""

    level: LogThreshold = Field(
        default=LogThreshold.INFO,
        description="Least severity that is written.",
    )


class Settings(Section):
    """All settings of one process."""

    node: NodeSection
    caller_interface: CallerSection
    operator_interface: OperatorSection
    peers: PeerSection
    store: StoreSection
    machine_directory: MachineDirectorySection = MachineDirectorySection()
    log: LogSection = LogSection()
