"""What a node keeps for one other node: messages to be sent, the connection, the dial."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ..ports.peer_link import NodeIdentity
from .peer_connection import ConnectionOwner, PeerConnection
from .peer_frames import MAXIMUM_FRAME_BYTES, MESSAGE_OVERHEAD_BYTES, ClusterKey
from .peer_handshake import (
    NONCE_BYTES,
    DiallingHandshake,
    HandshakeFailure,
    HandshakeFailureKind,
)


@dataclass(frozen=True, slots=True)
class PeerLinkSettings:
    """Bounds of the link.

    Parameters
    ----------
    dial_timeout_seconds
        Time to connect and shake hands.
    write_buffer_limit_bytes
        Bytes that may wait for one peer; at more, the connection is broken instead.
    close_timeout_seconds
        Time that what is buffered has to leave when the link closes.
    """

    dial_timeout_seconds: float = 2.0
    write_buffer_limit_bytes: int = 8 * 1024 * 1024
    close_timeout_seconds: float = 2.0


@dataclass(slots=True)
class PeerLinkCounters:
    """What the link has carried since it started."""

    messages_sent: int = 0
    bytes_sent: int = 0
    writes: int = 0
    datagrams_sent: int = 0
    datagram_bytes_sent: int = 0
    messages_received: int = 0
    links_broken: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class ChannelContext:
    """What the channels of one link share."""

    identity: NodeIdentity
    cluster_key: ClusterKey
    settings: PeerLinkSettings
    counters: PeerLinkCounters
    owner: ConnectionOwner
    on_broken: Callable[["PeerChannel", str], None]


class PeerChannel:
    """Sends to one other node over a connection that either side dialled.

    Parameters
    ----------
    peer
        The other node.
    context
        What the channels of the link share; ``on_broken`` is called at most once, after which
        the channel is not used any more.
    """

    def __init__(self, peer: NodeIdentity, context: ChannelContext) -> None:
        self.peer = peer
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._connection: PeerConnection | None = None
        self._dialled: PeerConnection | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._dial_timer: asyncio.TimerHandle | None = None
        self._is_broken = False

    @property
    def is_connected(self) -> bool:
        """Whether hands are shaken."""
        return self._connection is not None

    @property
    def is_dialling(self) -> bool:
        """Whether this node's own dial is under way."""
        return self._dial_task is not None

    def enqueue(self, data: bytes) -> None:
        """Take a message to be sent at the next :meth:`flush`."""
        self._pending.append(data)
        self._pending_bytes += len(data) + MESSAGE_OVERHEAD_BYTES
        waiting = self._pending_bytes
        if self._connection is not None:
            waiting += self._connection.buffered_bytes()
        limit = min(self._context.settings.write_buffer_limit_bytes, MAXIMUM_FRAME_BYTES)
        if waiting > limit:
            self.break_off(f"{waiting} bytes wait for the peer; the limit is {limit}")

    def flush(self) -> None:
        """Send what was taken, in one write; dial if there is no connection."""
        if not self._pending or self._is_broken:
            return
        if self._connection is None:
            self._start_dial()
            return
        counters = self._context.counters
        counters.messages_sent += len(self._pending)
        counters.bytes_sent += self._connection.send(self._pending)
        counters.writes += 1
        self._pending = []
        self._pending_bytes = 0

    def established(self, connection: PeerConnection) -> None:
        """Use ``connection``, whose hands are shaken; a dial under way is given up."""
        self._end_dial(keep=connection)
        self._connection = connection
        self.flush()

    def connection_closed(self, connection: PeerConnection, failure: HandshakeFailure) -> None:
        """Notice the end of a connection; others than the channel's own are ignored."""
        if connection is self._connection:
            self.break_off(failure.reason)
        elif connection is self._dialled:
            if failure.kind is HandshakeFailureKind.DIALLING_TOO:
                self._dialled = self._dial_task = None
            else:
                self.break_off(failure.reason)

    def break_off(self, reason: str) -> None:
        """Drop everything and tell the link."""
        if self._is_broken:
            return
        self.forget()
        if self._connection is not None:
            self._connection.abort(reason)
        self._context.on_broken(self, reason)

    def forget(self) -> None:
        """Drop what waits and end the dial; the connection is left alone."""
        self._is_broken = True
        self._end_dial()
        self._pending = []
        self._pending_bytes = 0

    def _start_dial(self) -> None:
        if self._dial_timer is not None:
            return
        timeout_seconds = self._context.settings.dial_timeout_seconds
        self._dial_timer = self._loop.call_later(timeout_seconds, self.break_off, "dial timed out")
        self._dial_task = self._loop.create_task(self._dial())

    async def _dial(self) -> None:
        context = self._context
        nonce = secrets.token_bytes(NONCE_BYTES)
        peer_id = self.peer.node_id
        handshake = DiallingHandshake(context.cluster_key, context.identity, peer_id, nonce)
        connection = PeerConnection(context.owner, handshake, peer_id)
        self._dialled = connection
        try:
            await self._loop.create_connection(lambda: connection, self.peer.host, self.peer.port)
        except OSError as error:
            self.break_off(f"dial failed: {error}")

    def _end_dial(self, keep: PeerConnection | None = None) -> None:
        dialled, self._dialled = self._dialled, None
        task, self._dial_task = self._dial_task, None
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        if dialled is None or dialled is keep:
            return
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        dialled.abort("not needed")
