"""Errors for programs and people: problem details (RFC 9457) as JSON."""

import math
from collections.abc import Mapping
from http import HTTPStatus

import orjson

from .http_messages import HttpResponse

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"

PROBLEM_PATH = "/problems/"
"""Problem types are references such as ``/problems/invalid``; ``docs/INTERFACE.md`` lists them."""

_REFUSAL_NAMES = {
    400: "malformed-request",
    408: "slow-request",
    413: "body-too-large",
    431: "headers-too-large",
    500: "internal-error",
    501: "not-implemented",
    503: "too-many-connections",
}

REFUSAL_RETRY_SECONDS = 1.0


def json_response(
    status: int,
    document: object,
    headers: Mapping[str, str] | None = None,
) -> HttpResponse:
    """Return ``document`` (dataclasses are understood) as a JSON response."""
    all_headers = {"content-type": JSON_TYPE, **(headers or {})}
    return HttpResponse(status, all_headers, orjson.dumps(document))


def problem(
    status: int,
    name: str,
    detail: str,
    headers: Mapping[str, str] | None = None,
    members: Mapping[str, object] | None = None,
) -> HttpResponse:
    """Return a problem.

    Parameters
    ----------
    name
        Last part of the problem's type.
    detail
        One sentence for people about this very occurrence.
    members
        Extension members, for programs.
    """
    document = {
        "type": PROBLEM_PATH + name,
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
        **(members or {}),
    }
    all_headers = {"content-type": PROBLEM_TYPE, **(headers or {})}
    return HttpResponse(status, all_headers, orjson.dumps(document))


def server_refusal(status: int, reason: str) -> HttpResponse:
    """Render what an HTTP server refuses by itself."""
    headers = retry_after(REFUSAL_RETRY_SECONDS) if status == HTTPStatus.SERVICE_UNAVAILABLE else {}
    return problem(status, _REFUSAL_NAMES.get(status, "refused"), reason, headers)


def retry_after(seconds: float) -> dict[str, str]:
    """Return the ``Retry-After`` header, in whole seconds rounded up, at least 1."""
    return {"retry-after": str(max(1, math.ceil(seconds)))}
