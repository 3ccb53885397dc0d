"""Encode and decode the messages between forwarding nodes (protobuf, ``proto/peer.proto``)."""

import zlib

from google.protobuf.message import DecodeError

from ..model.failure import Failure
from ..ports.crash_messages import CrashReport, ReportedCrash
from ..ports.delegation import (
    AllowAttempts,
    CancelDelegation,
    DelegatedAnswer,
    DelegatedRequest,
    PrewarmMessage,
)
from ..ports.forwarding import OpaqueRequest
from ..ports.peer_link import NodeIdentity, PeerMessage
from ..ports.proof_messages import ProofReply, ProofRequest
from ..ports.reach_news import ReachabilityReport
from ..ports.store import StoredValue
from ..ports.store_update import StoreUpdate
from .peer_codec_error import PeerCodecFailureKind
from .peer_codec_identity import identity_from_bytes, identity_to_bytes
from .proto import peer_pb2

COMPRESSED_FROM_BYTES = 4_096
"""Size of news from which on they are compressed. Each node that has read the store tells about ten
others over a link of some 20 to 40 Mbit/s: a configuration of 2,000 routes (350 kB), or the entries
of 400 new replicas (120 kB), kept it busy for half a second and more."""
COMPRESSION_LEVEL = 1
"""Fastest: documents of like entries shrink to a tenth and less all the same."""
GREATEST_NEWS_BYTES = 8 * 1024 * 1024
"""Largest news that are taken from another node, eight times what an answer of the store holds."""


def encode(message: PeerMessage, sender: NodeIdentity) -> bytes:
    """Return ``message`` from ``sender`` as bytes.

    Raises
    ------
    ValueError
        If the message has no wire form.
    """
    envelope = peer_pb2.Envelope(sender=identity_to_bytes(sender))
    match message:
        case DelegatedRequest():
            _put_request(envelope.delegated_request, message)
        case DelegatedAnswer():
            _put_answer(envelope.delegated_answer, message)
        case AllowAttempts():
            envelope.allow_attempts.delegation_id = message.delegation_id
            envelope.allow_attempts.max_attempts = message.max_attempts
        case CancelDelegation():
            envelope.cancel_delegation.delegation_id = message.delegation_id
        case StoreUpdate():
            _put_news(envelope, message)
        case CrashReport():
            _put_crash_news(envelope.crash_news, message)
        case PrewarmMessage():
            envelope.greeting.SetInParent()
        case _:
            _put_knowledge(envelope, message)
    return envelope.SerializeToString()


def _put_knowledge(envelope: peer_pb2.Envelope, message: PeerMessage) -> None:
    match message:
        case ProofRequest():
            envelope.ask_proof.number = message.number
            envelope.ask_proof.SetInParent()
        case ProofReply():
            _put_proof(envelope.proof_given, message)
        case ReachabilityReport():
            _put_reach_news(envelope.reach_news, message)
        case _:
            _put_limit_message(envelope, message)


def decode(
    data: bytes,
) -> tuple[NodeIdentity, PeerMessage] | Failure[PeerCodecFailureKind]:
    """Return the sender and the message that ``data`` holds; never raises."""
    try:
        envelope = peer_pb2.Envelope.FromString(data)
        sender = identity_from_bytes(envelope.sender)
    except (DecodeError, ValueError) as error:
        return Failure(PeerCodecFailureKind.MALFORMED, str(error))
    message = _message_from(envelope)
    return message if isinstance(message, Failure) else (sender, message)


def _message_from(
    envelope: peer_pb2.Envelope,
) -> PeerMessage | Failure[PeerCodecFailureKind]:
    match envelope.WhichOneof("message"):
        case "store_news":
            return _news_from(envelope.store_news)
        case "packed_store_news":
            return _unpacked(envelope.packed_store_news)
        case "crash_news":
            return _crash_news_from(envelope.crash_news)
        case "ask_proof":
            return ProofRequest(envelope.ask_proof.number)
        case "proof_given":
            given = envelope.proof_given
            return ProofReply(given.number, given.held_seconds, given.store_revision)
        case "reach_news":
            return _reach_news_from(envelope.reach_news)
        case "greeting":
            return PrewarmMessage()
        case _:
            return _delegation_from(envelope)


def _delegation_from(
    envelope: peer_pb2.Envelope,
) -> PeerMessage | Failure[PeerCodecFailureKind]:
    match envelope.WhichOneof("message"):
        case "delegated_request":
            return _request_from(envelope.delegated_request)
        case "delegated_answer":
            return _answer_from(envelope.delegated_answer)
        case "allow_attempts":
            allowed = envelope.allow_attempts
            return AllowAttempts(allowed.delegation_id, allowed.max_attempts)
        case "cancel_delegation":
            return CancelDelegation(envelope.cancel_delegation.delegation_id)
        case "limit_tell" | "limit_acknowledgement" | "limit_ask" | "limit_answer" | "limit_owners":
            from .limit_codec import limit_message_from

            return limit_message_from(envelope)
        case _:
            return Failure(PeerCodecFailureKind.UNKNOWN_MESSAGE, "no message of a known kind")


def _put_limit_message(envelope: peer_pb2.Envelope, message: PeerMessage) -> None:
    """Write a message about limits, whose codec is loaded only where tenants have some."""
    from .limit_codec import put_limit_message

    if not put_limit_message(envelope, message):
        raise ValueError(f"{type(message).__name__} is not a message of forwarding nodes")


def _put_request(target: peer_pb2.DelegatedRequest, message: DelegatedRequest) -> None:
    request = message.request
    target.delegation_id = message.delegation_id
    target.request_id = message.request_id
    target.method = request.method
    target.target = request.target
    for name, text in request.headers:
        target.headers.add(name=name, value=text)
    target.body = request.body
    target.route_name = message.route_name
    target.shards.extend(message.shards)
    target.merged_records = message.merged_records
    target.priority = message.priority
    target.objective_seconds = message.objective_seconds
    target.in_time_seconds = message.cutoff_seconds
    target.remaining_seconds = message.remaining_seconds
    target.is_group_share = message.is_group_share
    target.tenant = message.tenant


def _request_from(message: peer_pb2.DelegatedRequest) -> DelegatedRequest:
    headers = tuple((header.name, header.value) for header in message.headers)
    return DelegatedRequest(
        message.delegation_id,
        message.request_id,
        OpaqueRequest(message.method, message.target, headers, message.body),
        message.route_name,
        tuple(message.shards),
        message.merged_records,
        message.priority,
        message.objective_seconds,
        message.in_time_seconds,
        message.remaining_seconds,
        message.is_group_share,
        message.tenant,
    )


def _put_answer(target: peer_pb2.DelegatedAnswer, message: DelegatedAnswer) -> None:
    target.SetInParent()
    target.delegation_id = message.delegation_id
    target.shards.extend(message.shards)
    target.signatures.extend(message.signatures)
    target.body = message.body
    target.is_rejected = message.is_rejected
    target.declined.extend(message.declined)
    target.given_back.extend(message.given_back)
    target.arrivals.extend(message.arrivals)
    target.held_seconds = message.held_seconds
    target.exhausted.extend(message.exhausted)


def _answer_from(
    message: peer_pb2.DelegatedAnswer,
) -> DelegatedAnswer | Failure[PeerCodecFailureKind]:
    shards = tuple(message.shards)
    signatures = tuple(message.signatures)
    if len(shards) != len(signatures):
        reason = f"{len(shards)} shards and {len(signatures)} signatures"
        return Failure(PeerCodecFailureKind.MALFORMED, reason)
    if len(message.given_back) != len(message.arrivals):
        reason = f"{len(message.given_back)} given back and {len(message.arrivals)} arrivals"
        return Failure(PeerCodecFailureKind.MALFORMED, reason)
    return DelegatedAnswer(
        message.delegation_id,
        shards,
        signatures,
        message.body,
        message.is_rejected,
        tuple(message.declined),
        tuple(message.given_back),
        tuple(message.arrivals),
        message.held_seconds,
        tuple(message.exhausted),
    )


def _put_crash_news(target: peer_pb2.CrashNews, message: CrashReport) -> None:
    target.identity = message.identity
    target.held_seconds = message.held_seconds
    target.is_cleared = message.is_cleared
    for end in message.crashes:
        target.ends.add(
            replica_id=end.incarnation,
            node_id=end.node_id,
            sent_seconds=end.sent_seconds,
            ended_seconds=end.ended_seconds,
        )


def _put_proof(target: peer_pb2.ProofGiven, message: ProofReply) -> None:
    target.SetInParent()
    target.number = message.number
    target.held_seconds = message.held_seconds
    target.store_revision = message.store_revision


def _crash_news_from(message: peer_pb2.CrashNews) -> CrashReport:
    ends = tuple(
        ReportedCrash(end.replica_id, end.node_id, end.sent_seconds, end.ended_seconds)
        for end in message.ends
    )
    return CrashReport(message.identity, ends, message.held_seconds, message.is_cleared)


def _put_reach_news(target: peer_pb2.ReachNews, message: ReachabilityReport) -> None:
    target.SetInParent()
    target.out_zones.extend(message.unreachable_zones)
    target.in_zones.extend(message.reachable_zones)
    target.is_question = message.wants_reply


def _reach_news_from(message: peer_pb2.ReachNews) -> ReachabilityReport:
    return ReachabilityReport(
        tuple(message.out_zones), tuple(message.in_zones), message.is_question
    )


def _put_news(envelope: peer_pb2.Envelope, message: StoreUpdate) -> None:
    news = peer_pb2.StoreNews(
        from_revision=message.from_revision,
        store_revision=message.store_revision,
        deleted=message.deleted,
        may_have_more=message.may_have_more,
        is_listing=message.is_listing,
    )
    for item in message.changed:
        news.changed.add(
            key=item.key,
            value=item.value,
            modified_at=item.modified_at,
            lease_id=item.lease_id,
            created_at=item.created_at,
        )
    if news.ByteSize() < COMPRESSED_FROM_BYTES:
        envelope.store_news.CopyFrom(news)
        envelope.store_news.SetInParent()
        return
    plain = news.SerializeToString()
    envelope.packed_store_news.packed = zlib.compress(plain, COMPRESSION_LEVEL)
    envelope.packed_store_news.plain_bytes = len(plain)


def _news_from(message: peer_pb2.StoreNews) -> StoreUpdate:
    changed = tuple(
        StoredValue(item.key, item.value, item.modified_at, item.lease_id, item.created_at)
        for item in message.changed
    )
    return StoreUpdate(
        message.from_revision,
        message.store_revision,
        changed,
        tuple(message.deleted),
        message.may_have_more,
        message.is_listing,
    )


def _unpacked(
    message: peer_pb2.PackedStoreNews,
) -> StoreUpdate | Failure[PeerCodecFailureKind]:
    size = message.plain_bytes
    if size > GREATEST_NEWS_BYTES:
        reason = f"news of {size} bytes; allowed: up to {GREATEST_NEWS_BYTES}"
        return Failure(PeerCodecFailureKind.MALFORMED, reason)
    try:
        # One byte more than they say would show that they are longer.
        plain = zlib.decompressobj().decompress(message.packed, size + 1)
        if len(plain) != size:
            reason = f"news of {len(plain)} bytes that say {size}"
            return Failure(PeerCodecFailureKind.MALFORMED, reason)
        return _news_from(peer_pb2.StoreNews.FromString(plain))
    except (zlib.error, DecodeError) as error:
        return Failure(PeerCodecFailureKind.MALFORMED, f"packed news: {error}")
