"""Caller requests and answers as JSON; described for callers in ``docs/INTERFACE.md``."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from ..model.answer import Answer, Outcome
from ..model.configuration import CoveragePreference
from ..model.identifiers import CallerName, RequestId, RequestKindName, ServiceName
from ..model.key_range import KeyRange
from ..model.request import QueryRequest
from .http_messages import HttpResponse
from .problem_details import json_response, problem, retry_after

IDEMPOTENCY_HEADER = "idempotency-key"
TRACEPARENT_HEADER = "traceparent"
REQUEST_ID_HEADER = "x-request-id"

MILLISECONDS_PER_SECOND = 1_000
LONGEST_DEADLINE_MS = 600_000
LONGEST_NAME = 200
LONGEST_KEY = 4_096
MOST_KEYS = 10_000
SHOWN_VALUE_CHARACTERS = 100
DEFAULT_RETRY_SECONDS = 1.0

_TRACEPARENT = re.compile(
    r"(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_IDEMPOTENCY_ALLOWED = "1 to 255 printable ASCII characters without spaces"

_Name = Annotated[str, Field(min_length=1, max_length=LONGEST_NAME)]
_Key = Annotated[str, Field(max_length=LONGEST_KEY)]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _KeyRangeBody(_Strict):
    start: _Key = ""
    end: _Key | None = None

    @model_validator(mode="after")
    def _check_order(self) -> "_KeyRangeBody":
        if self.end is not None and self.end <= self.start:
            raise ValueError(f"end {self.end!r} must be after start {self.start!r}")
        return self


class _QueryBody(_Strict):
    service: _Name
    kind: _Name
    keys: Annotated[list[_Key], Field(min_length=1, max_length=MOST_KEYS)] | None = None
    key_ranges: Annotated[list[_KeyRangeBody], Field(min_length=1, max_length=MOST_KEYS)] | None = (
        None
    )
    deadline_ms: int | None = Field(default=None, strict=True, gt=0, le=LONGEST_DEADLINE_MS)
    repeatable: bool | None = Field(default=None, strict=True)
    coverage: CoveragePreference | None = None
    body: str = ""

    @model_validator(mode="after")
    def _check_keys(self) -> "_QueryBody":
        if (self.keys is None) == (self.key_ranges is None):
            raise ValueError("give either keys or key_ranges; a range of {} means all keys")
        return self

    def ranges(self) -> tuple[KeyRange, ...]:
        """Return the keys asked for."""
        if self.keys is not None:
            return tuple(KeyRange.from_key(key) for key in self.keys)
        return tuple(KeyRange(entry.start, entry.end) for entry in self.key_ranges or ())


@dataclass(frozen=True, slots=True)
class FieldError:
    """A wrong field: its path, its value as it came, and what is allowed."""

    field: str
    value: str | None
    allowed: str

    def text(self) -> str:
        """Return the error on one line."""
        shown = "missing" if self.value is None else self.value
        return f"{self.field}: {shown}: {self.allowed}"


def read_query(
    body: bytes,
    headers: Mapping[str, str],
    caller: CallerName,
    request_id: RequestId,
) -> QueryRequest | HttpResponse:
    """Return the request, or the problem that names every wrong field."""
    errors = _header_errors(headers)
    try:
        query = _QueryBody.model_validate_json(body)
    except ValidationError as error:
        errors += [_field_error(entry) for entry in error.errors(include_url=False)]
        return _invalid_fields(errors, request_id)
    if errors:
        return _invalid_fields(errors, request_id)
    deadline_ms = query.deadline_ms
    return QueryRequest(
        request_id=request_id,
        caller=caller,
        service=ServiceName(query.service),
        kind=RequestKindName(query.kind),
        key_ranges=query.ranges(),
        deadline_seconds=None if deadline_ms is None else deadline_ms / MILLISECONDS_PER_SECOND,
        repeatable=query.repeatable,
        coverage_preference=query.coverage,
        idempotency_key=_idempotency_key(headers),
        body=query.body,
        traceparent=_traceparent(headers),
    )


def write_answer(answer: Answer) -> HttpResponse:
    """Return the response to a request that was answered, whatever came of it."""
    headers = {REQUEST_ID_HEADER: answer.request_id}
    match answer.outcome:
        case Outcome.COMPLETE | Outcome.PARTIAL:
            return json_response(200, _answer_document(answer), headers)
        case Outcome.REFUSED_NOT_RUN:
            return _outcome_problem(answer, 503, headers | _retry_after(answer))
        case Outcome.UNKNOWN:
            return _outcome_problem(answer, 504, headers | _retry_after(answer))
        case Outcome.INVALID:
            return _outcome_problem(answer, 422, headers)


def _answer_document(answer: Answer) -> dict[str, object]:
    timings = answer.timings
    return {
        "request_id": answer.request_id,
        "outcome": answer.outcome.value,
        "detail": answer.reason,
        "snapshot": answer.snapshot,
        "covered": answer.covered,
        "missing": [
            {
                "start": part.key_range.start,
                "end": part.key_range.end,
                "reason": part.reason.value,
            }
            for part in answer.missing
        ],
        "rows": [{"key": row.key, "value": row.value} for row in answer.rows],
        "timings": {
            "total_ms": _milliseconds(timings.total_seconds),
            "queue_ms": _milliseconds(timings.queue_seconds),
            "service_ms": _milliseconds(timings.service_seconds),
        },
        "sub_requests": answer.sub_requests,
        "attempts": answer.attempts,
    }


def _outcome_problem(answer: Answer, status: int, headers: Mapping[str, str]) -> HttpResponse:
    outcome = answer.outcome.value
    members = {"outcome": outcome, "request_id": answer.request_id}
    return problem(status, outcome.replace("_", "-"), answer.reason, headers, members)


def _retry_after(answer: Answer) -> dict[str, str]:
    seconds = answer.retry_after_seconds
    return retry_after(DEFAULT_RETRY_SECONDS if seconds is None else seconds)


def _milliseconds(seconds: float) -> float:
    return round(seconds * MILLISECONDS_PER_SECOND, 3)


def _invalid_fields(errors: list[FieldError], request_id: RequestId) -> HttpResponse:
    is_syntax = any(error.field == "" for error in errors)
    status, name = (400, "malformed-json") if is_syntax else (422, "invalid")
    detail = "; ".join(error.text().removeprefix(": ") for error in errors)
    members = {"outcome": Outcome.INVALID.value, "request_id": request_id, "errors": errors}
    return problem(status, name, detail, {REQUEST_ID_HEADER: request_id}, members)


def _field_error(entry: Any) -> FieldError:
    """Turn an error of pydantic into ours."""
    location: tuple[str | int, ...] = entry["loc"]
    path = _path(location)
    match entry["type"]:
        case "json_invalid":
            return FieldError("", "body", entry["msg"])
        case "missing":
            return FieldError(path, None, "is required")
        case "extra_forbidden":
            return FieldError(path, _shown(entry["input"]), f"unknown field; {_known_fields(path)}")
        case "value_error":
            message = entry["msg"].removeprefix("Value error, ")
            return FieldError(path or "keys", _shown(entry["input"]), message)
        case _:
            return FieldError(path or "body", _shown(entry["input"]), _allowed(entry["msg"]))


def _allowed(message: str) -> str:
    return message.replace("Input should", "must").replace("should", "must")


def _path(location: tuple[str | int, ...]) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".")


def _known_fields(path: str) -> str:
    model = _KeyRangeBody if path.startswith("key_ranges") else _QueryBody
    return "known are " + ", ".join(model.model_fields)


def _shown(value: Any) -> str:
    try:
        text = orjson.dumps(value).decode()
    except TypeError:
        text = "the whole body"
    if len(text) > SHOWN_VALUE_CHARACTERS:
        return text[:SHOWN_VALUE_CHARACTERS] + "..."
    return text


def _header_errors(headers: Mapping[str, str]) -> list[FieldError]:
    key = _idempotency_key(headers)
    if key is None or _IDEMPOTENCY_KEY.fullmatch(key):
        return []
    return [FieldError("Idempotency-Key", _shown(key), f"must be {_IDEMPOTENCY_ALLOWED}")]


def _idempotency_key(headers: Mapping[str, str]) -> str | None:
    """Return the key; the quotes of a structured string (RFC 8941) are not part of it."""
    key = headers.get(IDEMPOTENCY_HEADER)
    if key is not None and len(key) > 1 and key.startswith('"') and key.endswith('"'):
        return key[1:-1]
    return key


def _traceparent(headers: Mapping[str, str]) -> str | None:
    """Return the header if it is well formed; W3C Trace Context asks to ignore it otherwise."""
    value = headers.get(TRACEPARENT_HEADER)
    return value if value is not None and _TRACEPARENT.fullmatch(value) else None
