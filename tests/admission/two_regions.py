"""Test configuration of two regions with four zones each, with nodes, shards and replicas."""

from wingquay.model.configuration import (
    Caller,
    Configuration,
    Deployment,
    PriorityClass,
    Replica,
    RequestKind,
    Service,
    Shard,
)
from wingquay.model.identifiers import (
    CallerName,
    ClassName,
    DeploymentName,
    NodeId,
    ReplicaId,
    RequestKindName,
    Revision,
    ServiceName,
    ShardId,
    ZoneName,
)
from wingquay.ports.peer import NodeIdentity

REGIONS = ("east", "west")
ZONES_IN_EACH_REGION = ("a", "b", "c", "d")
REPLICAS_IN_EACH_SHARD = 2
NODE_PORT = 7000
REPLICA_PORT = 8000
HOSTS_IN_EACH_NET = 250

CLASSES = (("urgent", 100.0, 0.05), ("standard", 10.0, 0.4), ("planning", 1.0, 1.0))
KIND_CLASSES = (("ping", "urgent"), ("sweep", "planning"))
TOKEN_SHA256 = "0" * 64


def zones_of(region: str) -> tuple[ZoneName, ...]:
    """Return the zones of a region."""
    return tuple(ZoneName(f"{region}-{letter}") for letter in ZONES_IN_EACH_REGION)


def all_zones() -> tuple[ZoneName, ...]:
    """Return the zones of all regions."""
    return tuple(zone for region in REGIONS for zone in zones_of(region))


def region_of(zone: str) -> str:
    """Return the region that a zone lies in."""
    return zone.rpartition("-")[0]


def node_identity(index: int, incarnation: int) -> NodeIdentity:
    """Return the identity of node ``index``; nodes are assigned to the zones in turn.

    ``incarnation`` distinguishes successive nodes with the same index.
    """
    zones = all_zones()
    zone_index, number = index % len(zones), index // len(zones)
    zone = zones[zone_index]
    return NodeIdentity(
        node_id=NodeId(f"{zone}-{number:03d}-{incarnation}"),
        deployment=DeploymentName(region_of(zone)),
        zone=zone,
        host=_address(100 + zone_index, number),
        port=NODE_PORT,
    )


def initial_configuration(replicas: int) -> Configuration:
    """Return revision 1: one service in each region, with ``replicas`` split between them."""
    services = tuple(
        _service(index, replicas // len(REGIONS) + (index < replicas % len(REGIONS)))
        for index in range(len(REGIONS))
    )
    return Configuration(
        revision=Revision(1),
        confirm_id="initial",
        deployments=tuple(
            Deployment(name=DeploymentName(region), zones=zones_of(region)) for region in REGIONS
        ),
        classes=tuple(
            PriorityClass(name=ClassName(name), price=price, promise_seconds=promise)
            for name, price, promise in CLASSES
        ),
        services=tuple(service for service in services if service.shards),
        callers=(
            Caller(
                name=CallerName("portal"),
                token_sha256=TOKEN_SHA256,
                services=tuple(service.name for service in services if service.shards),
            ),
        ),
    )


def _service(region_index: int, replicas: int) -> Service:
    region = REGIONS[region_index]
    name = ServiceName(f"lookup-{region}")
    shard_count = -(-replicas // REPLICAS_IN_EACH_SHARD)
    return Service(
        name=name,
        deployment=DeploymentName(region),
        kinds=tuple(
            RequestKind(name=RequestKindName(kind), class_name=ClassName(class_name))
            for kind, class_name in KIND_CLASSES
        ),
        shards=tuple(
            _shard(region_index, name, number, shard_count, replicas)
            for number in range(shard_count)
        ),
    )


def _shard(region_index: int, service: str, number: int, count: int, replicas: int) -> Shard:
    zones = zones_of(REGIONS[region_index])
    first = number * REPLICAS_IN_EACH_SHARD
    indexes = range(first, min(first + REPLICAS_IN_EACH_SHARD, replicas))
    return Shard(
        shard_id=ShardId(f"{service}-{number:04d}"),
        start=f"k{number:06d}" if number else "",
        end=f"k{number + 1:06d}" if number + 1 < count else None,
        replicas=tuple(
            Replica(
                replica_id=ReplicaId(f"{service}-{number:04d}-{index - first}"),
                zone=zones[(number + index) % len(zones)],
                host=_address(1 + region_index, index),
                port=REPLICA_PORT,
            )
            for index in indexes
        ),
    )


def _address(net: int, number: int) -> str:
    return f"10.{net}.{number // HOSTS_IN_EACH_NET}.{1 + number % HOSTS_IN_EACH_NET}"
