"""How two nodes prove to each other that they hold the cluster's key, without I/O.

The dialling node says hello with a nonce and its identity; the accepting node answers with its
own nonce, its identity and a proof; the dialling node answers with its proof. A proof is a MAC
over both nonces and both identities, under a key for its side alone, so it cannot be reflected
or replayed. The keys of the connection are derived from the same transcript.
"""

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from google.protobuf.message import DecodeError, Message

from ..model.failure import Failure
from ..model.identifiers import NodeId
from ..ports.peer_link import NodeIdentity
from .peer_codec_identity import identity_from_bytes, identity_to_bytes
from .peer_frames import ClusterKey, compute_mac, with_length
from .proto import peer_pb2

PROTOCOL_VERSION = 1

NONCE_BYTES = 32

_DIALLING_PROOF = b"proof of the dialling node"
_ACCEPTING_PROOF = b"proof of the accepting node"
_FROM_DIALLING = b"frames of the dialling node"
_FROM_ACCEPTING = b"frames of the accepting node"


class HandshakeFailureKind(Enum):
    """Why two nodes did not come to a session."""

    MALFORMED = "malformed"
    OTHER_VERSION = "other_version"
    WRONG_KEY = "wrong_key"
    OTHER_NODE = "other_node"
    """Another node than the one asked for listens at the address."""
    DIALLING_TOO = "dialling_too"
    """The other node is dialling the other way; its connection will serve both."""
    REFUSED = "refused"
    NOT_CONNECTED = "not_connected"


HandshakeFailure = Failure[HandshakeFailureKind]


@dataclass(frozen=True, slots=True)
class Session:
    """An authenticated peer and the keys of the connection with it."""

    peer: NodeIdentity
    sending_key: bytes
    receiving_key: bytes


@dataclass(frozen=True, slots=True)
class HandshakeStep:
    """What to send next, and the session or the failure that ends the handshake."""

    reply: bytes = b""
    result: Session | HandshakeFailure | None = None


def _failed(kind: HandshakeFailureKind, reason: str) -> HandshakeStep:
    return HandshakeStep(result=Failure(kind, reason))


def _malformed(error: Exception) -> HandshakeStep:
    return _failed(HandshakeFailureKind.MALFORMED, f"not a handshake: {error}")


def _frame(message: Message) -> bytes:
    return with_length(message.SerializeToString())


def _transcript(hello: bytes, nonce: bytes, identity: bytes) -> bytes:
    return b"".join(map(with_length, (hello, nonce, identity)))


class DiallingHandshake:
    """The side that dialled.

    Parameters
    ----------
    expected
        Id of the node that is asked for.
    nonce
        Random bytes, never used before.
    """

    def __init__(
        self,
        cluster_key: ClusterKey,
        identity: NodeIdentity,
        expected: NodeId,
        nonce: bytes,
    ) -> None:
        self._key = cluster_key
        self._expected = expected
        self._hello = peer_pb2.Hello(
            protocol_version=PROTOCOL_VERSION,
            nonce=nonce,
            identity=identity_to_bytes(identity),
        ).SerializeToString()

    def opening(self) -> bytes:
        """Return the bytes to send first."""
        return with_length(self._hello)

    def receive(self, body: bytes) -> HandshakeStep:
        """Take in the accepting node's challenge."""
        try:
            challenge = peer_pb2.Challenge.FromString(body)
            peer = identity_from_bytes(challenge.identity)
        except DecodeError as error:
            return _malformed(error)
        if challenge.refusal == peer_pb2.REFUSAL_KIND_DIALLING_TOO:
            return _failed(HandshakeFailureKind.DIALLING_TOO, challenge.reason)
        if challenge.refusal != peer_pb2.REFUSAL_KIND_NONE:
            return _failed(HandshakeFailureKind.REFUSED, challenge.reason)
        transcript = _transcript(self._hello, challenge.nonce, challenge.identity)
        expected_proof = compute_mac(self._key.derive(_ACCEPTING_PROOF), transcript)
        if not hmac.compare_digest(challenge.proof, expected_proof):
            reason = "the accepting node does not hold the cluster's key"
            return _failed(HandshakeFailureKind.WRONG_KEY, reason)
        if peer.node_id != self._expected:
            reason = f"node {peer.node_id} listens there now"
            return _failed(HandshakeFailureKind.OTHER_NODE, reason)
        proof = compute_mac(self._key.derive(_DIALLING_PROOF), transcript)
        session = Session(
            peer,
            sending_key=self._key.derive(_FROM_DIALLING, transcript),
            receiving_key=self._key.derive(_FROM_ACCEPTING, transcript),
        )
        return HandshakeStep(_frame(peer_pb2.Proof(proof=proof)), session)


class AcceptingHandshake:
    """The side that was dialled.

    Parameters
    ----------
    is_dialling
        Whether this node is dialling the named one and wants to keep that connection.
    nonce
        Random bytes, never used before.
    """

    def __init__(
        self,
        cluster_key: ClusterKey,
        identity: NodeIdentity,
        is_dialling: Callable[[NodeId], bool],
        nonce: bytes,
    ) -> None:
        self._key = cluster_key
        self._identity = identity_to_bytes(identity)
        self._is_dialling = is_dialling
        self._nonce = nonce
        self._peer: NodeIdentity | None = None
        self._transcript = b""

    def opening(self) -> bytes:
        """Return the bytes to send first: none."""
        return b""

    def receive(self, body: bytes) -> HandshakeStep:
        """Take in the dialling node's hello, then its proof."""
        try:
            if self._peer is None:
                return self._receive_hello(body)
            return self._receive_proof(body, self._peer)
        except DecodeError as error:
            return _malformed(error)

    def _receive_hello(self, body: bytes) -> HandshakeStep:
        hello = peer_pb2.Hello.FromString(body)
        if hello.protocol_version != PROTOCOL_VERSION:
            reason = f"protocol version {hello.protocol_version}; this node has {PROTOCOL_VERSION}"
            return self._refuse(HandshakeFailureKind.OTHER_VERSION, reason)
        peer = identity_from_bytes(hello.identity)
        if self._is_dialling(peer.node_id):
            reason = "this node is dialling too"
            return self._refuse(HandshakeFailureKind.DIALLING_TOO, reason)
        self._peer = peer
        self._transcript = _transcript(body, self._nonce, self._identity)
        proof = compute_mac(self._key.derive(_ACCEPTING_PROOF), self._transcript)
        challenge = peer_pb2.Challenge(nonce=self._nonce, identity=self._identity, proof=proof)
        return HandshakeStep(_frame(challenge))

    def _refuse(self, kind: HandshakeFailureKind, reason: str) -> HandshakeStep:
        refusal = peer_pb2.REFUSAL_KIND_OTHER
        if kind is HandshakeFailureKind.DIALLING_TOO:
            refusal = peer_pb2.REFUSAL_KIND_DIALLING_TOO
        challenge = peer_pb2.Challenge(identity=self._identity, refusal=refusal, reason=reason)
        return HandshakeStep(_frame(challenge), Failure(kind, reason))

    def _receive_proof(self, body: bytes, peer: NodeIdentity) -> HandshakeStep:
        expected_proof = compute_mac(self._key.derive(_DIALLING_PROOF), self._transcript)
        if not hmac.compare_digest(peer_pb2.Proof.FromString(body).proof, expected_proof):
            reason = "the dialling node does not hold the cluster's key"
            return _failed(HandshakeFailureKind.WRONG_KEY, reason)
        session = Session(
            peer,
            sending_key=self._key.derive(_FROM_ACCEPTING, self._transcript),
            receiving_key=self._key.derive(_FROM_DIALLING, self._transcript),
        )
        return HandshakeStep(result=session)


Handshake = DiallingHandshake | AcceptingHandshake
