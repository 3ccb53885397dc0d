"""Callers' requests and the replies to them, as the platform writes them."""

from collections.abc import Iterable

import orjson

from ..adapters.forwarding_server import Reply
from ..adapters.http_messages import HEADER_ENCODING, HttpRequest, HttpResponse
from ..ports.forwarding import (
    ForwardFailureKind,
    ForwardRequested,
    OpaqueRequest,
    ReplyFailure,
    ReplyMerged,
)
from .header_lists import end_to_end
from .names import (
    AUTHORIZATION,
    AUTHORIZATION_SCHEME,
    DEADLINE_MS,
    EXPECTED_REPLICA,
    MERGED_SIGNATURES,
    MISSING_SHARDS,
    REQUEST_ID,
    RETRY_AFTER,
    TENANT,
)

MILLISECONDS_PER_SECOND = 1000.0
STATUS = {
    ForwardFailureKind.NO_ROUTE: 404,
    ForwardFailureKind.UNKNOWN_CALLER: 401,
    ForwardFailureKind.OVER_LIMIT: 429,
    ForwardFailureKind.NOT_RUN: 503,
    ForwardFailureKind.FAILED: 502,
    ForwardFailureKind.TIMED_OUT: 504,
}
SIGNATURES_PER_LINE = 50
SCHEME_AND_KEY = 2
"""Parts of a header that shows a key."""
CHALLENGE = "WWW-Authenticate"
"""Tells a caller without a known key how to show one (RFC 9110, section 11.6.1)."""

_SET_BY_US = frozenset({DEADLINE_MS.lower(), EXPECTED_REPLICA.lower(), b"expect"})
_REQUEST_ID_KEY = REQUEST_ID.decode().lower()
_DEADLINE_KEY = DEADLINE_MS.decode().lower()
_AUTHORIZATION_KEY = AUTHORIZATION.lower()
_SCHEME_KEY = AUTHORIZATION_SCHEME.lower()
_TENANT_KEY = TENANT.lower()
_AUTHORIZATION_TEXT = _AUTHORIZATION_KEY.decode()
_TENANT_TEXT = _TENANT_KEY.decode()
_OF_CALLER = frozenset({_AUTHORIZATION_KEY, _TENANT_KEY})
_JSON = {"content-type": "application/json"}


class PlatformCallerDialect:
    """Understands requests and writes replies."""

    def understand(self, exchange_id: int, request: HttpRequest) -> ForwardRequested | HttpResponse:
        """Return a request in the terms of the port."""
        request_id = request.headers.get(_REQUEST_ID_KEY, "")
        if not request_id:
            return self.refusal(400, "header Request-Id is missing")
        host = request.headers.get("host", "")
        opaque = OpaqueRequest(
            request.method.encode("ascii"),
            request.target,
            end_to_end(request.raw_headers, _SET_BY_US),
            request.body,
        )
        key, stripped_request = _caller_secrets(request, opaque)
        return ForwardRequested(
            exchange_id,
            request_id,
            host.rpartition(":")[0] if ":" in host else host,
            request.path,
            opaque,
            _deadline_seconds(request.headers.get(_DEADLINE_KEY)),
            request.transit_seconds,
            request.client_host,
            key,
            stripped_request,
        )

    def response(self, reply: Reply) -> HttpResponse:
        """Return a reply as the caller takes it."""
        if isinstance(reply, ReplyFailure):
            return _failure(reply)
        if isinstance(reply, ReplyMerged):
            return _merged(reply)
        answer = reply.answer
        return HttpResponse(answer.status, {}, answer.body, end_to_end(answer.headers))

    def refusal(self, status: int, reason: str) -> HttpResponse:
        """Return the answer to a request that the server itself refuses."""
        return HttpResponse(status, _JSON, orjson.dumps({"error": reason}))


def _caller_secrets(
    request: HttpRequest, opaque: OpaqueRequest
) -> tuple[str, OpaqueRequest | None]:
    """Return the key that a caller shows, and its request without what says who calls."""
    if _AUTHORIZATION_TEXT not in request.headers and _TENANT_TEXT not in request.headers:
        return "", None
    key = _key(request.raw_headers)
    headers = tuple(pair for pair in opaque.headers if pair[0].lower() not in _OF_CALLER)
    if len(headers) == len(opaque.headers):
        return key, None
    return key, OpaqueRequest(opaque.method, opaque.target, headers, opaque.body)


def _key(raw_headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the key that all headers show; none if they differ, since nobody knows who calls."""
    shown = {_key_in(text) for name, text in raw_headers if name.lower() == _AUTHORIZATION_KEY}
    return shown.pop() if len(shown) == 1 else ""


def _key_in(text: bytes) -> str:
    """Return the key in one header; empty if it is of another scheme or form."""
    parts = text.split(None, 1)
    if len(parts) < SCHEME_AND_KEY or parts[0].lower() != _SCHEME_KEY:
        return ""
    key = parts[1].rstrip()
    try:
        return key.decode()
    except UnicodeDecodeError:
        # No key of a configuration can be meant; one header byte is one sign in any case.
        return key.decode(HEADER_ENCODING)


def _deadline_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text)) / MILLISECONDS_PER_SECOND
    except ValueError:
        return None


def _failure(reply: ReplyFailure) -> HttpResponse:
    headers = dict(_JSON)
    if reply.retry_after_seconds is not None:
        headers[RETRY_AFTER.decode()] = f"{reply.retry_after_seconds:.3f}"
    if reply.kind is ForwardFailureKind.UNKNOWN_CALLER:
        headers[CHALLENGE] = AUTHORIZATION_SCHEME.decode()
    body = orjson.dumps({"error": reply.reason})
    return HttpResponse(STATUS[reply.kind], headers, body)


def _merged(reply: ReplyMerged) -> HttpResponse:
    signatures = reply.signatures
    headers = [
        (MERGED_SIGNATURES, ", ".join(signatures[start : start + SIGNATURES_PER_LINE]).encode())
        for start in range(0, len(signatures), SIGNATURES_PER_LINE)
    ]
    if reply.missing_shards:
        headers.append((MISSING_SHARDS, b"%d" % reply.missing_shards))
    return HttpResponse(200, {}, reply.body, headers)
