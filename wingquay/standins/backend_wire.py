"""The wire format between wingquay and back ends, as a back end reads and writes it."""

import math
from enum import Enum

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from ..adapters.http_messages import HttpRequest, HttpResponse
from ..model.failure import Failure
from ..model.identifiers import (
    AttemptId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from ..model.key_range import KeyRange
from ..ports.backend import LoadReport
from ..simulation.models.backend_messages import BackendExchange, BackendReply, ReplyKind

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"

ATTEMPT_HEADER = "wingquay-attempt"
SNAPSHOT_HEADER = "wingquay-snapshot"
DEADLINE_HEADER = "wingquay-deadline-ms"
VERSIONS_HEADER = "wingquay-versions"
STATE_HEADER = "wingquay-state"
LOAD_HEADER = "endpoint-load-metrics"
"""Load report of the ORCA format in its JSON form."""

MILLISECONDS_PER_SECOND = 1000
DEFAULT_DEADLINE_MS = 60_000

_STATUS = {
    ReplyKind.ANSWERED: 200,
    ReplyKind.NOT_HELD: 409,
    ReplyKind.WRONG_SHARD: 421,
    ReplyKind.ERROR: 500,
    ReplyKind.SHED: 503,
    ReplyKind.DRAINING: 503,
    ReplyKind.DEADLINE_PASSED: 504,
}


class ExchangeFailureKind(Enum):
    """Why a request cannot be read as an exchange."""

    BAD_HEADER = "bad_header"
    BAD_BODY = "bad_body"


class _SearchBody(BaseModel):
    model_config = ConfigDict(frozen=True)

    service: str
    shard: str
    kind: str
    key_ranges: list[tuple[str, str | None]]
    body: str = ""


def exchange_from_http(
    request: HttpRequest,
) -> BackendExchange | Failure[ExchangeFailureKind]:
    """Read a ``POST /search`` request."""
    attempt_id = request.headers.get(ATTEMPT_HEADER, "")
    snapshot = request.headers.get(SNAPSHOT_HEADER)
    deadline = request.headers.get(DEADLINE_HEADER, str(DEFAULT_DEADLINE_MS))
    if not attempt_id or not _is_number(deadline) or not _is_number(snapshot or "0"):
        reason = f"{ATTEMPT_HEADER}, {SNAPSHOT_HEADER} or {DEADLINE_HEADER} is missing or wrong"
        return Failure(ExchangeFailureKind.BAD_HEADER, reason)
    try:
        body = _SearchBody.model_validate_json(request.body)
    except ValidationError as error:
        return Failure(ExchangeFailureKind.BAD_BODY, str(error))
    return BackendExchange(
        attempt_id=AttemptId(attempt_id),
        service=ServiceName(body.service),
        shard_id=ShardId(body.shard),
        kind=RequestKindName(body.kind),
        key_ranges=tuple(KeyRange(start, end) for start, end in body.key_ranges),
        snapshot=None if snapshot is None else SnapshotVersion(int(snapshot)),
        remaining_seconds=int(deadline) / MILLISECONDS_PER_SECOND,
        body=body.body,
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def reply_to_http(reply: BackendReply) -> HttpResponse:
    """Write a reply to ``POST /search``."""
    headers = {ATTEMPT_HEADER: reply.attempt_id, **_load_headers(reply.load)}
    if reply.kind is ReplyKind.ANSWERED:
        headers["content-type"] = JSON_TYPE
        return HttpResponse(200, headers, orjson.dumps(_answer_document(reply)))
    headers["content-type"] = PROBLEM_TYPE
    if reply.retry_after_seconds is not None:
        headers["retry-after"] = str(math.ceil(reply.retry_after_seconds))
    status = _STATUS[reply.kind]
    return HttpResponse(status, headers, orjson.dumps(_problem_document(reply, status)))


def health_to_http(load: LoadReport) -> HttpResponse:
    """Write the health page."""
    document = {
        "state": _state_of(load),
        "oldest": load.oldest_version,
        "newest": load.newest_version,
        "utilization": load.utilization,
    }
    return json_response(200, document)


def json_response(status: int, document: object) -> HttpResponse:
    """Return ``document`` as JSON."""
    return HttpResponse(status, {"content-type": JSON_TYPE}, orjson.dumps(document))


def problem_response(status: int, problem_type: str, detail: str) -> HttpResponse:
    """Return an RFC 9457 problem about an exchange that did not run."""
    document = {"type": problem_type, "status": status, "detail": detail, "not_run": True}
    return HttpResponse(status, {"content-type": PROBLEM_TYPE}, orjson.dumps(document))


def _answer_document(reply: BackendReply) -> dict[str, object]:
    return {
        "snapshot": reply.snapshot,
        "covered": [[key_range.start, key_range.end] for key_range in reply.covered],
        "rows": [[row.key, row.value] for row in reply.rows],
    }


def _problem_document(reply: BackendReply, status: int) -> dict[str, object]:
    document: dict[str, object] = {
        "type": reply.kind.value,
        "status": status,
        "not_run": reply.not_run,
    }
    if reply.kind is ReplyKind.NOT_HELD:
        document["oldest"] = reply.oldest
        document["newest"] = reply.newest
    return document


def _load_headers(load: LoadReport) -> dict[str, str]:
    headers = {VERSIONS_HEADER: f"{load.oldest_version}-{load.newest_version}"}
    if load.utilization is not None:
        metrics = orjson.dumps({"application_utilization": load.utilization}).decode()
        headers[LOAD_HEADER] = f"JSON {metrics}"
    if load.draining or load.cold:
        headers[STATE_HEADER] = _state_of(load)
    return headers


def _state_of(load: LoadReport) -> str:
    if load.draining:
        return "draining"
    return "cold" if load.cold else "serving"
