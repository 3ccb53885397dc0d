"""Encode and decode the messages between nodes (protobuf, ``proto/peer.proto``)."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError

from ..model.failure import Failure
from ..ports import peer
from ..ports.peer_claims import (
    ClaimAssignmentOffer,
    ClaimOutcome,
    ClaimRequest,
    ClaimTable,
    ClaimTableRequest,
    ClaimVote,
)
from . import peer_codec_claims as claims
from . import peer_codec_configuration as configuration
from . import peer_codec_membership as membership
from . import peer_codec_query as query
from .peer_codec_error import PeerCodecFailureKind
from .peer_codec_identity import identity_from_bytes, identity_to_bytes
from .proto import peer_pb2


@dataclass(frozen=True, slots=True)
class _Codec:
    """How one kind of message is written into and read from its field of the envelope."""

    field: str
    put: Callable[[Any, Any], None]
    read: Callable[[Any], peer.PeerMessage]


_CODECS: dict[type[peer.PeerMessage], _Codec] = {
    peer.Ping: _Codec("ping", membership.put_ping, membership.ping_from),
    peer.Acknowledgement: _Codec(
        "acknowledgement",
        membership.put_acknowledgement,
        membership.acknowledgement_from,
    ),
    peer.PingRequest: _Codec(
        "ping_request", membership.put_ping_request, membership.ping_request_from
    ),
    peer.NodeListRequest: _Codec(
        "node_list_request",
        membership.put_node_list_request,
        membership.node_list_request_from,
    ),
    peer.NodeList: _Codec("node_list", membership.put_node_list, membership.node_list_from),
    peer.SubRequestBatch: _Codec(
        "sub_request_batch", query.put_sub_request_batch, query.sub_request_batch_from
    ),
    peer.SubResultBatch: _Codec(
        "sub_result_batch", query.put_sub_result_batch, query.sub_result_batch_from
    ),
    peer.CancelSubRequests: _Codec(
        "cancel_sub_requests",
        query.put_cancel_sub_requests,
        query.cancel_sub_requests_from,
    ),
    peer.ConfigurationFetch: _Codec(
        "configuration_fetch",
        configuration.put_configuration_fetch,
        configuration.configuration_fetch_from,
    ),
    peer.ConfigurationBody: _Codec(
        "configuration_body",
        configuration.put_configuration_body,
        configuration.configuration_body_from,
    ),
    ClaimRequest: _Codec("claim_request", claims.put_claim_request, claims.claim_request_from),
    ClaimVote: _Codec("claim_vote", claims.put_claim_vote, claims.claim_vote_from),
    ClaimOutcome: _Codec("claim_outcome", claims.put_claim_outcome, claims.claim_outcome_from),
    ClaimAssignmentOffer: _Codec(
        "claim_assignment_offer",
        claims.put_claim_assignment_offer,
        claims.claim_assignment_offer_from,
    ),
    ClaimTableRequest: _Codec(
        "claim_table_request",
        claims.put_claim_table_request,
        claims.claim_table_request_from,
    ),
    ClaimTable: _Codec("claim_table", claims.put_claim_table, claims.claim_table_from),
}
_CODECS_BY_FIELD = {codec.field: codec for codec in _CODECS.values()}

MESSAGE_TYPES = tuple(_CODECS)
"""Every message that can be sent to a peer."""


def encode(message: peer.PeerMessage, sender: peer.NodeIdentity) -> bytes:
    """Return ``message`` from ``sender`` as bytes.

    Raises
    ------
    ValueError
        If a number does not fit its field (64 bits) or a text holds lone surrogates, which
        UTF-8 cannot carry; both are to be refused where they enter the node.
    """
    codec = _CODECS[type(message)]
    envelope = peer_pb2.Envelope(sender=identity_to_bytes(sender))
    target = getattr(envelope, codec.field)
    target.SetInParent()
    codec.put(target, message)
    return envelope.SerializeToString()


def decode(
    data: bytes,
) -> tuple[peer.NodeIdentity, peer.PeerMessage] | Failure[PeerCodecFailureKind]:
    """Return the sender and the message that ``data`` holds; never raises."""
    try:
        envelope = peer_pb2.Envelope.FromString(data)
        field = envelope.WhichOneof("message")
        codec = None if field is None else _CODECS_BY_FIELD.get(field)
        if field is None or codec is None:
            return Failure(PeerCodecFailureKind.UNKNOWN_MESSAGE, "no message of a known kind")
        sender = identity_from_bytes(envelope.sender)
        return sender, codec.read(getattr(envelope, field))
    except (DecodeError, ValueError) as error:
        return Failure(PeerCodecFailureKind.MALFORMED, str(error))
