"""Listens for HTTP requests, for the servers that only differ in what they answer."""

from .http_server import HttpServer


class ListeningServer:
    """Begins and ends the listening of an HTTP server.

    Parameters
    ----------
    server
        Takes the connections.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    async def start(self, host: str, port: int) -> int:
        """Listen on ``host`` (an IP number) and return the port (0 asks for any free one).

        Raises
        ------
        OSError
            The address cannot be listened on.
        """
        return await self._server.start(host, port)

    async def close(self, grace_seconds: float = 0.0) -> None:
        """Stop listening and let responses under way finish for ``grace_seconds``."""
        await self._server.close(grace_seconds)
