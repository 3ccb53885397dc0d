"""Reads whole requests off a server connection, within limits."""

from collections.abc import Callable
from enum import Enum
from typing import Any, cast
from urllib.parse import parse_qsl

import h11

from ..model.value import value
from .http_messages import (
    HttpLimits,
    HttpRequest,
    RawHeaders,
    headers_from_raw,
)

HEADER_SEPARATORS_BYTES = 4
"""Colon, space and line end of a header line."""
MAX_EVENT_BYTES = 1 << 20
"""Bytes that the protocol library buffers for a head or a chunk header. It takes the number once
for a connection, so it is above the usual header limits, which may change and are checked here."""


@value
class RequestRefusal:
    """A request that is not handled: the status of its answer and why."""

    status: int
    reason: str


class ReadProgress(Enum):
    """Why there is no request yet."""

    MORE_NEEDED = "more_needed"
    ENDED = "ended"
    """No further request can follow."""


class RequestReader:
    """Collects the events of one request at a time.

    Parameters
    ----------
    http
        The connection's protocol state; bytes are given to it by the owner.
    limits
        Returns the limits in force, of which ``header_bytes`` and ``body_bytes`` are kept here. A
        request goes by those at the end of its head.
    """

    def __init__(self, http: h11.Connection, limits: Callable[[], HttpLimits]) -> None:
        self._http = http
        self._limits_in_force = limits
        self._limits = limits()
        self._head: h11.Request | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    @property
    def is_head_request(self) -> bool:
        """Whether the present request is a ``HEAD``, whose response has no body."""
        return self._head is not None and self._head.method == b"HEAD"

    def next_request(self) -> HttpRequest | RequestRefusal | ReadProgress:
        """Return the next request if it is whole, or why there is none."""
        try:
            return self._read()
        except h11.RemoteProtocolError as error:
            return RequestRefusal(error.error_status_hint, str(error))

    def forget_request(self) -> None:
        """Make ready for the next request, after the response to the present one."""
        self._head = None

    def _read(self) -> HttpRequest | RequestRefusal | ReadProgress:
        while True:
            event: Any = self._http.next_event()
            if event is h11.NEED_DATA:
                return self._check_partial_head() or ReadProgress.MORE_NEEDED
            if isinstance(event, h11.EndOfMessage):
                return self._whole_request()
            if isinstance(event, h11.Request):
                refusal = self._take_head(event)
            elif isinstance(event, h11.Data):
                refusal = self._take_body(event)
            else:
                return ReadProgress.ENDED
            if refusal is not None:
                return refusal

    def _check_partial_head(self) -> RequestRefusal | None:
        """Refuse a head that is too long before it is whole."""
        if self._http.their_state is not h11.IDLE:
            return None
        buffered, _ = self._http.trailing_data
        return self._check_head_bytes(len(buffered), self._limits_in_force().header_bytes)

    @staticmethod
    def _check_head_bytes(size_bytes: int, limit_bytes: int) -> RequestRefusal | None:
        if size_bytes <= limit_bytes:
            return None
        return RequestRefusal(431, f"request line and headers exceed {limit_bytes} bytes")

    def _take_head(self, head: h11.Request) -> RequestRefusal | None:
        self._limits = self._limits_in_force()
        raw_headers = list(cast(RawHeaders, head.headers))
        head_bytes = _head_bytes(head, raw_headers)
        refusal = self._check_head_bytes(head_bytes, self._limits.header_bytes)
        if refusal is not None:
            return refusal
        self._head = head
        self._headers = headers_from_raw(raw_headers)
        self._body.clear()
        return self._check_body_bytes(int(self._headers.get("content-length", "0")))

    def _take_body(self, data: h11.Data) -> RequestRefusal | None:
        self._body += data.data
        return self._check_body_bytes(len(self._body))

    def _check_body_bytes(self, size_bytes: int) -> RequestRefusal | None:
        limit_bytes = self._limits.body_bytes
        if size_bytes <= limit_bytes:
            return None
        return RequestRefusal(413, f"request body exceeds {limit_bytes} bytes")

    def _whole_request(self) -> HttpRequest:
        assert self._head is not None
        method = self._head.method.decode("ascii")
        path, _, query_text = self._head.target.decode("ascii").partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True)) if query_text else {}
        head = self._head
        raw_headers = head.headers.raw_items()
        return HttpRequest(
            method, path, query, self._headers, bytes(self._body), head.target, raw_headers
        )


def _head_bytes(head: h11.Request, headers: RawHeaders) -> int:
    size_bytes = len(head.method) + len(head.target) + HEADER_SEPARATORS_BYTES * len(headers)
    return size_bytes + sum([len(name) + len(value) for name, value in headers])
