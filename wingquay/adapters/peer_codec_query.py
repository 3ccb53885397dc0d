"""Protobuf form of sub-requests and their results."""

from collections.abc import Sequence

from ..model.answer import (
    HeldVersions,
    Row,
    SubAnswer,
    SubFailureKind,
    SubResult,
)
from ..model.failure import Failure
from ..model.identifiers import (
    ClassName,
    ReplicaId,
    RequestId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
    SubRequestId,
)
from ..model.key_range import KeyRange
from ..model.request import SubRequest
from ..ports.peer import CancelSubRequests, SubRequestBatch, SubResultBatch
from .peer_codec_error import MalformedError, check_finite, member_of
from .proto import peer_pb2

_FAILURE_NUMBERS = {
    SubFailureKind.REFUSED: peer_pb2.SUB_FAILURE_KIND_REFUSED,
    SubFailureKind.NO_REPLICA: peer_pb2.SUB_FAILURE_KIND_NO_REPLICA,
    SubFailureKind.NOT_HELD: peer_pb2.SUB_FAILURE_KIND_NOT_HELD,
    SubFailureKind.DEADLINE: peer_pb2.SUB_FAILURE_KIND_DEADLINE,
    SubFailureKind.BACKEND_ERROR: peer_pb2.SUB_FAILURE_KIND_BACKEND_ERROR,
    SubFailureKind.OWNER_LEAVING: peer_pb2.SUB_FAILURE_KIND_OWNER_LEAVING,
    SubFailureKind.NOT_OWNED: peer_pb2.SUB_FAILURE_KIND_NOT_OWNED,
}
_FAILURE_KINDS = {int(number): kind for kind, number in _FAILURE_NUMBERS.items()}


def _put_key_ranges(target: peer_pb2.KeyRanges, key_ranges: Sequence[KeyRange]) -> None:
    target.starts.extend([key_range.start for key_range in key_ranges])
    target.ends.extend([key_range.end or "" for key_range in key_ranges])
    unbounded = [index for index, key_range in enumerate(key_ranges) if key_range.end is None]
    if unbounded:
        target.unbounded.extend(unbounded)


def _key_ranges_from(message: peer_pb2.KeyRanges) -> tuple[KeyRange, ...]:
    # Slices of repeated fields are made at once; iterating over one costs a call an element.
    starts = message.starts[:]
    ends: list[str | None] = [*message.ends[:]]
    if len(starts) != len(ends):
        raise MalformedError("key ranges have not as many starts as ends")
    for index in message.unbounded[:]:
        if index >= len(ends):
            raise MalformedError("an unbounded key range is not there")
        ends[index] = None
    return tuple(map(KeyRange, starts, ends))


def put_sub_request_batch(target: peer_pb2.SubRequestBatch, message: SubRequestBatch) -> None:
    """Write a batch of sub-requests."""
    for sub_request in message.sub_requests:
        _put_sub_request(target.sub_requests.add(), sub_request)


def sub_request_batch_from(message: peer_pb2.SubRequestBatch) -> SubRequestBatch:
    """Read a batch of sub-requests."""
    return SubRequestBatch(tuple([_sub_request_from(entry) for entry in message.sub_requests[:]]))


def _put_sub_request(target: peer_pb2.SubRequest, sub_request: SubRequest) -> None:
    target.sub_request_id = sub_request.sub_request_id
    target.request_id = sub_request.request_id
    target.service = sub_request.service
    target.kind = sub_request.kind
    target.shard_id = sub_request.shard_id
    _put_key_ranges(target.key_ranges, sub_request.key_ranges)
    if sub_request.snapshot is not None:
        target.snapshot = sub_request.snapshot
    target.remaining_seconds = sub_request.remaining_seconds
    target.class_name = sub_request.class_name
    target.price = sub_request.price
    target.promise_seconds = sub_request.promise_seconds
    target.repeatable = sub_request.repeatable
    target.body = sub_request.body
    if sub_request.traceparent is not None:
        target.traceparent = sub_request.traceparent
    if sub_request.avoid:
        target.avoid.extend(sub_request.avoid)


def _sub_request_from(message: peer_pb2.SubRequest) -> SubRequest:
    check_finite(message.remaining_seconds, message.price, message.promise_seconds)
    return SubRequest(
        sub_request_id=SubRequestId(message.sub_request_id),
        request_id=RequestId(message.request_id),
        service=ServiceName(message.service),
        kind=RequestKindName(message.kind),
        shard_id=ShardId(message.shard_id),
        key_ranges=_key_ranges_from(message.key_ranges),
        snapshot=SnapshotVersion(message.snapshot) if message.HasField("snapshot") else None,
        remaining_seconds=message.remaining_seconds,
        class_name=ClassName(message.class_name),
        price=message.price,
        promise_seconds=message.promise_seconds,
        repeatable=message.repeatable,
        body=message.body,
        traceparent=message.traceparent if message.HasField("traceparent") else None,
        avoid=tuple(map(ReplicaId, message.avoid)),
    )


def put_sub_result_batch(target: peer_pb2.SubResultBatch, message: SubResultBatch) -> None:
    """Write a batch of results."""
    for result in message.results:
        _put_sub_result(target.results.add(), result)


def sub_result_batch_from(message: peer_pb2.SubResultBatch) -> SubResultBatch:
    """Read a batch of results."""
    return SubResultBatch(tuple([_sub_result_from(entry) for entry in message.results[:]]))


def _put_sub_result(target: peer_pb2.SubResult, result: SubResult) -> None:
    target.sub_request_id = result.sub_request_id
    target.shard_id = result.shard_id
    if isinstance(result.result, Failure):
        target.failure.kind = _FAILURE_NUMBERS[result.result.kind]
        target.failure.reason = result.result.reason
    else:
        _put_sub_answer(target.answer, result.result)
    target.may_have_run = result.may_have_run
    target.attempts = result.attempts
    target.queue_seconds = result.queue_seconds
    target.service_seconds = result.service_seconds
    target.replica_id = result.replica_id
    target.class_delay_seconds = result.class_delay_seconds
    for held in result.held:
        target.held.add(replica_id=held.replica_id, oldest=held.oldest, newest=held.newest)


def _put_sub_answer(target: peer_pb2.SubAnswer, answer: SubAnswer) -> None:
    target.SetInParent()
    if answer.snapshot is not None:
        target.snapshot = answer.snapshot
    _put_key_ranges(target.covered, answer.covered)
    target.row_keys.extend([row.key for row in answer.rows])
    target.row_values.extend([row.value for row in answer.rows])


def _sub_result_from(message: peer_pb2.SubResult) -> SubResult:
    check_finite(message.queue_seconds, message.service_seconds, message.class_delay_seconds)
    return SubResult(
        sub_request_id=SubRequestId(message.sub_request_id),
        shard_id=ShardId(message.shard_id),
        result=_outcome_from(message),
        may_have_run=message.may_have_run,
        attempts=message.attempts,
        queue_seconds=message.queue_seconds,
        service_seconds=message.service_seconds,
        held=tuple([_held_from(held) for held in message.held[:]]),
        replica_id=message.replica_id,
        class_delay_seconds=message.class_delay_seconds,
    )


def _held_from(message: peer_pb2.HeldVersions) -> HeldVersions:
    return HeldVersions(
        ReplicaId(message.replica_id),
        SnapshotVersion(message.oldest),
        SnapshotVersion(message.newest),
    )


def _outcome_from(message: peer_pb2.SubResult) -> SubAnswer | Failure[SubFailureKind]:
    which = message.WhichOneof("result")
    if which == "failure":
        failure = message.failure
        return Failure(member_of(_FAILURE_KINDS, failure.kind), failure.reason)
    if which == "answer":
        return _sub_answer_from(message.answer)
    raise MalformedError("a sub-result has neither answer nor failure")


def _sub_answer_from(message: peer_pb2.SubAnswer) -> SubAnswer:
    row_keys, row_values = message.row_keys[:], message.row_values[:]
    if len(row_keys) != len(row_values):
        raise MalformedError("rows have not as many keys as values")
    return SubAnswer(
        snapshot=SnapshotVersion(message.snapshot) if message.HasField("snapshot") else None,
        covered=_key_ranges_from(message.covered),
        rows=tuple(map(Row, row_keys, row_values)),
    )


def put_cancel_sub_requests(
    target: peer_pb2.CancelSubRequests,
    message: CancelSubRequests,
) -> None:
    """Write a cancellation."""
    target.SetInParent()
    target.sub_request_ids.extend(message.sub_request_ids)


def cancel_sub_requests_from(message: peer_pb2.CancelSubRequests) -> CancelSubRequests:
    """Read a cancellation."""
    return CancelSubRequests(tuple([SubRequestId(entry) for entry in message.sub_request_ids[:]]))
