"""HTTP/1.1 server: a handler coroutine for each request, everything a client may cost bounded."""

import asyncio
import socket
from collections.abc import Callable

from .http_messages import HttpLimits, HttpResponse
from .http_server_connection import Handler, ServerConnection

LISTEN_BACKLOG = 1_024

RefusalRenderer = Callable[[int, str], HttpResponse]
"""Makes the response to a request that the server itself refuses: status and reason."""


def plain_refusal(status: int, reason: str) -> HttpResponse:
    """Return ``reason`` as a line of text."""
    return HttpResponse(
        status, {"content-type": "text/plain; charset=utf-8"}, f"{reason}\n".encode()
    )


class HttpServer:
    """Listens on one address and hands whole requests to ``handler``.

    The handler's task is cancelled when the client goes away, which includes a client that ends
    only its own direction (a half-closed connection).

    Parameters
    ----------
    handler
        Called once for each request; what it raises is answered 500.
    limits
        What a client may cost.
    refuse
        Renders the server's own refusals (400, 408, 413, 431, 500, 501, 503).
    """

    connection_type: type[ServerConnection] = ServerConnection
    """What serves each connection; servers that differ in it override this."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        refuse: RefusalRenderer = plain_refusal,
    ) -> None:
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.refuse = refuse
        self.is_leaving = False
        """While true, every response closes its connection."""
        self.measures_transit = False
        """Whether requests carry what their clients spend on the network for them."""
        self._server: asyncio.Server | None = None
        self._connections: dict[ServerConnection, None] = {}

    @property
    def open_connections(self) -> int:
        """The number of connections, refused ones included until they are closed."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> int:
        """Listen on ``host`` (an IP number) and ``port`` (0: any free one); return the port.

        Raises
        ------
        OSError
            The address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, host, port, backlog=LISTEN_BACKLOG
        )
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    async def serve_on(self, listening: socket.socket) -> None:
        """Accept connections on a socket that listens already."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, sock=listening, backlog=LISTEN_BACKLOG
        )

    async def close(self, grace_seconds: float = 0.0) -> None:
        """Stop listening, let requests in flight finish for ``grace_seconds``, then cut them."""
        self.is_leaving = True
        if self._server is not None:
            self._server.close()
        waiting = [connection.leave() for connection in list(self._connections)]
        if waiting and grace_seconds > 0:
            await asyncio.wait(waiting, timeout=grace_seconds)
        for connection in list(self._connections):
            connection.abort()
        if waiting:
            await asyncio.wait(waiting)

    def close_idle(self) -> None:
        """Close the connections on which no request has begun; the others stay."""
        for connection in list(self._connections):
            connection.leave()

    def is_over_connection_limit(self) -> bool:
        """Whether the connection just made is one too many."""
        return len(self._connections) > self.limits.connections

    def connection_ended(self, connection: ServerConnection) -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)

    def _make_connection(self) -> ServerConnection:
        connection = self.connection_type(self)
        self._connections[connection] = None
        return connection
