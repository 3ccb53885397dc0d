"""Peer messages as the bytes that cross the network: real codec, real authentication codes."""

import hashlib
from dataclasses import dataclass

from wingquay.adapters import peer_codec
from wingquay.adapters.peer_frames import (
    ClusterKey,
    DatagramSealer,
    FrameOpener,
    FrameSealer,
    with_length,
)
from wingquay.adapters.peer_handshake import (
    NONCE_BYTES,
    AcceptingHandshake,
    DiallingHandshake,
    Session,
)
from wingquay.model.failure import Failure
from wingquay.ports.machine import Event
from wingquay.ports.peer import MembershipMessage, NodeIdentity, PeerMessage

LENGTH_BYTES = len(with_length(b""))
UDP_HEADER_BYTES = 28
"""IP and UDP."""
TCP_HEADER_BYTES = 52
"""IP, TCP and its time stamps."""
SEGMENT_BYTES = 1448
CONNECT_SEGMENTS = 3
"""Segments of TCP's own handshake."""


@dataclass(frozen=True, slots=True)
class DatagramOnWire(Event):
    """A membership message as it arrives."""

    sender: NodeIdentity
    kind: str
    datagram: bytes


@dataclass(frozen=True, slots=True)
class FrameOnWire(Event):
    """Any other message as it arrives: a frame of its own."""

    sender: NodeIdentity
    kind: str
    frame: bytes


OnWire = DatagramOnWire | FrameOnWire


class Wire:
    """Seals and opens messages.

    Parameters
    ----------
    secret
        The key of the cluster.
    """

    def __init__(self, secret: bytes) -> None:
        self._cluster_key = ClusterKey(secret)
        self._datagrams = DatagramSealer(self._cluster_key)
        self._frame_key = self._cluster_key.derive(b"frames of the rehearsal")

    def seal(self, sender: NodeIdentity, message: PeerMessage) -> OnWire:
        """Return the message as it travels."""
        kind = type(message).__name__
        data = peer_codec.encode(message, sender)
        if isinstance(message, MembershipMessage):
            return DatagramOnWire(sender, kind, self._datagrams.seal(data))
        return FrameOnWire(sender, kind, FrameSealer(self._frame_key).seal((data,)))

    def open(self, on_wire: OnWire) -> PeerMessage:
        """Return the message again."""
        if isinstance(on_wire, DatagramOnWire):
            data = self._datagrams.open(on_wire.datagram)
        else:
            messages = FrameOpener(self._frame_key).open(on_wire.frame[LENGTH_BYTES:])
            data = messages if isinstance(messages, Failure) else messages[0]
        assert isinstance(data, bytes)
        decoded = peer_codec.decode(data)
        assert not isinstance(decoded, Failure), decoded.reason
        return decoded[1]

    def shake_hands(self, dialling: NodeIdentity, accepting: NodeIdentity) -> int:
        """Go through the handshake of a new connection; return the bytes that it takes."""
        nonces = [hashlib.sha256(b"%d" % side).digest()[:NONCE_BYTES] for side in range(2)]
        dial = DiallingHandshake(self._cluster_key, dialling, accepting.node_id, nonces[0])
        accept = AcceptingHandshake(self._cluster_key, accepting, lambda _: False, nonces[1])
        hello = dial.opening()
        challenge = accept.receive(hello[LENGTH_BYTES:]).reply
        proof = dial.receive(challenge[LENGTH_BYTES:]).reply
        assert isinstance(accept.receive(proof[LENGTH_BYTES:]).result, Session)
        own_segments = sum(stream_bytes(len(part)) for part in (hello, challenge, proof))
        return own_segments + CONNECT_SEGMENTS * TCP_HEADER_BYTES


def datagram_bytes(size_bytes: int) -> int:
    """Return what a datagram takes on the network."""
    return size_bytes + UDP_HEADER_BYTES


def stream_bytes(size_bytes: int) -> int:
    """Return what data takes on a connection in its own direction."""
    return size_bytes + TCP_HEADER_BYTES * _segments(size_bytes)


def acknowledgement_bytes(size_bytes: int) -> int:
    """Return what the acknowledgements of data take: one for every two segments."""
    return TCP_HEADER_BYTES * -(-_segments(size_bytes) // 2)


def _segments(size_bytes: int) -> int:
    return max(1, -(-size_bytes // SEGMENT_BYTES))
