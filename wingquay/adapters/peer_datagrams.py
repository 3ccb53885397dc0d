"""Authenticated datagrams between nodes, as an asyncio protocol."""

import asyncio
from collections.abc import Callable
from typing import cast

from ..model.failure import Failure
from .peer_frames import MAXIMUM_DATAGRAM_BYTES, ClusterKey, DatagramSealer

Address = tuple[str, int]


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one socket.

    Parameters
    ----------
    on_message
        Called with the bytes of each authentic message.
    on_refused
        Called with the sender's address and the reason when a datagram is not authentic.
    """

    def __init__(
        self,
        cluster_key: ClusterKey,
        on_message: Callable[[bytes], None],
        on_refused: Callable[[str, str], None],
    ) -> None:
        self._sealer = DatagramSealer(cluster_key)
        self._on_message = on_message
        self._on_refused = on_refused
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Check a datagram."""
        message = self._sealer.open(data)
        if isinstance(message, Failure):
            self._on_refused(f"{address[0]}:{address[1]}", message.reason)
        else:
            self._on_message(message)

    def error_received(self, error: Exception) -> None:
        """Ignore: an unreachable node is noticed by its missing answers."""

    def send(self, message: bytes, address: Address) -> int:
        """Send ``message``; return the bytes that it took, 0 if it is too large to be sent."""
        if self._transport is None:
            return 0
        datagram = self._sealer.seal(message)
        if len(datagram) > MAXIMUM_DATAGRAM_BYTES:
            return 0
        self._transport.sendto(datagram, address)
        return len(datagram)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
