"""One request and its whole response over a pooled connection."""

import asyncio
from collections.abc import Callable

from ..model.failure import Failure
from .http_client_connection import (
    ClientConnection,
    ExchangeReader,
    OutgoingRequest,
)
from .http_connection_pool import Address, HttpConnectionPool
from .http_messages import HttpFailureKind, HttpResponse

HttpResult = HttpResponse | Failure[HttpFailureKind]


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

    def begin(
        self,
        pool: HttpConnectionPool,
        address: Address,
        connection_limit: int,
        max_idle_seconds: float | None,
    ) -> None:
        """Send on an idle connection, or on a new one."""
        connection = pool.borrow_idle(address, max_idle_seconds)
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
        failure = connection.start_exchange(self._request, self)
        if failure is not None:
            self._finish(failure)

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
