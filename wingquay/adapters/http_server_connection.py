"""One server connection: reads a request, runs its handler, writes the response, repeats."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from enum import Enum
from http import HTTPStatus
from typing import Protocol, cast

import h11

from .http_messages import (
    ConnectionCutError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    headers_to_raw,
)
from .http_request_reader import MAX_EVENT_BYTES, ReadProgress, RequestReader, RequestRefusal
from .round_trip import round_trip_seconds

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class ConnectionOwner(Protocol):
    """What a connection asks of the server that made it."""

    handler: Handler
    limits: HttpLimits
    refuse: Callable[[int, str], HttpResponse]
    is_leaving: bool
    measures_transit: bool

    def is_over_connection_limit(self) -> bool:
        """Whether the connection just made is one too many."""
        ...

    def connection_ended(self, connection: "ServerConnection") -> None:
        """Forget a connection."""
        ...


LINGER_SECONDS = 2.0
"""How long a closing connection waits for its client to end too.

Without the wait, closing while unread bytes of the client are there would reset the connection
and could destroy the response on its way (RFC 9112, section 9.6).
"""
PIPELINED_BYTES = 65_536
"""Bytes taken in ahead while a request is being handled; then reading pauses."""

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_END_OF_MESSAGE = h11.EndOfMessage()


class _Phase(Enum):
    READING = "reading"
    HANDLING = "handling"
    CLOSING = "closing"
    """The last response is written; what still comes is discarded."""


class ServerConnection(asyncio.Protocol):
    """A connection from a client; requests on it are handled one after another.

    A client that ends its direction counts as gone: asyncio then closes the connection.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        max_event_bytes = max(MAX_EVENT_BYTES, server.limits.header_bytes)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_event_bytes)
        self._reader = RequestReader(self._http, lambda: server.limits)
        self._transport: asyncio.Transport | None = None
        self._phase = _Phase.READING
        self._has_partial_request = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._pipelined_bytes = 0
        self._is_first_request = True
        self._writable = asyncio.Event()
        self._writable.set()
        self._stall_timer: asyncio.TimerHandle | None = None
        self._closed: asyncio.Future[None] = self._loop.create_future()

    def leave(self) -> asyncio.Future[None]:
        """Close once nothing is in flight; the future is done when the connection has ended."""
        if self._phase is _Phase.READING and not self._has_partial_request:
            self._close()
        return self._closed

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve, unless there are too many connections (asyncio calls this)."""
        self._transport = cast(asyncio.Transport, transport)
        if self._server.is_over_connection_limit():
            reason = f"more than {self._server.limits.connections} connections"
            self._write_whole(self._server.refuse(503, reason))
            self._phase = _Phase.CLOSING
            self._close()
            return
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of requests (asyncio calls this)."""
        if self._phase is _Phase.CLOSING:
            return
        self._http.receive_data(data)
        if self._phase is _Phase.HANDLING:
            self._count_pipelined(len(data))
            return
        self._read_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what was in flight (asyncio calls this)."""
        self._phase = _Phase.CLOSING
        self._cancel_task()
        self._set_timer(None)
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._writable.set()
        self._server.connection_ended(self)
        if not self._closed.done():
            self._closed.set_result(None)

    def pause_writing(self) -> None:
        """Wait for the client to take in what was written (asyncio calls this)."""
        self._writable.clear()
        self._watch_stall(self._buffered_bytes())

    def resume_writing(self) -> None:
        """Go on writing (asyncio calls this)."""
        self._writable.set()
        if self._stall_timer is not None:
            self._stall_timer.cancel()

    # Reading

    def _wait_for_request(self) -> None:
        self._phase = _Phase.READING
        self._set_timer(self._server.limits.idle_seconds, self._close)

    def _read_request(self) -> None:
        read = self._reader.next_request()
        if read is ReadProgress.MORE_NEEDED:
            self._wait_for_rest()
        elif isinstance(read, HttpRequest):
            self._start_handler(read)
        elif isinstance(read, RequestRefusal):
            self._refuse(read.status, read.reason)
        else:
            self.abort()

    def _wait_for_rest(self) -> None:
        if not self._has_partial_request:
            self._has_partial_request = True
            self._set_timer(self._server.limits.request_read_seconds, self._refuse_slow)
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(informational))

    def _refuse_slow(self) -> None:
        seconds = self._server.limits.request_read_seconds
        self._refuse(408, f"request was not whole within {seconds:g} s")

    def _refuse(self, status: int, reason: str) -> None:
        """Answer what cannot be handled, and end the connection."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        self._write_whole(self._server.refuse(status, reason))
        self._shut_down()

    def _count_pipelined(self, size_bytes: int) -> None:
        assert self._transport is not None
        self._pipelined_bytes += size_bytes
        if self._pipelined_bytes > PIPELINED_BYTES:
            self._transport.pause_reading()

    # Handling

    def _start_handler(self, request: HttpRequest) -> None:
        self._phase = _Phase.HANDLING
        self._has_partial_request = False
        request = self._with_client(request)
        self._set_timer(None)
        self._task = self._loop.create_task(self._handle(request))

    def _with_client(self, request: HttpRequest) -> HttpRequest:
        """Add where the request came from, and what its client spends on the network for it."""
        if not self._server.measures_transit or self._transport is None:
            return request
        transit_seconds = round_trip_seconds(self._transport)
        if self._is_first_request:
            transit_seconds *= 2.0
        self._is_first_request = False
        peer = self._transport.get_extra_info("peername")
        client_host = str(peer[0]) if peer else ""
        return replace(request, transit_seconds=transit_seconds, client_host=client_host)

    async def _handle(self, request: HttpRequest) -> None:
        try:
            response = await self._server.handler(request)
        except ConnectionCutError:
            self.abort()
            return
        except Exception as error:  # noqa: BLE001 - exceptions stop at the rim
            self._report("request handler failed", error)
            response = self._server.refuse(500, "internal error")
        try:
            await self._respond(response)
        except ConnectionCutError:
            self._close()
            return
        except Exception as error:  # noqa: BLE001 - exceptions stop at the rim
            self._report("response could not be sent", error)
            self.abort()
            return
        self._task = None
        self._next_cycle()

    async def _respond(self, response: HttpResponse) -> None:
        if isinstance(response.body, bytes):
            self._write_whole(response)
            return
        self._write(self._http.send(self._response_head(response)))
        await self._write_stream(response.body)
        self._write(self._http.send(_END_OF_MESSAGE))

    def _next_cycle(self) -> None:
        if self._phase is not _Phase.HANDLING:
            return
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            self._shut_down()
            return
        assert self._transport is not None
        http.start_next_cycle()
        self._reader.forget_request()
        self._pipelined_bytes = 0
        self._transport.resume_reading()
        self._wait_for_request()
        if http.trailing_data[0]:
            self._read_request()

    def _cancel_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _report(self, message: str, error: Exception) -> None:
        self._loop.call_exception_handler({"message": message, "exception": error})

    # Writing

    def _write_whole(self, response: HttpResponse) -> None:
        body = response.whole_body
        head = self._response_head(response)
        data = self._http.send(head) or b""
        if body and not self._reader.is_head_request:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(_END_OF_MESSAGE) or b""
        self._write(data)

    async def _write_stream(self, pieces: AsyncIterator[bytes]) -> None:
        async for piece in pieces:
            if piece and not self._reader.is_head_request:
                self._write(self._http.send(h11.Data(data=piece)))
            await self._writable.wait()

    def _response_head(self, response: HttpResponse) -> h11.Response:
        headers = [*headers_to_raw(response.headers), *response.raw_headers]
        if isinstance(response.body, bytes):
            headers.append((b"content-length", b"%d" % len(response.body)))
        if self._server.is_leaving or self._http.their_state is h11.ERROR:
            headers.append((b"connection", b"close"))
        phrase = _PHRASES.get(response.status, b"")
        return h11.Response(status_code=response.status, headers=headers, reason=phrase)

    def _write(self, data: bytes | None) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    # Closing and timers

    def _shut_down(self) -> None:
        """End our direction and wait for the client to end its own."""
        assert self._transport is not None
        self._phase = _Phase.CLOSING
        if self._transport.is_closing():
            return
        self._transport.resume_reading()
        self._transport.write_eof()
        self._watch_linger(self._buffered_bytes())

    def _watch_linger(self, last_buffered_bytes: int) -> None:
        self._set_timer(LINGER_SECONDS, self._linger_ended, last_buffered_bytes)

    def _linger_ended(self, last_buffered_bytes: int) -> None:
        buffered_bytes = self._buffered_bytes()
        if buffered_bytes < last_buffered_bytes:
            self._watch_linger(buffered_bytes)
        else:
            self.abort()

    def _watch_stall(self, last_buffered_bytes: int) -> None:
        seconds = self._server.limits.write_stall_seconds
        self._stall_timer = self._loop.call_later(seconds, self._check_stall, last_buffered_bytes)

    def _check_stall(self, last_buffered_bytes: int) -> None:
        buffered_bytes = self._buffered_bytes()
        if buffered_bytes < last_buffered_bytes:
            self._watch_stall(buffered_bytes)
        else:
            self.abort()

    def _buffered_bytes(self) -> int:
        assert self._transport is not None
        return self._transport.get_write_buffer_size()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _set_timer(
        self,
        seconds: float | None,
        callback: Callable[..., None] | None = None,
        *arguments: int,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None and callback is not None:
            self._timer = self._loop.call_later(seconds, callback, *arguments)
