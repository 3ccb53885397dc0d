"""A response read piece by piece, for watches that last."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator

from ..model.failure import Failure
from .http_client_connection import (
    ClientConnection,
    ExchangeReader,
    OutgoingRequest,
)
from .http_connection_pool import Address, HttpConnectionPool
from .http_messages import HttpFailureKind

MAX_WAITING_BYTES = 16_777_216
"""A stream whose reader falls further behind is ended."""


class StreamReader(ExchangeReader):
    """Collects the pieces of a response until they are read."""

    def __init__(self, request: OutgoingRequest) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.failure: Failure[HttpFailureKind] | None = None
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._started: asyncio.Future[None] = self._loop.create_future()
        self._connection: ClientConnection | None = None
        self._pieces: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._has_ended = False
        self._changed = asyncio.Event()

    async def open(
        self,
        pool: HttpConnectionPool,
        address: Address,
        connection_limit: int,
        timeout_seconds: float,
    ) -> "HttpStream | Failure[HttpFailureKind]":
        """Send the request and wait for status and headers."""
        connecting = None
        idle = pool.borrow_idle(address)
        if idle is not None:
            self._borrowed(idle)
        else:
            connecting = pool.connect(address, connection_limit, self._borrowed)
        if isinstance(connecting, Failure):
            return connecting
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._started
        except TimeoutError:
            self._time_out(timeout_seconds)
        finally:
            if connecting is not None:
                connecting.cancel()
            if self.failure is not None or not self._started.done():
                self.close()
        return self.failure or HttpStream(self)

    async def next_piece(self) -> bytes | None:
        """Return the next piece of the body, or ``None`` at its end or failure."""
        while not self._pieces:
            if self._has_ended:
                return None
            self._changed.clear()
            await self._changed.wait()
        piece = self._pieces.popleft()
        self._waiting_bytes -= len(piece)
        return piece

    def close(self) -> None:
        """End the exchange; its connection is closed unless the response was whole."""
        if self._connection is not None:
            self._connection.abort()
        self._end()

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Take in status and headers."""
        self.status = status
        self.headers = headers
        self._mark_started()

    def body_received(self, data: bytes) -> Failure[HttpFailureKind] | None:
        """Keep a piece of the body until it is read."""
        self._waiting_bytes += len(data)
        if self._waiting_bytes > MAX_WAITING_BYTES:
            reason = f"more than {MAX_WAITING_BYTES} bytes wait to be read"
            return Failure(HttpFailureKind.TOO_LARGE, reason)
        self._pieces.append(data)
        self._changed.set()
        return None

    def accepts_response(self) -> bool:
        """Accept: only the wire format is checked here."""
        return True

    def ended(self) -> None:
        """Take note that the body is whole."""
        self._end()

    def failed(self, failure: Failure[HttpFailureKind]) -> None:
        """Remember why the body is not whole."""
        self.failure = failure
        self._end()

    def _borrowed(self, connection: ClientConnection | Failure[HttpFailureKind]) -> None:
        if isinstance(connection, Failure):
            self.failed(connection)
            return
        self._connection = connection
        failure = connection.start_exchange(self._request, self)
        if failure is not None:
            self.failed(failure)

    def _time_out(self, timeout_seconds: float) -> None:
        was_sent = self._connection is not None
        kind = HttpFailureKind.TIMED_OUT if was_sent else HttpFailureKind.CONNECT_FAILED
        self.failure = Failure(kind, f"no response headers within {timeout_seconds:.3f} s")

    def _end(self) -> None:
        self._has_ended = True
        self._connection = None
        self._mark_started()
        self._changed.set()

    def _mark_started(self) -> None:
        if not self._started.done():
            self._started.set_result(None)


class HttpStream:
    """A response whose headers are there and whose body is read by iterating over it.

    The iteration ends at the end of the body or when the exchange breaks; ``failure`` then tells
    which (``None``: the body was whole). Whoever opened the stream must close it.
    """

    def __init__(self, reader: StreamReader) -> None:
        self._reader = reader
        self.status = reader.status
        self.headers = reader.headers

    @property
    def failure(self) -> Failure[HttpFailureKind] | None:
        """Why the body ended early, if it did."""
        return self._reader.failure

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while (piece := await self._reader.next_piece()) is not None:
            yield piece

    def close(self) -> None:
        """End the exchange."""
        self._reader.close()
