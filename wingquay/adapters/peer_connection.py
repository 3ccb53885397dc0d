"""One TCP connection between two nodes, as an asyncio protocol."""

import asyncio
from collections.abc import Sequence
from typing import Protocol, cast

from ..model.failure import Failure
from ..model.identifiers import NodeId
from .peer_frames import (
    FRAME_OVERHEAD_BYTES,
    MAXIMUM_FRAME_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    FrameOpener,
    FrameSealer,
    FrameSplitter,
)
from .peer_handshake import (
    Handshake,
    HandshakeFailure,
    HandshakeFailureKind,
    Session,
)
from .silence import notice_silence

HANDSHAKE_TIMEOUT_SECONDS = 2.0
"""How long a connection may take to shake hands."""

PREFERRED_FRAME_BYTES = 1024 * 1024
"""Messages of one write are put into frames of about this size."""


class ConnectionOwner(Protocol):
    """What a connection tells its owner, synchronously and in order."""

    def connection_opened(self, connection: "PeerConnection") -> None:
        """Keep the connection; called once, first."""

    def connection_established(self, connection: "PeerConnection", session: Session) -> None:
        """Use the connection: hands are shaken."""

    def message_received(self, connection: "PeerConnection", message: bytes) -> None:
        """Take an authentic message."""

    def connection_closed(self, connection: "PeerConnection", failure: HandshakeFailure) -> None:
        """Notice the end, whether or not hands were shaken; called once, last."""


class PeerConnection(asyncio.Protocol):
    """Shakes hands, then carries messages both ways.

    Parameters
    ----------
    peer_id
        The node that is dialled; ``None`` for an accepted connection until hands are shaken.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        handshake: Handshake,
        peer_id: NodeId | None = None,
    ) -> None:
        self._owner = owner
        self._handshake = handshake
        self._splitter = FrameSplitter()
        self._sealer: FrameSealer | None = None
        self._opener: FrameOpener | None = None
        self._transport: asyncio.Transport | None = None
        self._failure: HandshakeFailure | None = None
        self._loop = asyncio.get_running_loop()
        self._handshake_timer: asyncio.TimerHandle | None = None
        self.peer_id = peer_id
        self.remote_address = "unknown"
        self.closed: asyncio.Future[None] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        address = self._transport.get_extra_info("peername")
        if address:
            self.remote_address = f"{address[0]}:{address[1]}"
        notice_silence(self._transport.get_extra_info("socket"))
        self._handshake_timer = self._loop.call_later(
            HANDSHAKE_TIMEOUT_SECONDS, self.abort, "no handshake in time"
        )
        self._owner.connection_opened(self)
        self._transport.write(self._handshake.opening())

    def data_received(self, data: bytes) -> None:
        """Take in whole frames."""
        self._splitter.feed(data)
        while self._failure is None:
            body = self._splitter.next_body()
            if body is None:
                return
            if isinstance(body, Failure):
                self.abort(body.reason, HandshakeFailureKind.MALFORMED)
            elif self._opener is None:
                self._shake_hands(body)
            else:
                self._receive(self._opener, body)

    def eof_received(self) -> None:
        """Let the transport close: the peer sends nothing more."""
        self._fail(HandshakeFailureKind.NOT_CONNECTED, "closed by the peer")

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner."""
        reason = "closed" if error is None else str(error)
        failure = self._fail(HandshakeFailureKind.NOT_CONNECTED, reason)
        self._cancel_handshake_timer()
        self._transport = None
        self.closed.set_result(None)
        self._owner.connection_closed(self, failure)

    def buffered_bytes(self) -> int:
        """Return how many bytes wait for the socket."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def send(self, messages: Sequence[bytes]) -> int:
        """Send ``messages`` in one write; return the bytes that they took."""
        if self._transport is None or self._sealer is None:
            return 0
        frames = [self._sealer.seal(group) for group in _groups(messages)]
        data = b"".join(frames)
        self._transport.write(data)
        return len(data)

    def close(self) -> None:
        """Close after what is buffered has been sent."""
        if self._transport is not None:
            self._transport.close()

    def finish(self) -> None:
        """Say that nothing more will be sent, and close when the peer has closed its side.

        A plain close with unread input would reset the connection, and what is still on its way
        to the peer could be lost.
        """
        if self._sealer is not None and self._transport is not None:
            self._transport.write_eof()
        else:
            self.close()

    def abort(
        self,
        reason: str,
        kind: HandshakeFailureKind = HandshakeFailureKind.NOT_CONNECTED,
    ) -> None:
        """Close at once and drop what is buffered."""
        self._fail(kind, reason)
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, kind: HandshakeFailureKind, reason: str) -> HandshakeFailure:
        """Keep the first reason for the end of the connection."""
        if self._failure is None:
            self._failure = Failure(kind, reason)
        return self._failure

    def _cancel_handshake_timer(self) -> None:
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()

    def _shake_hands(self, body: bytes) -> None:
        step = self._handshake.receive(body)
        if self._transport is not None:
            self._transport.write(step.reply)
        if isinstance(step.result, Session):
            self._begin(step.result)
        elif step.result is not None:
            self._fail(step.result.kind, step.result.reason)
            self.close()

    def _begin(self, session: Session) -> None:
        self._cancel_handshake_timer()
        self._sealer = FrameSealer(session.sending_key)
        self._opener = FrameOpener(session.receiving_key)
        self._splitter.maximum_bytes = MAXIMUM_FRAME_BYTES + FRAME_OVERHEAD_BYTES
        self.peer_id = session.peer.node_id
        self._owner.connection_established(self, session)

    def _receive(self, opener: FrameOpener, body: bytes) -> None:
        messages = opener.open(body)
        if isinstance(messages, Failure):
            self.abort(messages.reason, HandshakeFailureKind.MALFORMED)
            return
        for message in messages:
            self._owner.message_received(self, message)


def _groups(messages: Sequence[bytes]) -> list[list[bytes]]:
    """Divide the messages of one write into frames."""
    groups: list[list[bytes]] = []
    size = PREFERRED_FRAME_BYTES
    for message in messages:
        cost = len(message) + MESSAGE_OVERHEAD_BYTES
        if size + cost > PREFERRED_FRAME_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(message)
        size += cost
    return groups
