"""An HTTP server whose connections cost time to make, as the users' back ends' do."""

import asyncio

from ..adapters.http_messages import HttpLimits, HttpResponse
from ..adapters.http_server import HttpServer
from ..adapters.http_server_connection import Handler, ServerConnection
from .backend_wire import problem_response

CONNECTION_REFUSED_STATUS = 503


class CostlyConnection(ServerConnection):
    """A connection that takes in its first byte only after the connection cost."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stop reading for a while (asyncio calls this)."""
        super().connection_made(transport)
        if not isinstance(transport, asyncio.Transport) or transport.is_closing():
            return
        assert isinstance(self._server, CostlyServer)
        transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(self._server.connection_cost_seconds, transport.resume_reading)


class CostlyServer(HttpServer):
    """Accepts up to ``connection_limit`` connections, each of which costs time.

    Parameters
    ----------
    connection_cost_seconds
        Time from the acceptance of a connection until its first request is read.
    """

    connection_type = CostlyConnection

    def __init__(
        self,
        handler: Handler,
        connection_limit: int,
        connection_cost_seconds: float,
    ) -> None:
        super().__init__(handler, HttpLimits(connections=connection_limit), _refuse)
        self.connection_cost_seconds = connection_cost_seconds


def _refuse(status: int, reason: str) -> HttpResponse:
    problem_type = "shed" if status == CONNECTION_REFUSED_STATUS else "invalid"
    return problem_response(status, problem_type, reason)
