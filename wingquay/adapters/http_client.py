"""HTTP/1.1 client: exchanges over pooled keep-alive connections.

Cancelling or timing out an exchange closes its connection, so bytes still due are never read by
another exchange. Failures tell whether a byte of the request may have left (``NOT_SENT_KINDS``):
a kept-alive connection that turns out closed once the request was written counts as "left".
"""

import asyncio
from collections.abc import Callable, Mapping

import h11

from wingquay.adapters.http_client_connection import (
    ClientConnection,
    ExchangeReader,
    OutgoingRequest,
)
from wingquay.adapters.http_connection_pool import Address, HttpConnectionPool
from wingquay.adapters.http_messages import (
    HttpFailureKind,
    HttpResponse,
    headers_to_raw,
)
from wingquay.adapters.http_stream import HttpStream, StreamReader
from wingquay.model.failure import Failure

DEFAULT_CONNECTION_LIMIT = 70
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 16_777_216
DEFAULT_IDLE_SECONDS = 60.0

HttpResult = HttpResponse | Failure[HttpFailureKind]


def _accept_any(_response: HttpResponse) -> bool:
    return True


class HttpExchange(ExchangeReader):
    """One request and its response; ``on_done`` is called once unless it is cancelled."""

    __slots__ = (
        "_accepts",
        "_body_limit_bytes",
        "_connecting",
        "_connection",
        "_headers",
        "_on_done",
        "_pieces",
        "_received_bytes",
        "_request",
        "_response",
        "_status",
        "_timer",
    )

    def __init__(
        self,
        request: OutgoingRequest,
        on_done: Callable[[HttpResult], None],
        accepts: Callable[[HttpResponse], bool],
        body_limit_bytes: int,
    ) -> None:
        self._request = request
        self._on_done = on_done
        self._accepts = accepts
        self._body_limit_bytes = body_limit_bytes
        self._connection: ClientConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._response: HttpResponse | None = None
        self._headers: dict[str, str] = {}
        self._pieces: list[bytes] = []
        self._received_bytes = 0
        self._status = 0

    def cancel(self) -> None:
        """End the exchange and its connection; ``on_done`` is not called any more."""
        self._stop()
        self._on_done = _ignore

    def begin(self, pool: HttpConnectionPool, address: Address, connection_limit: int) -> None:
        """Send on an idle connection, or on a new one."""
        connection = pool.borrow_idle(address)
        if connection is not None:
            self._borrowed(connection)
            return
        connecting = pool.connect(address, connection_limit, self._borrowed)
        if isinstance(connecting, Failure):
            self.failed(connecting)
        else:
            self._connecting = connecting

    def limit_time(self, loop: asyncio.AbstractEventLoop, timeout_seconds: float) -> None:
        """End the exchange with a failure after ``timeout_seconds``."""
        self._timer = loop.call_later(timeout_seconds, self._time_out, timeout_seconds)

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Take in status and headers."""
        self._status = status
        self._headers = headers

    def body_received(self, data: bytes) -> Failure[HttpFailureKind] | None:
        """Take in a piece of the body, up to the limit."""
        self._received_bytes += len(data)
        if self._received_bytes > self._body_limit_bytes:
            reason = f"response body exceeds {self._body_limit_bytes} bytes"
            return Failure(HttpFailureKind.TOO_LARGE, reason)
        self._pieces.append(data)
        return None

    def accepts_response(self) -> bool:
        """Ask whoever began the exchange whether the response is its own."""
        self._response = HttpResponse(self._status, self._headers, b"".join(self._pieces))
        return self._accepts(self._response)

    def ended(self) -> None:
        """Hand out the whole response."""
        assert self._response is not None
        self._finish(self._response)

    def failed(self, failure: Failure[HttpFailureKind]) -> None:
        """Hand out the failure."""
        self._finish(failure)

    def _borrowed(self, connection: ClientConnection | Failure[HttpFailureKind]) -> None:
        self._connecting = None
        if isinstance(connection, Failure):
            self._finish(connection)
            return
        self._connection = connection
        try:
            connection.start_exchange(self._request, self)
        except h11.LocalProtocolError as error:
            connection.abort()
            self._finish(Failure(HttpFailureKind.UNSENDABLE, str(error)))

    def _time_out(self, timeout_seconds: float) -> None:
        was_sent = self._connection is not None
        self._stop()
        kind = HttpFailureKind.TIMED_OUT if was_sent else HttpFailureKind.CONNECT_FAILED
        missing = "whole response" if was_sent else "connection"
        self._finish(Failure(kind, f"no {missing} within {timeout_seconds:.3f} s"))

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _finish(self, result: HttpResult) -> None:
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()
        on_done = self._on_done
        self._on_done = _ignore
        on_done(result)


def _ignore(_result: HttpResult) -> None:
    """Stand in for ``on_done`` once it was called or is not wanted any more."""


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
    ) -> None:
        """Send a prepared exchange to ``host`` (an IP number); ``on_done`` may be called at once.

        Parameters
        ----------
        connection_limit
            The most connections to this address.
        """
        exchange.limit_time(self._loop, timeout_seconds)
        exchange.begin(self._pool, (host, port), connection_limit or self._connection_limit)

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
