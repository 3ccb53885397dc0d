"""One connection to a replica; answers are matched to requests by the request's id.

A replica may send more than it was asked for: a surplus answer may stand where the next one is
due. Such an answer is passed over by its id, and its connection serves no further request. All
attempts of a request share its id, so a connection must not carry the same request twice;
``has_carried`` tells whether it has.
Source: RFC 9112; the wire format itself is h11's job.
"""

import asyncio
from collections.abc import Callable
from functools import lru_cache
from typing import Any, cast

import h11

from ..model.value import value
from .http_messages import RawHeaders

HEADER_BYTES = 32_768
BODY_BYTES = 16_777_216
KNOWN_METHODS = 16
"""Methods for which the parser's notice is kept."""
SURPLUS_ANSWERS = 3
"""Answers to other requests that are passed over before the connection is given up."""

_END_OF_MESSAGE = h11.EndOfMessage()


@value
class RawAnswer:
    """A whole answer as it came, without being understood."""

    status: int
    headers: RawHeaders
    body: bytes


@value
class RawSending:
    """A request ready to be sent and where its outcome goes.

    Parameters
    ----------
    request_id
        Id of the request, which all its attempts share.
    retryable_until
        Time on the loop's clock until which the request may be sent again.
    data
        The whole request.
    method
        Its method, by which the end of an answer is found.
    belongs
        Whether an answer belongs to this request.
    on_answer
        Takes the answer.
    on_broken
        Takes the reason why no whole answer came, and whether what came was malformed.
    """

    request_id: str
    retryable_until: float
    data: bytes
    method: bytes
    belongs: Callable[[RawAnswer], bool]
    on_answer: Callable[[RawAnswer], None]
    on_broken: Callable[[str, bool], None]


class ReplicaConnection(asyncio.Protocol):
    """Serves one request at a time.

    Parameters
    ----------
    on_free
        Called when an answer is whole and the connection can serve another request.
    on_closed
        Called once when it has ended or is being ended.
    """

    def __init__(
        self,
        on_free: Callable[["ReplicaConnection"], None],
        on_closed: Callable[["ReplicaConnection"], None],
    ) -> None:
        self.usable_until = float("inf")
        """Time on the loop's clock until which the replica keeps it open while idle."""
        self._on_free = on_free
        self._on_closed = on_closed
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_BYTES)
        self._transport: asyncio.Transport | None = None
        self._sending: RawSending | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._surplus = 0
        self._carried: dict[str, float] = {}
        """The requests that were sent here and may be sent again, with the time until then."""
        self._is_closed = False
        self._has_begun = False

    @property
    def surplus_answers(self) -> int:
        """Number of answers to other requests that were passed over."""
        return self._surplus

    @property
    def has_begun_answer(self) -> bool:
        """Whether a byte has arrived since the request under way was sent."""
        return self._has_begun

    def has_carried(self, request_id: str) -> bool:
        """Return whether an earlier attempt of a request was sent on this connection."""
        return request_id in self._carried

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport (asyncio calls this)."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, sending: RawSending) -> None:
        """Send a request; one of its callbacks is called unless the connection is aborted."""
        assert self._transport is not None
        self._remember(sending)
        self._sending = sending
        self._has_begun = False
        self._head = None
        self._body.clear()
        self._expect_answer(sending.method)
        self._transport.write(sending.data)

    def abort(self) -> None:
        """End the connection at once; nothing more is heard of its request."""
        self._sending = None
        if self._transport is not None:
            self._transport.abort()
        if not self._is_closed:
            self._is_closed = True
            self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes of an answer (asyncio calls this)."""
        if self._sending is None:
            self.abort()
            return
        self._take(data)

    def eof_received(self) -> None:
        """Take in that nothing more comes, which may end an answer (asyncio calls this)."""
        if self._sending is not None and self._has_begun:
            self._take(b"")
        if self._sending is not None:
            self._fail("connection ended before the answer was whole", False)
        else:
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request, if any (asyncio calls this)."""
        self._fail(f"connection lost: {error or 'closed'}", False)

    def _remember(self, sending: RawSending) -> None:
        """Remember a request, and forget the oldest ones that can't be sent again."""
        now = asyncio.get_running_loop().time()
        while self._carried:
            oldest = next(iter(self._carried))
            if self._carried[oldest] > now:
                break
            del self._carried[oldest]
        self._carried[sending.request_id] = sending.retryable_until

    def _take(self, data: bytes) -> None:
        self._has_begun = self._has_begun or bool(data)
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(f"malformed answer: {error}", True)

    def _read_events(self) -> None:
        sending = self._sending
        while self._sending is sending and sending is not None:
            event: Any = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            kind = type(event)
            if kind is h11.Response:
                self._head = event
            elif kind is h11.Data:
                self._body += event.data
                if len(self._body) > BODY_BYTES:
                    self._fail("answer too large", True)
            elif kind is h11.EndOfMessage:
                self._finish(sending)
            elif kind is h11.ConnectionClosed:
                self._fail("connection ended before the answer", False)

    def _finish(self, sending: RawSending) -> None:
        assert self._head is not None
        raw_headers = cast(RawHeaders, list(self._head.headers))
        answer = RawAnswer(self._head.status_code, raw_headers, bytes(self._body))
        if not sending.belongs(answer):
            self._pass_over(sending)
            return
        self._sending = None
        if self._can_be_reused():
            self._note_idle_limit(raw_headers)
            self._http.start_next_cycle()
            self._on_free(self)
        else:
            self.abort()
        sending.on_answer(answer)

    def _pass_over(self, sending: RawSending) -> None:
        """Read on behind a surplus answer, as if the request had just been sent."""
        self._surplus += 1
        rest, is_ended = self._http.trailing_data
        if is_ended or self._surplus > SURPLUS_ANSWERS:
            self._fail("answer belongs to another request", True)
            return
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_BYTES)
        self._expect_answer(sending.method)
        self._head = None
        self._body.clear()
        if rest:
            self._http.receive_data(rest)

    def _expect_answer(self, method: bytes) -> None:
        """Tell the parser that a request by this method is on its way."""
        self._http.send(_request_by(method))
        self._http.send(_END_OF_MESSAGE)

    def _can_be_reused(self) -> bool:
        assert self._transport is not None
        http = self._http
        return (
            not self._surplus
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def _note_idle_limit(self, headers: RawHeaders) -> None:
        for name, text in headers:
            if name != b"keep-alive":
                continue
            for part in text.decode("latin-1").split(","):
                key, _, seconds = part.strip().partition("=")
                if key.lower() == "timeout" and seconds.isdigit():
                    # Requests on their way when the replica closes would be lost.
                    kept_seconds = max(0.0, int(seconds) - 0.5)
                    self.usable_until = asyncio.get_running_loop().time() + kept_seconds

    def _fail(self, reason: str, is_malformed: bool) -> None:
        sending = self._sending
        self.abort()
        if sending is not None:
            sending.on_broken(reason, is_malformed)


@lru_cache(maxsize=KNOWN_METHODS)
def _request_by(method: bytes) -> h11.Request:
    return h11.Request(method=method, target=b"/", headers=[(b"Host", b"replica")])
