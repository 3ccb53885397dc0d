"""Protobuf form of the configuration and claim messages."""

from wingquay.adapters.peer_codec_error import finite, member_of
from wingquay.adapters.proto import peer_pb2
from wingquay.model.identifiers import NodeId, RequestId, Revision, ZoneName
from wingquay.ports.peer import (
    ClaimOutcome,
    ClaimRecord,
    ClaimRequest,
    ClaimTable,
    ClaimTableRequest,
    ClaimVote,
    ConfigurationBody,
    ConfigurationFetch,
    VoteKind,
)

_VOTE_NUMBERS = {
    VoteKind.GRANTED: peer_pb2.VOTE_KIND_GRANTED,
    VoteKind.ALREADY_CLAIMED: peer_pb2.VOTE_KIND_ALREADY_CLAIMED,
    VoteKind.CANNOT_VOUCH: peer_pb2.VOTE_KIND_CANNOT_VOUCH,
}
_VOTE_KINDS = {int(number): kind for kind, number in _VOTE_NUMBERS.items()}


def put_configuration_fetch(
    target: peer_pb2.ConfigurationFetch,
    message: ConfigurationFetch,
) -> None:
    """Write a request for a newer configuration."""
    target.known_revision = message.known_revision


def configuration_fetch_from(
    message: peer_pb2.ConfigurationFetch,
) -> ConfigurationFetch:
    """Read a request for a newer configuration."""
    return ConfigurationFetch(Revision(message.known_revision))


def put_configuration_body(target: peer_pb2.ConfigurationBody, message: ConfigurationBody) -> None:
    """Write a configuration."""
    target.revision = message.revision
    target.body = message.body


def configuration_body_from(message: peer_pb2.ConfigurationBody) -> ConfigurationBody:
    """Read a configuration."""
    return ConfigurationBody(Revision(message.revision), message.body)


def put_claim_request(target: peer_pb2.ClaimRequest, message: ClaimRequest) -> None:
    """Write a claim."""
    target.claim_key = message.claim_key
    target.request_digest = message.request_digest
    target.request_id = message.request_id


def claim_request_from(message: peer_pb2.ClaimRequest) -> ClaimRequest:
    """Read a claim."""
    return ClaimRequest(message.claim_key, message.request_digest, RequestId(message.request_id))


def put_claim_vote(target: peer_pb2.ClaimVote, message: ClaimVote) -> None:
    """Write a vote."""
    target.claim_key = message.claim_key
    target.request_id = message.request_id
    target.vote = _VOTE_NUMBERS[message.vote]
    if message.holder_request_id is not None:
        target.holder_request_id = message.holder_request_id
    target.holder_request_digest = message.holder_request_digest
    if message.outcome is not None:
        target.outcome = message.outcome
    for zone, node_id, epoch in message.seat_epochs:
        target.seat_epochs.add(zone=zone, node_id=node_id, epoch=epoch)


def claim_vote_from(message: peer_pb2.ClaimVote) -> ClaimVote:
    """Read a vote."""
    holder = message.holder_request_id if message.HasField("holder_request_id") else None
    return ClaimVote(
        claim_key=message.claim_key,
        request_id=RequestId(message.request_id),
        vote=member_of(_VOTE_KINDS, message.vote),
        holder_request_id=None if holder is None else RequestId(holder),
        holder_request_digest=message.holder_request_digest,
        outcome=message.outcome if message.HasField("outcome") else None,
        seat_epochs=tuple(
            (ZoneName(entry.zone), NodeId(entry.node_id), entry.epoch)
            for entry in message.seat_epochs
        ),
    )


def put_claim_outcome(target: peer_pb2.ClaimOutcome, message: ClaimOutcome) -> None:
    """Write what came of a claimed request."""
    target.claim_key = message.claim_key
    target.request_id = message.request_id
    if message.outcome is not None:
        target.outcome = message.outcome


def claim_outcome_from(message: peer_pb2.ClaimOutcome) -> ClaimOutcome:
    """Read what came of a claimed request."""
    return ClaimOutcome(
        claim_key=message.claim_key,
        request_id=RequestId(message.request_id),
        outcome=message.outcome if message.HasField("outcome") else None,
    )


def put_claim_table_request(
    target: peer_pb2.ClaimTableRequest,
    message: ClaimTableRequest,
) -> None:
    """Write a request for a partition's claims."""
    target.partition = message.partition
    target.zone = message.zone
    target.epoch = message.epoch


def claim_table_request_from(message: peer_pb2.ClaimTableRequest) -> ClaimTableRequest:
    """Read a request for a partition's claims."""
    return ClaimTableRequest(message.partition, ZoneName(message.zone), message.epoch)


def put_claim_table(target: peer_pb2.ClaimTable, message: ClaimTable) -> None:
    """Write a partition's claims."""
    target.partition = message.partition
    target.complete = message.complete
    target.handover = message.handover
    for record in message.records:
        entry = target.records.add(
            claim_key=record.claim_key,
            request_id=record.request_id,
            request_digest=record.request_digest,
            age_seconds=record.age_seconds,
        )
        if record.outcome is not None:
            entry.outcome = record.outcome


def claim_table_from(message: peer_pb2.ClaimTable) -> ClaimTable:
    """Read a partition's claims."""
    return ClaimTable(
        partition=message.partition,
        complete=message.complete,
        records=tuple(_claim_record_from(record) for record in message.records),
        handover=message.handover,
    )


def _claim_record_from(message: peer_pb2.ClaimRecord) -> ClaimRecord:
    return ClaimRecord(
        claim_key=message.claim_key,
        request_id=RequestId(message.request_id),
        request_digest=message.request_digest,
        outcome=message.outcome if message.HasField("outcome") else None,
        age_seconds=finite(message.age_seconds),
    )
