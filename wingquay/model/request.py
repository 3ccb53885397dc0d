"""What callers ask, and the pieces it is split into."""

from dataclasses import dataclass

from .configuration import CoveragePreference
from .identifiers import (
    CallerName,
    ClassName,
    ReplicaId,
    RequestId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
    SubRequestId,
)
from .key_range import KeyRange
from .value import value


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """One caller request, authenticated and well formed but not yet checked against services.

    Parameters
    ----------
    deadline_seconds
        Time the caller grants from arrival at the node; ``None``: the kind's default.
    repeatable
        Whether the request may run more than once; ``None``: the kind's default.
    idempotency_key
        The caller's ``Idempotency-Key``; required when the request is not repeatable.
    body
        Text handed to the back ends as it came.
    """

    request_id: RequestId
    caller: CallerName
    service: ServiceName
    kind: RequestKindName
    key_ranges: tuple[KeyRange, ...]
    deadline_seconds: float | None = None
    repeatable: bool | None = None
    coverage_preference: CoveragePreference | None = None
    idempotency_key: str | None = None
    body: str = ""
    traceparent: str | None = None


@value
class SubRequest:
    """The part of a request that one shard answers.

    Parameters
    ----------
    snapshot
        The version that every piece of the request must be answered from; ``None`` for an
        unrepeatable request, which writes and reads no snapshot.
    remaining_seconds
        Time left until the request's deadline when the message was made. Durations rather than
        instants cross the network, since clocks of machines differ.
    promise_seconds, price
        Of the request's priority class.
    avoid
        Replicas that left these keys out before; asked only if there are no others.
    """

    sub_request_id: SubRequestId
    request_id: RequestId
    service: ServiceName
    kind: RequestKindName
    shard_id: ShardId
    key_ranges: tuple[KeyRange, ...]
    snapshot: SnapshotVersion | None
    remaining_seconds: float
    class_name: ClassName
    price: float
    promise_seconds: float
    repeatable: bool
    body: str = ""
    traceparent: str | None = None
    avoid: tuple[ReplicaId, ...] = ()
