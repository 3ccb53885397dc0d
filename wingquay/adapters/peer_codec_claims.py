"""Protobuf form of the claim messages."""

from collections.abc import Iterable

from google.protobuf.internal.containers import RepeatedCompositeFieldContainer

from ..model.identifiers import RequestId, ZoneName
from ..ports.peer_claims import (
    AssignmentEpoch,
    ClaimAssignmentOffer,
    ClaimOutcome,
    ClaimRecord,
    ClaimRequest,
    ClaimTable,
    ClaimTableRequest,
    ClaimVote,
    VoteKind,
)
from .peer_codec_error import check_finite, member_of
from .proto import peer_pb2

_VOTE_NUMBERS = {
    VoteKind.GRANTED: peer_pb2.VOTE_KIND_GRANTED,
    VoteKind.ALREADY_CLAIMED: peer_pb2.VOTE_KIND_ALREADY_CLAIMED,
    VoteKind.CANNOT_VOTE: peer_pb2.VOTE_KIND_CANNOT_VOTE,
}
_VOTE_KINDS = {int(number): kind for kind, number in _VOTE_NUMBERS.items()}


def _put_assignment_epochs(
    target: RepeatedCompositeFieldContainer[peer_pb2.AssignmentEpoch],
    assignment_epochs: Iterable[AssignmentEpoch],
) -> None:
    for assignment_epoch in assignment_epochs:
        target.add(zone=assignment_epoch.zone, epoch=assignment_epoch.epoch)


def _assignment_epochs_from(
    messages: Iterable[peer_pb2.AssignmentEpoch],
) -> tuple[AssignmentEpoch, ...]:
    return tuple(AssignmentEpoch(ZoneName(message.zone), message.epoch) for message in messages)


def _zones_from(zones: Iterable[str]) -> tuple[ZoneName, ...]:
    return tuple(ZoneName(zone) for zone in zones)


def put_claim_request(target: peer_pb2.ClaimRequest, message: ClaimRequest) -> None:
    """Write a claim."""
    target.claim_key = message.claim_key
    target.request_digest = message.request_digest
    target.request_id = message.request_id
    target.round_number = message.round_number
    target.zones.extend(message.zones)
    _put_assignment_epochs(target.assignment_epochs, message.assignment_epochs)


def claim_request_from(message: peer_pb2.ClaimRequest) -> ClaimRequest:
    """Read a claim."""
    return ClaimRequest(
        claim_key=message.claim_key,
        request_digest=message.request_digest,
        request_id=RequestId(message.request_id),
        round_number=message.round_number,
        zones=_zones_from(message.zones),
        assignment_epochs=_assignment_epochs_from(message.assignment_epochs),
    )


def put_claim_vote(target: peer_pb2.ClaimVote, message: ClaimVote) -> None:
    """Write a vote."""
    target.claim_key = message.claim_key
    target.request_id = message.request_id
    target.round_number = message.round_number
    target.vote = _VOTE_NUMBERS[message.vote]
    target.epoch = message.epoch
    if message.holder_request_id is not None:
        target.holder_request_id = message.holder_request_id
    target.holder_request_digest = message.holder_request_digest
    if message.outcome is not None:
        target.outcome = message.outcome
    _put_assignment_epochs(target.assignment_epochs, message.assignment_epochs)


def claim_vote_from(message: peer_pb2.ClaimVote) -> ClaimVote:
    """Read a vote."""
    holder = message.holder_request_id if message.HasField("holder_request_id") else None
    return ClaimVote(
        claim_key=message.claim_key,
        request_id=RequestId(message.request_id),
        round_number=message.round_number,
        vote=member_of(_VOTE_KINDS, message.vote),
        epoch=message.epoch,
        holder_request_id=None if holder is None else RequestId(holder),
        holder_request_digest=message.holder_request_digest,
        outcome=message.outcome if message.HasField("outcome") else None,
        assignment_epochs=_assignment_epochs_from(message.assignment_epochs),
    )


def put_claim_outcome(target: peer_pb2.ClaimOutcome, message: ClaimOutcome) -> None:
    """Write what came of a claimed request."""
    target.claim_key = message.claim_key
    target.request_digest = message.request_digest
    target.request_id = message.request_id
    target.round_number = message.round_number
    if message.outcome is not None:
        target.outcome = message.outcome


def claim_outcome_from(message: peer_pb2.ClaimOutcome) -> ClaimOutcome:
    """Read what came of a claimed request."""
    return ClaimOutcome(
        claim_key=message.claim_key,
        request_digest=message.request_digest,
        request_id=RequestId(message.request_id),
        round_number=message.round_number,
        outcome=message.outcome if message.HasField("outcome") else None,
    )


def put_claim_assignment_offer(
    target: peer_pb2.ClaimAssignmentOffer, message: ClaimAssignmentOffer
) -> None:
    """Write an offer of assignments."""
    target.offer_id = message.offer_id
    target.partitions.extend(message.partitions)


def claim_assignment_offer_from(message: peer_pb2.ClaimAssignmentOffer) -> ClaimAssignmentOffer:
    """Read an offer of assignments."""
    return ClaimAssignmentOffer(message.offer_id, tuple(message.partitions))


def put_claim_table_request(
    target: peer_pb2.ClaimTableRequest,
    message: ClaimTableRequest,
) -> None:
    """Write a request for a partition's claims."""
    target.partition = message.partition
    target.transfer_id = message.transfer_id
    if message.offer_id is not None:
        target.offer_id = message.offer_id
    target.zones.extend(message.zones)
    _put_assignment_epochs(target.assignment_epochs, message.assignment_epochs)
    target.ended_epoch = message.ended_epoch


def claim_table_request_from(message: peer_pb2.ClaimTableRequest) -> ClaimTableRequest:
    """Read a request for a partition's claims."""
    return ClaimTableRequest(
        partition=message.partition,
        transfer_id=message.transfer_id,
        offer_id=message.offer_id if message.HasField("offer_id") else None,
        zones=_zones_from(message.zones),
        assignment_epochs=_assignment_epochs_from(message.assignment_epochs),
        ended_epoch=message.ended_epoch,
    )


def put_claim_table(target: peer_pb2.ClaimTable, message: ClaimTable) -> None:
    """Write a piece of a partition's claims."""
    target.partition = message.partition
    target.transfer_id = message.transfer_id
    target.complete = message.complete
    target.handed_over = message.handed_over
    target.epoch = message.epoch
    _put_assignment_epochs(target.assignment_epochs, message.assignment_epochs)
    target.confirmed_age_seconds = message.confirmed_age_seconds
    target.table_id = message.table_id
    target.piece = message.piece
    target.pieces = message.pieces
    for record in message.records:
        _put_claim_record(target.records.add(), record)


def _put_claim_record(target: peer_pb2.ClaimRecord, record: ClaimRecord) -> None:
    target.claim_key = record.claim_key
    target.request_id = record.request_id
    target.request_digest = record.request_digest
    target.round_number = record.round_number
    if record.outcome is not None:
        target.outcome = record.outcome
    target.age_seconds = record.age_seconds


def claim_table_from(message: peer_pb2.ClaimTable) -> ClaimTable:
    """Read a piece of a partition's claims."""
    check_finite(message.confirmed_age_seconds)
    return ClaimTable(
        partition=message.partition,
        transfer_id=message.transfer_id,
        complete=message.complete,
        handed_over=message.handed_over,
        epoch=message.epoch,
        assignment_epochs=_assignment_epochs_from(message.assignment_epochs),
        confirmed_age_seconds=message.confirmed_age_seconds,
        table_id=message.table_id,
        records=tuple(_claim_record_from(record) for record in message.records),
        piece=message.piece,
        pieces=message.pieces,
    )


def _claim_record_from(message: peer_pb2.ClaimRecord) -> ClaimRecord:
    check_finite(message.age_seconds)
    return ClaimRecord(
        claim_key=message.claim_key,
        request_id=RequestId(message.request_id),
        request_digest=message.request_digest,
        round_number=message.round_number,
        outcome=message.outcome if message.HasField("outcome") else None,
        age_seconds=message.age_seconds,
    )
