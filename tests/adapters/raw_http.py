"""Raw sockets on loopback, for the tests of the HTTP client and server."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from wingquay.adapters.http_messages import HttpRequest, HttpResponse

LOOPBACK = "127.0.0.1"
PATIENT_SECONDS = 20.0
"""Time for a connection on a machine that is busy with other things."""
TEST_LIMIT_SECONDS = 20.0
RawPeer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
WHOLE_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test, bounded in time."""
    asyncio.run(asyncio.wait_for(test, TEST_LIMIT_SECONDS))


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, {"x-path": request.path}, request.body)


async def send_raw(port: int, data: bytes, then_end: bool = False) -> bytes:
    """Send bytes and return everything that comes until the server ends the connection."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(data)
    if then_end:
        writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


class RawServer:
    """Runs ``peer`` for each connection and counts them."""

    def __init__(self, peer: RawPeer) -> None:
        self.connections = 0
        self._peer = peer

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the port."""
        self._server.close()
        await self._server.wait_closed()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await self._peer(reader, writer)


def replying(data: bytes, then_close: bool = True) -> RawPeer:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(65_536):
            writer.write(data)
            if then_close:
                writer.close()
                return

    return peer
