"""A service of any number of shards, requests for all of it, and answers to its sub-requests."""

import hashlib

from wingquay.model.answer import Row
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
from wingquay.model.failure import Failure
from wingquay.model.identifiers import (
    CallerName,
    ClassName,
    DeploymentName,
    ReplicaId,
    RequestId,
    RequestKindName,
    Revision,
    ServiceName,
    ShardId,
    SnapshotVersion,
    ZoneName,
)
from wingquay.model.key_range import FULL_KEY_RANGE
from wingquay.model.request import QueryRequest
from wingquay.ports.backend import (
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    LoadReport,
    StartAttempt,
)

DEPLOYMENT = DeploymentName("bench")
ZONE = ZoneName("zone-a")
SERVICE = ServiceName("coverage-lookup")
KIND = RequestKindName("tower-sweep")
CALLER = CallerName("bench-caller")
CALLER_TOKEN = "bench-caller-token"
CLASS = ClassName("standard")
SNAPSHOT = SnapshotVersion(102)
PROMISE_SECONDS = 60.0
DEADLINE_SECONDS = 60.0
SLOTS = 10_000
"""So many that nothing waits for a slot: the cost of the work is measured, not its queueing."""

CONNECTION_LIMIT = 70
KEY_DIGITS = 8
KEYS_PER_SHARD = 1_000
REPLICA_PORT = 8000
REPLICAS_PER_ADDRESS_BYTE = 250

Address = tuple[str, int]


def shard_key(shard_index: int, row_index: int = 0) -> str:
    """Return the key of a row of a shard."""
    return f"village-{shard_index * KEYS_PER_SHARD + row_index:0{KEY_DIGITS}}"


def made_up_addresses(count: int) -> list[Address]:
    """Return addresses for replicas that nobody connects to."""
    size = REPLICAS_PER_ADDRESS_BYTE
    return [
        (f"10.{index // size // size}.{index // size % size}.{index % size + 1}", REPLICA_PORT)
        for index in range(count)
    ]


def make_configuration(
    shards: int, replicas_per_shard: int, addresses: list[Address]
) -> Configuration:
    """Return a configuration of one service whose replicas are at ``addresses``, in order."""
    kind = RequestKind(name=KIND, class_name=CLASS, deadline_seconds=DEADLINE_SECONDS)
    service = Service(
        name=SERVICE,
        deployment=DEPLOYMENT,
        kinds=(kind,),
        shards=tuple(
            _shard(index, shards, replicas_per_shard, addresses) for index in range(shards)
        ),
    )
    return Configuration(
        revision=Revision(1),
        confirm_id="bench",
        deployments=(Deployment(name=DEPLOYMENT, zones=(ZONE,)),),
        classes=(PriorityClass(name=CLASS, price=1.0, promise_seconds=PROMISE_SECONDS),),
        services=(service,),
        callers=(
            Caller(
                name=CALLER,
                token_sha256=hashlib.sha256(CALLER_TOKEN.encode()).hexdigest(),
                services=(SERVICE,),
            ),
        ),
    )


def _shard(index: int, shards: int, replicas_per_shard: int, addresses: list[Address]) -> Shard:
    first = index * replicas_per_shard
    replicas = [
        Replica(
            replica_id=ReplicaId(f"{SERVICE}-{index}-{number}"),
            zone=ZONE,
            host=addresses[first + number][0],
            port=addresses[first + number][1],
            slots=SLOTS,
            connection_limit=CONNECTION_LIMIT,
        )
        for number in range(replicas_per_shard)
    ]
    start, end = shard_bounds(index, shards)
    return Shard(
        shard_id=ShardId(f"{SERVICE}-{index}"), start=start, end=end, replicas=tuple(replicas)
    )


def shard_bounds(index: int, shards: int) -> tuple[str, str | None]:
    """Return the first key of a shard and the first beyond it."""
    start = "" if index == 0 else shard_key(index)
    end = None if index == shards - 1 else shard_key(index + 1)
    return start, end


def make_request(number: int) -> QueryRequest:
    """Return a request for all keys of the service."""
    return QueryRequest(
        request_id=RequestId(f"bench-node-1a2b3c4d-{number}"),
        caller=CALLER,
        service=SERVICE,
        kind=KIND,
        key_ranges=(FULL_KEY_RANGE,),
    )


def make_rows(shard_index: int, count: int) -> tuple[Row, ...]:
    """Return the rows that a shard answers."""
    return tuple(
        Row(shard_key(shard_index, number), f"{SERVICE}/tower {number}; link up")
        for number in range(count)
    )


def finished(attempt: StartAttempt, rows: tuple[Row, ...]) -> AttemptFinished:
    """Return the end of an attempt at a replica that holds ``SNAPSHOT`` alone."""
    load = LoadReport(utilization=0.4, oldest_version=SNAPSHOT, newest_version=SNAPSHOT)
    if attempt.snapshot != SNAPSHOT:
        not_held = Failure(BackendFailureKind.NOT_HELD, "another snapshot is held")
        return AttemptFinished(attempt.attempt_id, attempt.replica_id, not_held, load)
    answer = BackendAnswer(SNAPSHOT, attempt.key_ranges, rows)
    return AttemptFinished(attempt.attempt_id, attempt.replica_id, answer, load)
