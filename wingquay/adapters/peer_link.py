"""The link to the other nodes: one authenticated TCP connection a pair, and datagrams.

Membership messages travel as datagrams, everything else on the connection, which is dialled when
the first message needs it. Both use the same port number. Messages that are sent to one peer in
the same iteration of the event loop leave in one write. See docs/design/peer-link.md.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Callable
from typing import Protocol

from ..model.failure import Failure
from ..model.identifiers import NodeId
from ..ports.machine import Event, Log, LogLevel
from ..ports.peer_link import (
    MembershipMessage,
    NodeIdentity,
    PeerLinkBroken,
    PeerMessage,
    PeerReceived,
    SendToPeer,
)
from .peer_channel import (
    ChannelContext,
    PeerChannel,
    PeerLinkCounters,
    PeerLinkSettings,
)
from .peer_codec_error import PeerCodecFailureKind
from .peer_connection import PeerConnection
from .peer_datagrams import PeerDatagrams
from .peer_frames import ClusterKey
from .peer_handshake import (
    NONCE_BYTES,
    AcceptingHandshake,
    HandshakeFailure,
    HandshakeFailureKind,
    Session,
)
from .peer_refusal_log import PeerRefusalLog

BIND_ATTEMPTS = 32
"""Tries to find a port number that is free for both TCP and UDP."""

_REFUSALS = frozenset(
    {
        HandshakeFailureKind.MALFORMED,
        HandshakeFailureKind.OTHER_VERSION,
        HandshakeFailureKind.WRONG_KEY,
    }
)


class PeerCodec(Protocol):
    """Encodes and decodes the messages that a link carries."""

    def encode(self, message: PeerMessage, sender: NodeIdentity) -> bytes:
        """Return a message as bytes; raise ``ValueError`` for one that has no wire form."""
        ...

    def decode(
        self, data: bytes
    ) -> tuple[NodeIdentity, PeerMessage] | Failure[PeerCodecFailureKind]:
        """Return the sender and the message, or why there is none."""
        ...


class PeerLink:
    """Carries messages to and from other nodes.

    Parameters
    ----------
    identity
        This node; a port of 0 is replaced by a free one when the link starts. No other node may
        have its id; a process that starts again with the same one takes the place of its last life.
    cluster_key
        The secret that all nodes share, at least 16 random bytes.
    codec
        Encodes and decodes the messages.
    emit
        Takes ``PeerReceived`` and ``PeerLinkBroken``.
    log
        Takes log lines.

    Raises
    ------
    ValueError
        If the key is too short.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        cluster_key: bytes,
        codec: PeerCodec,
        emit: Callable[[Event], None],
        log: Callable[[Log], None] | None = None,
        settings: PeerLinkSettings | None = None,
    ) -> None:
        self.identity = identity
        self.counters = PeerLinkCounters()
        self._key = ClusterKey(cluster_key)
        self._codec = codec
        self._emit = emit
        self._log = log or _standard_log()
        self._settings = settings or PeerLinkSettings()
        self._refusals = PeerRefusalLog(self._log)
        self._channels: dict[NodeId, PeerChannel] = {}
        self._connections: dict[PeerConnection, None] = {}
        self._unflushed: list[PeerChannel] = []
        self._server: asyncio.Server | None = None
        self._datagrams: PeerDatagrams | None = None
        self._closing = False
        self._encoded: tuple[PeerMessage, bytes] | None = None
        """The message encoded last: the same one often goes to several nodes."""

    async def start(self) -> NodeIdentity:
        """Listen; return the identity with the port that was bound.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        attempts = BIND_ATTEMPTS if self.identity.port == 0 else 1
        for _ in range(attempts - 1):
            try:
                return await self._bind()
            except OSError:
                continue
        return await self._bind()

    async def _bind(self) -> NodeIdentity:
        host, port = self.identity.host, self.identity.port
        server = await self._loop.create_server(self._accept, host, port)
        bound_port = int(server.sockets[0].getsockname()[1])
        try:
            _, self._datagrams = await self._loop.create_datagram_endpoint(
                lambda: PeerDatagrams(self._key, self._receive_datagram, self._refuse),
                local_addr=(host, bound_port),
            )
        except OSError:
            server.close()
            raise
        self._server = server
        self.identity = dataclasses.replace(self.identity, port=bound_port)
        self._context = ChannelContext(
            identity=self.identity,
            cluster_key=self._key,
            settings=self._settings,
            counters=self.counters,
            owner=self,
            on_broken=self._channel_broken,
        )
        return self.identity

    async def close(self) -> None:
        """Send what is buffered, within a bounded time, and close everything."""
        self._flush()
        self._closing = True
        if self._server is not None:
            self._server.close()
        for channel in self._channels.values():
            channel.forget()
        connections = list(self._connections)
        for connection in connections:
            connection.finish()
        closed = [connection.closed for connection in connections]
        if closed:
            await asyncio.wait(closed, timeout=self._settings.close_timeout_seconds)
        for connection in connections:
            connection.abort("the link is closed")
        if self._datagrams is not None:
            self._datagrams.close()

    def perform(self, action: SendToPeer) -> None:
        """Send a message; failures come back as ``PeerLinkBroken``."""
        if self._closing:
            return
        try:
            data = self._encode(action.message)
        except ValueError as error:
            self._report_unsendable(action, str(error))
            return
        if isinstance(action.message, MembershipMessage):
            self._send_datagram(action.to, data)
        else:
            self._enqueue(action.to, data)

    def _encode(self, message: PeerMessage) -> bytes:
        if self._encoded is None or self._encoded[0] is not message:
            self._encoded = (message, self._codec.encode(message, self.identity))
        return self._encoded[1]

    def _report_unsendable(self, action: SendToPeer, reason: str) -> None:
        """Break the link over a message that has no wire form, so that nobody waits for it."""
        kind = type(action.message).__name__
        fields = (("node", action.to.node_id), ("message", kind), ("reason", reason))
        self._log(Log("peer_message_unsendable", LogLevel.ERROR, fields))
        self._channel_to(action.to).break_off(f"{kind} cannot be sent: {reason}")

    def _send_datagram(self, to: NodeIdentity, data: bytes) -> None:
        if self._datagrams is None:
            return
        self.counters.datagram_bytes_sent += self._datagrams.send(data, (to.host, to.port))
        self.counters.datagrams_sent += 1

    def _enqueue(self, to: NodeIdentity, data: bytes) -> None:
        if not self._unflushed:
            self._loop.call_soon(self._flush)
        channel = self._channel_to(to)
        self._unflushed.append(channel)
        channel.enqueue(data)

    def _channel_to(self, peer: NodeIdentity) -> PeerChannel:
        channel = self._channels.get(peer.node_id)
        if channel is None:
            channel = self._channels[peer.node_id] = PeerChannel(peer, self._context)
        return channel

    def _flush(self) -> None:
        unflushed, self._unflushed = self._unflushed, []
        for channel in unflushed:
            channel.flush()

    def _accept(self) -> PeerConnection:
        nonce = secrets.token_bytes(NONCE_BYTES)
        handshake = AcceptingHandshake(self._key, self.identity, self._keeps_own_dial, nonce)
        return PeerConnection(self, handshake)

    def _keeps_own_dial(self, node_id: NodeId) -> bool:
        """Decide a simultaneous dial: the connection of the smaller node id is kept."""
        channel = self._channels.get(node_id)
        return channel is not None and channel.is_dialling and self.identity.node_id < node_id

    def connection_opened(self, connection: PeerConnection) -> None:
        """Keep a connection, so that it can be closed (called by the connection)."""
        self._connections[connection] = None

    def connection_established(self, connection: PeerConnection, session: Session) -> None:
        """Use a connection whose peer is authenticated (called by the connection)."""
        if self._closing:
            connection.close()
            return
        channel = self._channel_to(session.peer)
        if channel.is_connected:
            channel.break_off("the peer connected anew")
            channel = self._channel_to(session.peer)
        channel.established(connection)

    def connection_closed(self, connection: PeerConnection, failure: HandshakeFailure) -> None:
        """Notice the end of a connection (called by the connection)."""
        self._connections.pop(connection, None)
        if failure.kind in _REFUSALS and not self._closing:
            self._refuse(connection.remote_address, failure.reason)
        if connection.peer_id is None:
            return
        channel = self._channels.get(connection.peer_id)
        if channel is not None:
            channel.connection_closed(connection, failure)

    def _channel_broken(self, channel: PeerChannel, reason: str) -> None:
        self._channels.pop(channel.peer.node_id, None)
        if self._closing:
            return
        self.counters.links_broken += 1
        fields = (("node", channel.peer.node_id), ("reason", reason))
        self._log(Log("peer_link_broken", LogLevel.INFO, fields))
        self._emit(PeerLinkBroken(channel.peer.node_id, reason, channel.is_connected))

    def _refuse(self, address: str, reason: str) -> None:
        self.counters.refused += 1
        self._refusals.refused(address, reason, self._loop.time())

    def message_received(self, connection: PeerConnection, message: bytes) -> None:
        """Hand a message of a connection to the node (called by the connection)."""
        received = self._decode(message)
        if received is None:
            return
        if received.sender.node_id != connection.peer_id:
            self._refuse(connection.remote_address, f"it speaks as {received.sender.node_id}")
            return
        self._deliver(received)

    def _receive_datagram(self, message: bytes) -> None:
        received = self._decode(message)
        if received is not None and isinstance(received.message, MembershipMessage):
            self._deliver(received)

    def _decode(self, message: bytes) -> PeerReceived | None:
        """Read a message; one of a newer version of wingquay is logged and skipped."""
        decoded = self._codec.decode(message)
        if isinstance(decoded, Failure):
            fields = (("kind", decoded.kind.value), ("reason", decoded.reason))
            self._log(Log("peer_message_skipped", LogLevel.WARNING, fields))
            return None
        return PeerReceived(*decoded)

    def _deliver(self, received: PeerReceived) -> None:
        if self._closing:
            return
        self.counters.messages_received += 1
        self._emit(received)


def _standard_log() -> Callable[[Log], None]:
    # The library for logs takes as long to load as the rest of the link.
    from .log_writer import LogWriter

    return LogWriter({}).perform
