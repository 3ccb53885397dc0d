"""HTTP/1.1 client: exchanges over pooled keep-alive connections.

Cancelling or timing out an exchange closes its connection, so bytes still due are never read by
another exchange. Failures tell whether a byte of the request may have left (``NOT_SENT_KINDS``):
a kept-alive connection that turns out closed once the request was written counts as "left".
"""

import asyncio
from collections.abc import Callable, Mapping

from ..model.failure import Failure
from .http_client_connection import (
    OutgoingRequest,
)
from .http_connection_pool import HttpConnectionPool
from .http_exchange import HttpExchange, HttpResult
from .http_messages import (
    HttpFailureKind,
    HttpResponse,
    headers_to_raw,
)
from .http_stream import HttpStream, StreamReader

DEFAULT_CONNECTION_LIMIT = 70
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 16_777_216
DEFAULT_IDLE_SECONDS = 30.0
"""Shorter than servers commonly wait, so that they seldom close a connection being reused."""


def _accept_any(_response: HttpResponse) -> bool:
    return True


class HttpClient:
    """Makes exchanges; create it inside a running event loop.

    Parameters
    ----------
    connection_limit
        The most connections to one address, unless a call says otherwise.
    header_bytes, body_bytes
        Bounds on a response.
    idle_seconds
        Idle connections are closed after this time.
    """

    def __init__(
        self,
        connection_limit: int = DEFAULT_CONNECTION_LIMIT,
        header_bytes: int = DEFAULT_HEADER_BYTES,
        body_bytes: int = DEFAULT_BODY_BYTES,
        idle_seconds: float = DEFAULT_IDLE_SECONDS,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._connection_limit = connection_limit
        self._body_bytes = body_bytes
        self._pool = HttpConnectionPool(header_bytes, idle_seconds)

    def open_connections(self, host: str, port: int) -> int:
        """Return the number of connections to an address."""
        return self._pool.open_count((host, port))

    def limit_in_use(self, host: str, port: int) -> int | None:
        """Return the limit last given for an address; ``None``: there is no connection to it."""
        return self._pool.connection_limit((host, port))

    def prepare(
        self,
        request: OutgoingRequest,
        on_done: Callable[[HttpResult], None],
        accepts: Callable[[HttpResponse], bool] = _accept_any,
    ) -> HttpExchange:
        """Return an exchange, without a task of its own, that ``begin`` sends.

        Parameters
        ----------
        on_done
            Called once with the result, unless the exchange is cancelled.
        accepts
            Whether a whole response belongs to this exchange. If not, its connection is closed;
            the response is handed to ``on_done`` all the same.
        """
        return HttpExchange(request, on_done, accepts, self._body_bytes)

    def begin(
        self,
        exchange: HttpExchange,
        host: str,
        port: int,
        timeout_seconds: float,
        connection_limit: int | None = None,
        max_idle_seconds: float | None = None,
    ) -> None:
        """Send a prepared exchange to ``host`` (an IP number); ``on_done`` may be called at once.

        Parameters
        ----------
        connection_limit
            The most connections to this address.
        max_idle_seconds
            A connection that was idle for longer is not used; default: the client's limit.
        """
        exchange.limit_time(self._loop, timeout_seconds)
        limit = connection_limit or self._connection_limit
        exchange.begin(self._pool, (host, port), limit, max_idle_seconds)

    async def request(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_seconds: float = 5.0,
    ) -> HttpResult:
        """Make an exchange and wait for its end; cancelling the task ends the exchange."""
        future: asyncio.Future[HttpResult] = self._loop.create_future()
        request = _outgoing(method, path, headers, body)
        exchange = self.prepare(request, _resolve(future))
        self.begin(exchange, host, port, timeout_seconds)
        try:
            return await future
        except asyncio.CancelledError:
            exchange.cancel()
            raise

    async def open_stream(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_seconds: float = 5.0,
    ) -> HttpStream | Failure[HttpFailureKind]:
        """Begin an exchange and return once status and headers are there.

        ``timeout_seconds`` bounds the wait for the headers; the body may take any time. The
        stream owns a connection until it ends or is closed.
        """
        reader = StreamReader(_outgoing(method, path, headers, body))
        return await reader.open(self._pool, (host, port), self._connection_limit, timeout_seconds)

    async def close(self) -> None:
        """End every connection; exchanges under way fail."""
        await self._pool.close()


def _outgoing(
    method: str,
    path: str,
    headers: Mapping[str, str] | None,
    body: bytes,
) -> OutgoingRequest:
    return OutgoingRequest(method.encode(), path.encode(), headers_to_raw(headers or {}), body)


def _resolve(future: asyncio.Future[HttpResult]) -> Callable[[HttpResult], None]:
    def resolve(result: HttpResult) -> None:
        if not future.done():
            future.set_result(result)

    return resolve
