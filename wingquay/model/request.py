"""Callers' requests, and the sub-requests that they are split into."""

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
    """A caller's request, authenticated and well formed but not yet matched with a service.

    Parameters
    ----------
    deadline_seconds
        Time limit set by the caller, from arrival at the node; ``None``: the kind's default.
    repeatable
        Whether the request may run more than once; ``None``: the kind's default.
    idempotency_key
        The caller's ``Idempotency-Key``; required if the request is not repeatable.
    body
        Text passed to the back ends unchanged.
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
    """The part of a request that is sent to one shard.

    Parameters
    ----------
    snapshot
        Version that all parts of the request must be answered from; ``None`` for an unrepeatable
        request, which reads no snapshot.
    remaining_seconds
        Time left until the request's deadline when the message was created. It is a duration
        because the clocks of machines differ.
    promise_seconds, price
        Promise and price of the request's priority class.
    avoid
        Replicas whose earlier answers omitted these keys; used only if there are no others.
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
