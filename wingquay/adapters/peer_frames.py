"""Frames and datagrams between nodes: length prefixes and message authentication codes.

Nothing here does I/O. A frame is a four-byte length and a body. After the handshake a body is a
MAC followed by length-prefixed messages: one MAC for all messages that leave in one write.
The MAC is keyed BLAKE2b (RFC 7693) over the frame's sequence number and the messages; the number
is not sent, since a TCP connection keeps the order, and so a dropped, doubled or moved frame
fails. Frames are authenticated, not encrypted.
"""

import hashlib
import hmac
import struct
from collections.abc import Iterable
from enum import Enum

from ..model.failure import Failure

MAC_BYTES = 16
"""Size of a message authentication code: 128 bits."""

MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024
"""Largest body between authenticated nodes."""

MAXIMUM_HANDSHAKE_BYTES = 4096
"""Largest body from a peer that has not proved that it holds the cluster's key."""

MAXIMUM_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent; membership keeps far below it."""

MINIMUM_CLUSTER_KEY_BYTES = 16

_LENGTH = struct.Struct("!I")
_SEQUENCE = struct.Struct("!Q")
_DATAGRAM_VERSION = b"\x01"
_KEY_BYTES = 32
_PERSONALIZATION = b"wingquay-cluster"

MESSAGE_OVERHEAD_BYTES = _LENGTH.size
"""What each message adds to a frame's body besides itself."""

FRAME_OVERHEAD_BYTES = _LENGTH.size + MAC_BYTES
"""What each frame adds to the bytes on the connection."""


class FrameFailureKind(Enum):
    """Why bytes from a peer are not accepted."""

    TOO_LARGE = "too_large"
    BAD_MAC = "bad_mac"
    MALFORMED = "malformed"


class ClusterKey:
    """The secret that all nodes share, and the keys that are derived from it.

    Parameters
    ----------
    secret
        At least 16 random bytes.

    Raises
    ------
    ValueError
        If the secret is shorter.
    """

    def __init__(self, secret: bytes) -> None:
        if len(secret) < MINIMUM_CLUSTER_KEY_BYTES:
            raise ValueError(f"cluster key must have at least {MINIMUM_CLUSTER_KEY_BYTES} bytes")
        self._root = hashlib.blake2b(secret, person=_PERSONALIZATION).digest()

    def derive(self, label: bytes, context: bytes = b"") -> bytes:
        """Return the 32 bytes that only holders of the secret can compute for this use."""
        message = _LENGTH.pack(len(label)) + label + context
        return hashlib.blake2b(message, key=self._root, digest_size=_KEY_BYTES).digest()


def compute_mac(key: bytes, message: bytes) -> bytes:
    """Return the message authentication code of ``message``."""
    return hashlib.blake2b(message, key=key, digest_size=MAC_BYTES).digest()


def with_length(body: bytes) -> bytes:
    """Return ``body`` as a frame."""
    return _LENGTH.pack(len(body)) + body


class FrameSplitter:
    """Cuts a stream of bytes into frame bodies.

    Attributes
    ----------
    maximum_bytes
        The largest body that is accepted; raised after the handshake.
    """

    def __init__(self, maximum_bytes: int = MAXIMUM_HANDSHAKE_BYTES) -> None:
        self.maximum_bytes = maximum_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Take in bytes as they arrive."""
        self._buffer += data

    def next_body(self) -> bytes | Failure[FrameFailureKind] | None:
        """Return the next whole body, or ``None`` while it is incomplete."""
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > self.maximum_bytes:
            reason = f"a body of {length} bytes exceeds {self.maximum_bytes}"
            return Failure(FrameFailureKind.TOO_LARGE, reason)
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return body


class FrameSealer:
    """Makes the authenticated frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def seal(self, messages: Iterable[bytes]) -> bytes:
        """Return one frame that carries ``messages``."""
        content = b"".join(map(with_length, messages))
        mac = compute_mac(self._key, _SEQUENCE.pack(self._sequence) + content)
        self._sequence += 1
        return _LENGTH.pack(MAC_BYTES + len(content)) + mac + content


class FrameOpener:
    """Checks and unpacks the authenticated frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def open(self, body: bytes) -> list[bytes] | Failure[FrameFailureKind]:
        """Return the messages in a frame's body."""
        mac, content = body[:MAC_BYTES], body[MAC_BYTES:]
        expected = compute_mac(self._key, _SEQUENCE.pack(self._sequence) + content)
        if not hmac.compare_digest(mac, expected):
            return Failure(FrameFailureKind.BAD_MAC, f"frame {self._sequence} is not authentic")
        self._sequence += 1
        return _split_messages(content)


def _split_messages(content: bytes) -> list[bytes] | Failure[FrameFailureKind]:
    messages: list[bytes] = []
    position = 0
    while position < len(content):
        start = position + _LENGTH.size
        if start > len(content):
            return Failure(FrameFailureKind.MALFORMED, "a message's length is cut short")
        (length,) = _LENGTH.unpack_from(content, position)
        position = start + length
        if position > len(content):
            return Failure(FrameFailureKind.MALFORMED, "a message is cut short")
        messages.append(content[start:position])
    return messages


class DatagramSealer:
    """Authenticates datagrams with a key that all nodes share.

    A recorded datagram can be sent again by whoever can see the network. That is tolerated:
    membership messages may be doubled and reordered anyway, acknowledgements count only for the
    probe whose number they carry, and beliefs only go forward in incarnations and versions.
    """

    def __init__(self, cluster_key: ClusterKey) -> None:
        self._key = cluster_key.derive(b"datagram")

    def seal(self, message: bytes) -> bytes:
        """Return the datagram that carries ``message``."""
        content = _DATAGRAM_VERSION + message
        return compute_mac(self._key, content) + content

    def open(self, datagram: bytes) -> bytes | Failure[FrameFailureKind]:
        """Return the message in a datagram."""
        mac, content = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(mac, compute_mac(self._key, content)):
            return Failure(FrameFailureKind.BAD_MAC, "the datagram is not authentic")
        if not content.startswith(_DATAGRAM_VERSION):
            return Failure(FrameFailureKind.MALFORMED, "the datagram is of another version")
        return content[len(_DATAGRAM_VERSION) :]
