"""Encode and decode what nodes tell and ask each other about limits (``proto/peer.proto``)."""

from ..model.failure import Failure
from ..ports.limit_messages import (
    LimitAcknowledgement,
    LimitOwnersReply,
    LimitOwnersRequest,
    LimitRecord,
    LimitReply,
    LimitReport,
    LimitRequest,
    LimitVerdict,
)
from ..ports.peer_link import PeerMessage
from .peer_codec_error import PeerCodecFailureKind
from .proto import peer_pb2

_VERDICT_NUMBERS = {
    LimitVerdict.GRANTED: peer_pb2.LIMIT_VERDICT_GRANTED,
    LimitVerdict.EXCEEDED: peer_pb2.LIMIT_VERDICT_OVER,
    LimitVerdict.OTHER_OWNER: peer_pb2.LIMIT_VERDICT_ELSEWHERE,
    LimitVerdict.NOT_OWNER: peer_pb2.LIMIT_VERDICT_NOT_MINE,
}
_VERDICTS = {number: verdict for verdict, number in _VERDICT_NUMBERS.items()}


def put_limit_message(envelope: peer_pb2.Envelope, message: PeerMessage) -> bool:
    """Write a message about limits; return whether it is one."""
    match message:
        case LimitReport():
            _put_tell(envelope.limit_tell, message)
        case LimitAcknowledgement():
            told = envelope.limit_acknowledgement
            told.SetInParent()
            told.sequence = message.sequence
            told.asks_first = message.requires_permit
            told.hot.extend(message.hot)
            told.hot_seconds.extend(message.hot_seconds)
        case LimitRequest():
            envelope.limit_ask.ask_id = message.ask_id
            envelope.limit_ask.tenant = message.tenant
        case LimitReply():
            _put_answer(envelope.limit_answer, message)
        case LimitOwnersRequest():
            _put_request(envelope.limit_owners.request, message)
        case LimitOwnersReply():
            _put_reply(envelope.limit_owners.reply, message)
        case _:
            return False
    return True


def limit_message_from(
    envelope: peer_pb2.Envelope,
) -> PeerMessage | Failure[PeerCodecFailureKind]:
    """Return the message about limits that an envelope holds."""
    match envelope.WhichOneof("message"):
        case "limit_tell":
            return _tell_from(envelope.limit_tell)
        case "limit_acknowledgement":
            return _acknowledgement_from(envelope.limit_acknowledgement)
        case "limit_ask":
            return LimitRequest(envelope.limit_ask.ask_id, envelope.limit_ask.tenant)
        case "limit_answer":
            return _answer_from(envelope.limit_answer)
        case "limit_owners":
            return _owners_from(envelope.limit_owners)
        case _:
            return Failure(PeerCodecFailureKind.UNKNOWN_MESSAGE, "no message of a known kind")


def _put_tell(target: peer_pb2.LimitTell, message: LimitReport) -> None:
    target.sequence = message.sequence
    target.tenants.extend(message.tenants)
    target.counts.extend(message.counts)
    if any(message.charged):
        target.charged.extend(message.charged)


def _tell_from(message: peer_pb2.LimitTell) -> LimitReport | Failure[PeerCodecFailureKind]:
    tenants = tuple(message.tenants)
    charged = tuple(message.charged) or (0,) * len(tenants)
    if not len(tenants) == len(message.counts) == len(charged):
        return _uneven("tenants", len(tenants), len(message.counts), len(charged))
    return LimitReport(message.sequence, tenants, tuple(message.counts), charged)


def _acknowledgement_from(
    message: peer_pb2.LimitAcknowledgement,
) -> LimitAcknowledgement | Failure[PeerCodecFailureKind]:
    if len(message.hot) != len(message.hot_seconds):
        return _uneven("hot tenants", len(message.hot), len(message.hot_seconds))
    return LimitAcknowledgement(
        message.sequence, message.asks_first, tuple(message.hot), tuple(message.hot_seconds)
    )


def _put_answer(target: peer_pb2.LimitAnswer, message: LimitReply) -> None:
    target.ask_id = message.ask_id
    target.verdict = _VERDICT_NUMBERS[message.verdict]
    target.retry_after_seconds = message.retry_after_seconds
    target.asks_first = message.requires_permit
    target.hot_seconds = message.hot_seconds


def _answer_from(message: peer_pb2.LimitAnswer) -> LimitReply | Failure[PeerCodecFailureKind]:
    verdict = _VERDICTS.get(message.verdict)
    if verdict is None:
        return Failure(PeerCodecFailureKind.MALFORMED, f"verdict {message.verdict}")
    return LimitReply(
        message.ask_id,
        verdict,
        message.retry_after_seconds,
        message.asks_first,
        message.hot_seconds,
    )


def _put_request(target: peer_pb2.LimitOwnersRequest, message: LimitOwnersRequest) -> None:
    target.request_id = message.request_id
    target.owners = message.owners
    target.wants_records = message.wants_records
    target.wants_loans.extend(message.wants_loans)
    target.wanted.extend(message.wanted)


def _put_reply(target: peer_pb2.LimitOwnersReply, message: LimitOwnersReply) -> None:
    target.request_id = message.request_id
    target.lent.extend(message.lent)
    target.loans.extend(message.loans)
    target.is_same_view = message.is_same_view
    target.knows_window = message.knows_window
    target.unknown.extend(message.unknown)
    for record in message.records:
        target.records.add(
            tenant=record.tenant, ages_seconds=record.ages_seconds, counts=record.counts
        )


def _owners_from(
    message: peer_pb2.LimitOwners,
) -> LimitOwnersRequest | LimitOwnersReply | Failure[PeerCodecFailureKind]:
    match message.WhichOneof("kind"):
        case "request":
            request = message.request
            if len(request.wants_loans) != len(request.wanted):
                return _uneven("loans", len(request.wants_loans), len(request.wanted))
            return LimitOwnersRequest(
                request.request_id,
                request.owners,
                request.wants_records,
                tuple(request.wants_loans),
                tuple(request.wanted),
            )
        case "reply":
            return _reply_from(message.reply)
        case _:
            return Failure(PeerCodecFailureKind.UNKNOWN_MESSAGE, "no message of a known kind")


def _reply_from(
    message: peer_pb2.LimitOwnersReply,
) -> LimitOwnersReply | Failure[PeerCodecFailureKind]:
    if len(message.lent) != len(message.loans):
        return _uneven("loans", len(message.lent), len(message.loans))
    records = []
    for record in message.records:
        if len(record.ages_seconds) != len(record.counts):
            return _uneven("ages", len(record.ages_seconds), len(record.counts))
        ages = tuple(record.ages_seconds)
        records.append(LimitRecord(record.tenant, ages, tuple(record.counts)))
    return LimitOwnersReply(
        message.request_id,
        tuple(message.lent),
        tuple(message.loans),
        message.is_same_view,
        message.knows_window,
        tuple(message.unknown),
        tuple(records),
    )


def _uneven(what: str, *lengths: int) -> Failure[PeerCodecFailureKind]:
    return Failure(PeerCodecFailureKind.MALFORMED, f"{what} and their figures: {lengths}")
