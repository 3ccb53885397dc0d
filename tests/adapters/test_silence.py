"""Connections that go silent for good without a reset are noticed within about a second of use."""

import asyncio
import socket
from typing import cast
from unittest import mock

from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK, run
from wingquay.adapters.http_client_connection import ClientConnection
from wingquay.adapters.peer_connection import PeerConnection
from wingquay.adapters.silence import notice_silence


def timeouts(connected: socket.socket) -> tuple[int, int, int]:
    """Return the milliseconds without acknowledgement, and the seconds until an idle one breaks."""
    option = connected.getsockopt
    keepalive = option(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    probes = option(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
    interval = option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    idle = option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    return option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT), keepalive, idle + interval * probes


class SilenceTest(TestCase):
    def test_the_kernel_is_told_to_notice(self) -> None:
        with socket.socket() as connected:
            notice_silence(connected)
            unacknowledged, keepalive, idle_seconds = timeouts(connected)
        self.assertEqual((1_000, 1), (unacknowledged, keepalive))
        self.assertLessEqual(idle_seconds, 4)

    def test_links_and_connections_to_the_store_are_watched(self) -> None:
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(asyncio.Protocol, LOOPBACK, 0)
            port = server.sockets[0].getsockname()[1]
            address = (LOOPBACK, port)
            protocols: list[asyncio.Protocol] = [
                ClientConnection(address, 9_000, lambda _: None, lambda _: None),
                PeerConnection(mock.Mock(), mock.Mock(opening=lambda: b"")),
            ]
            for protocol in protocols:
                transport, _ = await loop.create_connection(lambda made=protocol: made, *address)
                connected = cast(socket.socket, transport.get_extra_info("socket"))
                self.assertEqual(1_000, timeouts(connected)[0], type(protocol))
                transport.abort()
            server.close()

        run(scenario())
