"""One client connection: at most one exchange at a time, h11 for the wire format."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, cast

import h11

from ..model.failure import Failure
from ..model.value import value
from .http_messages import HttpFailureKind, RawHeaders, headers_from_raw
from .silence import notice_silence

_END_OF_MESSAGE = h11.EndOfMessage()


@value
class OutgoingRequest:
    """A request ready for the wire; ``host`` and ``content-length`` are added on sending."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes = b""


class ExchangeReader(ABC):
    """Takes in the response of one exchange; after ``ended`` or ``failed`` nothing follows."""

    __slots__ = ()

    @abstractmethod
    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Take in status and headers (names in lower case)."""

    @abstractmethod
    def body_received(self, data: bytes) -> Failure[HttpFailureKind] | None:
        """Take in a piece of the body; a failure ends the exchange."""

    @abstractmethod
    def accepts_response(self) -> bool:
        """Whether the whole response belongs to this exchange; if not, the connection is shut."""

    @abstractmethod
    def ended(self) -> None:
        """Take note that the response is whole."""

    @abstractmethod
    def failed(self, failure: Failure[HttpFailureKind]) -> None:
        """No whole response will come."""


class ClientConnection(asyncio.Protocol):
    """A connection that a pool lends to one exchange after another.

    Bytes can reach an exchange only while it holds the connection. Whenever an exchange ends in
    any way but with a whole response, the connection is aborted, so that what is still due to it
    can never reach the next one.

    Parameters
    ----------
    address
        IP number and port of the other side, for the ``Host`` header.
    on_free
        Called when a response is whole and the connection can serve another exchange.
    on_closed
        Called once when the connection has ended or is being ended.
    """

    def __init__(
        self,
        address: tuple[str, int],
        header_bytes: int,
        on_free: Callable[["ClientConnection"], None],
        on_closed: Callable[["ClientConnection"], None],
    ) -> None:
        self.idle_since_seconds = 0.0
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)
        self._on_free = on_free
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reader: ExchangeReader | None = None
        host, port = address
        self._host = f"[{host}]:{port}".encode() if ":" in host else f"{host}:{port}".encode()
        self._is_closed = False

    @property
    def is_usable(self) -> bool:
        """Whether an exchange can begin on the connection."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and self._reader is None

    def start_exchange(
        self, request: OutgoingRequest, reader: ExchangeReader
    ) -> Failure[HttpFailureKind] | None:
        """Send ``request``; from here on its bytes count as having left.

        A request that has no valid form on the wire is a failure: nothing was sent, and the
        connection is aborted.
        """
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as error:
            self.abort()
            return Failure(HttpFailureKind.UNSENDABLE, str(error))
        assert self._transport is not None
        self._reader = reader
        self._transport.write(data)
        return None

    def _encode(self, request: OutgoingRequest) -> bytes:
        headers = [(b"host", self._host), *request.headers]
        if request.body or request.method == b"POST":
            headers.append((b"content-length", b"%d" % len(request.body)))
        http = self._http
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = http.send(head) or b""
        if request.body:
            data += http.send(h11.Data(data=request.body)) or b""
        http.send(_END_OF_MESSAGE)
        return data

    def abort(self) -> None:
        """End the connection at once; the exchange on it, if any, hears nothing more."""
        self._reader = None
        if self._transport is not None:
            self._transport.abort()
        if not self._is_closed:
            self._is_closed = True
            self._on_closed(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport (asyncio calls this)."""
        self._transport = cast(asyncio.Transport, transport)
        notice_silence(self._transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the response (asyncio calls this)."""
        if self._reader is None:
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._read_events(self._reader)
        except h11.RemoteProtocolError as error:
            self._fail(HttpFailureKind.BROKEN, f"malformed response: {error}")

    def eof_received(self) -> None:
        """Treat the exchange, if any, as broken (asyncio calls this).

        That holds for a body that only the end of the connection ends, too: it cannot be told
        from one cut short.
        """
        self._fail(HttpFailureKind.BROKEN, "connection ended before the response was whole")

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange, if any (asyncio calls this)."""
        self._fail(HttpFailureKind.BROKEN, f"connection lost: {error or 'closed'}")

    def _read_events(self, reader: ExchangeReader) -> None:
        http = self._http
        while self._reader is reader:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                return
            kind = type(event)
            if kind is h11.Data:
                failure = reader.body_received(bytes(event.data))
                if failure is not None:
                    self._fail(failure.kind, failure.reason)
            elif kind is h11.Response:
                reader.response_started(event.status_code, headers_from_raw(event.headers))
            elif kind is h11.EndOfMessage:
                self._finish(reader)
            elif kind is not h11.InformationalResponse:
                self._fail(HttpFailureKind.BROKEN, "connection ended before the response")

    def _finish(self, reader: ExchangeReader) -> None:
        self._reader = None
        accepted = reader.accepts_response()
        if accepted and self._can_be_reused():
            self._http.start_next_cycle()
            self._on_free(self)
        else:
            self.abort()
        reader.ended()

    def _can_be_reused(self) -> bool:
        assert self._transport is not None
        http = self._http
        return (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def _fail(self, kind: HttpFailureKind, reason: str) -> None:
        reader = self._reader
        self.abort()
        if reader is not None:
            reader.failed(Failure(kind, reason))
