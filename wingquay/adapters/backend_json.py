"""The wire format between wingquay and back ends: HTTP headers and JSON bodies.

Described for the authors of back ends in ``docs/INTERFACE.md``.
"""

import math
import re
from collections.abc import Mapping
from functools import lru_cache
from itertools import starmap
from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..model.answer import Row
from ..model.failure import Failure
from ..model.identifiers import SnapshotVersion
from ..model.key_range import KeyRange
from ..ports.backend import BackendAnswer, BackendFailureKind, LoadReport, StartAttempt
from .http_client_connection import OutgoingRequest
from .http_messages import HttpResponse, RawHeaders

ATTEMPT_HEADER = "wingquay-attempt"
VERSIONS_HEADER = "wingquay-versions"
STATE_HEADER = "wingquay-state"
LOAD_HEADER = "endpoint-load-metrics"
"""Load report in the ORCA format (``JSON {...}`` or ``TEXT name=value, ...``)."""

DEADLINE_STATUS = 504
"""The deadline passed at the back end; it may have run unless the problem says otherwise."""

STATE_DRAINING = "draining"
STATE_COLD = "cold"
UTILIZATION = "application_utilization"

MILLISECONDS_PER_SECOND = 1_000
REASON_CHARACTERS = 200
"""Longest piece of a back end's own words that goes into a reason."""

CACHED_HEADERS = 1_024
"""Load and version headers repeat; so many parsed ones are kept."""

_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

_NOT_RUN_KINDS = {
    (409, "snapshot-not-held"): BackendFailureKind.NOT_HELD,
    (421, "wrong-shard"): BackendFailureKind.WRONG_SHARD,
    (503, "shed"): BackendFailureKind.SHED,
    (503, "draining"): BackendFailureKind.DRAINING,
    (504, "deadline-passed"): BackendFailureKind.SHED,
}
"""By status and problem type: what a back end can say about an exchange that did not run.

A deadline that passed before the work began means that the work waited too long: overload.
"""


LARGEST_VERSION = 2**63 - 1
"""Greater versions do not fit the messages between nodes."""

_VERSIONS = re.compile(r"([0-9]{1,19})-([0-9]{1,19})", re.ASCII)


class _AnswerBody(BaseModel):
    model_config = ConfigDict(strict=True)

    snapshot: Annotated[int, Field(ge=0, le=LARGEST_VERSION)] | None
    covered: list[tuple[str, str | None]]
    rows: list[tuple[str, str]]


Problem = Mapping[str, Any]


def search_request(attempt: StartAttempt) -> OutgoingRequest:
    """Return the ``POST /search`` request of an attempt."""
    deadline_ms = max(1, int(attempt.remaining_seconds * MILLISECONDS_PER_SECOND))
    headers: RawHeaders = [
        (b"wingquay-attempt", attempt.attempt_id.encode()),
        (b"wingquay-deadline-ms", b"%d" % deadline_ms),
        (b"content-type", b"application/json"),
    ]
    if attempt.snapshot is not None:
        headers.append((b"wingquay-snapshot", b"%d" % attempt.snapshot))
    if attempt.traceparent is not None and _TRACEPARENT.fullmatch(attempt.traceparent):
        headers.append((b"traceparent", attempt.traceparent.encode()))
    document = {
        "service": attempt.service,
        "shard": attempt.shard_id,
        "kind": attempt.kind,
        "key_ranges": [(key_range.start, key_range.end) for key_range in attempt.key_ranges],
        "body": attempt.body,
    }
    return OutgoingRequest(b"POST", b"/search", headers, orjson.dumps(document))


def read_search_response(
    response: HttpResponse,
    attempt_id: str,
) -> BackendAnswer | Failure[BackendFailureKind]:
    """Return what a response whose attempt id was checked says.

    A response that names no attempt is never believed to say "not run".
    """
    if response.status == 200:
        answer = _read_answer(response.whole_body)
        return answer or Failure(BackendFailureKind.BROKEN, "the answer's body is malformed")
    problem = _read_problem(response.whole_body)
    passed_deadline = response.status == DEADLINE_STATUS
    kind = BackendFailureKind.TIMED_OUT if passed_deadline else BackendFailureKind.ERROR
    if response.headers.get(ATTEMPT_HEADER) == attempt_id:
        kind = _not_run_kind(response.status, problem) or kind
    return Failure(kind, _reason(response.status, problem))


def read_load(response: HttpResponse) -> LoadReport | None:
    """Return the load and state that a response's headers report, or ``None`` without any."""
    headers = response.headers
    metrics = headers.get(LOAD_HEADER)
    versions = headers.get(VERSIONS_HEADER)
    state = headers.get(STATE_HEADER)
    if metrics is None and versions is None and state is None:
        return None
    oldest, newest = _read_versions(versions or "")
    return LoadReport(
        utilization=None if metrics is None else _read_utilization(metrics),
        draining=state == STATE_DRAINING,
        cold=state == STATE_COLD,
        oldest_version=oldest,
        newest_version=newest,
    )


def read_health(response: HttpResponse) -> LoadReport | Failure[BackendFailureKind]:
    """Return what a health page says."""
    if response.status != 200:
        reason = f"the health page answered with status {response.status}"
        return Failure(BackendFailureKind.ERROR, reason)
    document = _loads(response.whole_body)
    if not isinstance(document, dict) or not isinstance(document.get("state"), str):
        return Failure(BackendFailureKind.BROKEN, "the health page is malformed")
    return LoadReport(
        utilization=_finite(document.get("utilization")),
        draining=document["state"] == STATE_DRAINING,
        cold=document["state"] == STATE_COLD,
        oldest_version=_version(document.get("oldest")),
        newest_version=_version(document.get("newest")),
    )


def _loads(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None


def _read_answer(body: bytes) -> BackendAnswer | None:
    """Return the answer in ``body``, or ``None`` if any part of it is malformed."""
    try:
        answer = _AnswerBody.model_validate_json(body)
    except ValidationError:
        return None
    snapshot = answer.snapshot
    return BackendAnswer(
        snapshot=None if snapshot is None else SnapshotVersion(snapshot),
        covered=tuple(starmap(KeyRange, answer.covered)),
        rows=tuple(starmap(Row, answer.rows)),
    )


def _read_problem(body: bytes) -> Problem:
    document = _loads(body)
    return document if isinstance(document, dict) else {}


def _not_run_kind(status: int, problem: Problem) -> BackendFailureKind | None:
    problem_type = problem.get("type")
    if problem.get("not_run") is not True or not isinstance(problem_type, str):
        return None
    return _NOT_RUN_KINDS.get((status, problem_type))


def _reason(status: int, problem: Problem) -> str:
    words = [problem.get("type"), problem.get("detail")]
    said = ": ".join(word for word in words if isinstance(word, str))
    return f"status {status} {said[:REASON_CHARACTERS]}".rstrip()


@lru_cache(CACHED_HEADERS)
def _read_versions(text: str) -> tuple[SnapshotVersion | None, SnapshotVersion | None]:
    matched = _VERSIONS.fullmatch(text)
    if matched is None:
        return None, None
    return _version(int(matched[1])), _version(int(matched[2]))


@lru_cache(CACHED_HEADERS)
def _read_utilization(metrics: str) -> float | None:
    """Return the utilization of an ORCA report, or ``None`` if it has none that can be read."""
    form, _, report = metrics.partition(" ")
    if form == "JSON":
        document = _loads(report.encode())
        return _finite(document.get(UTILIZATION)) if isinstance(document, dict) else None
    if form == "TEXT":
        return _read_text_utilization(report)
    return None


def _read_text_utilization(report: str) -> float | None:
    for part in report.split(","):
        name, _, value = part.strip().partition("=")
        if name == UTILIZATION:
            try:
                return _finite(float(value))
            except ValueError:
                return None
    return None


def _finite(value: object) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and value >= 0 else None


def _version(value: object) -> SnapshotVersion | None:
    if type(value) is not int or not 0 <= value <= LARGEST_VERSION:
        return None
    return SnapshotVersion(value)
