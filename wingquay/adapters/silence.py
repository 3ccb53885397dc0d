"""Lets the kernel notice connections that have gone silent for good."""

import socket

UNACKNOWLEDGED_MILLISECONDS = 1_000
"""How long sent bytes may stay unacknowledged: between machines some milliseconds apart this is
three times over what the kernel needs to send a lost packet again."""
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""An idle connection is noticed after 4 s, at 100 bytes each 2 s: 4 kB/s for 70 of them."""


def notice_silence(connected: socket.socket | None) -> None:
    """Break a connection soon whose other side does not acknowledge anything any more.

    Connections may go silent for good without a reset, while new ones work. What waits for one that
    has would wait for its own time-out: up to 4 s for a watch of the store, and until the next
    request for a link to another node.
    """
    if connected is None:
        return
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    timeout = UNACKNOWLEDGED_MILLISECONDS
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)
