"""HTTP requests, responses, limits and failures as the adapters pass them around.

Source: RFC 9110 (semantics) and RFC 9112 (HTTP/1.1); the wire format itself is h11's job.
"""

from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from ..model.value import value

HEADER_ENCODING = "latin-1"
"""Header bytes map to text one to one."""

RawHeaders = list[tuple[bytes, bytes]]
"""Header names and values as h11 takes and gives them."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request, its body included.

    Parameters
    ----------
    method
        In capitals.
    path
        The request target up to the question mark, percent-encoding left as it came.
    query
        Decoded query parameters; the last of a repeated name counts.
    headers
        Names in lower case; values of a repeated name joined by ``", "``.
    target, raw_headers
        The request target and the headers exactly as they came.
    transit_seconds
        Time that its client spends on the network for it: its way here and the answer's way
        back, and the connection's set-up if it is the first one on it. 0 where unknown.
    client_host
        The address that it came from, without the port; empty where unknown.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    target: bytes = b""
    raw_headers: Sequence[tuple[bytes, bytes]] = ()
    transit_seconds: float = 0.0
    client_host: str = ""


@value
class HttpResponse:
    """A response; ``body`` is either whole or (server side only) a stream sent in chunks.

    ``content-length``, ``transfer-encoding`` and ``connection`` are added by the server.
    ``raw_headers`` follow ``headers`` exactly as they are.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | AsyncIterator[bytes] = b""
    raw_headers: Sequence[tuple[bytes, bytes]] = ()

    @property
    def whole_body(self) -> bytes:
        """The body of a response that is not streamed (empty for one that is)."""
        return self.body if isinstance(self.body, bytes) else b""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """What a client may cost a server.

    Parameters
    ----------
    header_bytes
        Request line and headers; beyond it the answer is 431.
    body_bytes
        Request body; beyond it the answer is 413.
    idle_seconds
        How long a connection may stay open between requests.
    request_read_seconds
        From a request's first byte to its last; beyond it the answer is 408.
    write_stall_seconds
        How long a client may take nothing of an answer that waits to be sent.
    connections
        Open at once; further ones are answered 503 and closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    idle_seconds: float = 60.0
    request_read_seconds: float = 10.0
    write_stall_seconds: float = 10.0
    connections: int = 1_000


class ConnectionCutError(Exception):
    """Raised by a handler or a response's stream: close the connection without more bytes."""


class HttpFailureKind(Enum):
    """Why an exchange brought no whole response."""

    CONNECT_FAILED = "connect_failed"
    """No connection could be made in time: nothing was sent."""
    NO_CONNECTION_FREE = "no_connection_free"
    """The connection limit is reached: nothing was sent."""
    UNSENDABLE = "unsendable"
    """The request has no valid form on the wire: nothing was sent."""
    BROKEN = "broken"
    """The connection ended or the response was malformed after bytes had left."""
    TOO_LARGE = "too_large"
    """The response exceeds its limit; the request may have been carried out."""
    TIMED_OUT = "timed_out"
    """No whole response in time, after bytes had left."""


NOT_SENT_KINDS = frozenset(
    {
        HttpFailureKind.CONNECT_FAILED,
        HttpFailureKind.NO_CONNECTION_FREE,
        HttpFailureKind.UNSENDABLE,
    }
)
"""Failures after which certainly no byte of the request had left this process."""


def headers_from_raw(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by lower-case name; values of a repeated name are joined by ``", "``."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode(HEADER_ENCODING)
        value = raw_value.decode(HEADER_ENCODING)
        if name in headers:
            value = f"{headers[name]}, {value}"
        headers[name] = value
    return headers


def headers_to_raw(headers: Mapping[str, str]) -> RawHeaders:
    """Return headers as h11 takes them; characters that no header can carry become ``?``."""
    return [
        (
            name.encode(HEADER_ENCODING, "replace"),
            value.encode(HEADER_ENCODING, "replace"),
        )
        for name, value in headers.items()
    ]
