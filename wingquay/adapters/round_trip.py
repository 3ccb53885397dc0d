"""The round-trip time of a TCP connection as the kernel measured it.

Source: tcp(7), ``TCP_INFO``; ``struct tcp_info`` in linux/tcp.h.
"""

import asyncio
import socket
import struct

INFO_BYTES = 104
SMOOTHED_ROUND_TRIP_OFFSET = 68
"""Offset of ``tcpi_rtt``, in microseconds."""
MICROSECONDS_PER_SECOND = 1_000_000


def round_trip_seconds(transport: asyncio.BaseTransport) -> float:
    """Return the smoothed round-trip time of a connection; 0 where the kernel does not tell."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0.0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < SMOOTHED_ROUND_TRIP_OFFSET + struct.calcsize("=I"):
        return 0.0
    (microseconds,) = struct.unpack_from("=I", info, SMOOTHED_ROUND_TRIP_OFFSET)
    return float(microseconds) / MICROSECONDS_PER_SECOND
