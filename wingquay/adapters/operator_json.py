"""Operators' commands and results as HTTP requests and JSON, for the server and the client."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote, unquote, urlencode

import orjson
from pydantic import ValidationError

from ..model.failure import Failure
from ..model.identifiers import Revision
from ..ports.operator import (
    ConfigurationResult,
    ConfirmPlan,
    DiffConfigurations,
    DiscardPlan,
    ListPlans,
    OperatorFailureKind,
    OperatorMessage,
    ProposePlan,
    ShowConfiguration,
    ShowHistory,
    ShowPlan,
    ShowStatus,
)
from .health_pages import method_not_allowed
from .http_messages import HttpRequest, HttpResponse
from .problem_details import json_response, problem, retry_after

PLANS_PATH = "/v1/plans"
CONFIGURATION_PATH = "/v1/configuration"
HISTORY_PATH = "/v1/configuration/history"
DIFF_PATH = "/v1/configuration/diff"
STATUS_PATH = "/v1/status"
CONFIRM_SUFFIX = "confirm"

STORE_RETRY_SECONDS = 5.0
"""When an operator may try again after the store did not answer."""

_STATUSES = {
    OperatorFailureKind.INVALID: 422,
    OperatorFailureKind.NOT_FOUND: 404,
    OperatorFailureKind.CONFLICT: 409,
    OperatorFailureKind.EXPIRED: 410,
    OperatorFailureKind.STORE_UNAVAILABLE: 503,
    # Not 202: a client that knows no problem types must not take it for success.
    OperatorFailureKind.NOT_KNOWN_YET: 504,
}


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """A command as a request line and a body."""

    method: str
    target: str
    body: bytes = b""


def call_of(command: OperatorMessage) -> OperatorCall:
    """Return the request that carries ``command``."""
    match command:
        case ProposePlan():
            return OperatorCall("POST", PLANS_PATH, command.model_dump_json().encode())
        case ListPlans():
            return OperatorCall("GET", PLANS_PATH)
        case ShowPlan(plan_id=plan_id):
            return OperatorCall("GET", _plan_path(plan_id))
        case ConfirmPlan(plan_id=plan_id):
            return OperatorCall("POST", f"{_plan_path(plan_id)}/{CONFIRM_SUFFIX}")
        case DiscardPlan(plan_id=plan_id):
            return OperatorCall("DELETE", _plan_path(plan_id))
    return _reading_call_of(command)


def _reading_call_of(command: OperatorMessage) -> OperatorCall:
    match command:
        case ShowConfiguration(revision=None):
            return OperatorCall("GET", CONFIGURATION_PATH)
        case ShowConfiguration(revision=revision):
            return OperatorCall("GET", f"{CONFIGURATION_PATH}?{urlencode({'revision': revision})}")
        case ShowHistory():
            return OperatorCall("GET", HISTORY_PATH)
        case DiffConfigurations():
            query = {"from": command.from_revision}
            if command.to_revision is not None:
                query["to"] = command.to_revision
            return OperatorCall("GET", f"{DIFF_PATH}?{urlencode(query)}")
        case ShowStatus():
            return OperatorCall("GET", STATUS_PATH)
    raise TypeError(f"no request carries {type(command).__name__}")


def command_of(request: HttpRequest) -> OperatorMessage | HttpResponse:
    """Return the command that a request carries, or the refusal of one that carries none."""
    path = request.path
    if path == PLANS_PATH or path.startswith(f"{PLANS_PATH}/"):
        return _plan_command(request, path.removeprefix(PLANS_PATH).strip("/").split("/"))
    reader = _READERS.get(path)
    if reader is None:
        known = ", ".join((PLANS_PATH, *_READERS))
        return problem(404, "unknown-path", f"there is no {path!r}; known are {known}")
    if request.method != "GET":
        return method_not_allowed("GET")
    return reader(request.query)


def result_response(result: OperatorMessage | Failure[OperatorFailureKind]) -> HttpResponse:
    """Return the response that carries a result."""
    if isinstance(result, Failure):
        name = result.kind.value.replace("_", "-")
        headers = {}
        if result.kind is OperatorFailureKind.STORE_UNAVAILABLE:
            headers = retry_after(STORE_RETRY_SECONDS)
        return problem(_STATUSES[result.kind], name, result.reason, headers)
    if isinstance(result, ConfigurationResult):
        document = orjson.Fragment(result.document)
        return json_response(200, {"document": document, "warnings": result.warnings})
    return json_response(200, result.model_dump(mode="json"))


def _plan_path(plan_id: str) -> str:
    return f"{PLANS_PATH}/{quote(plan_id, safe='')}"


def _plan_command(request: HttpRequest, parts: list[str]) -> OperatorMessage | HttpResponse:
    method = request.method
    match [unquote(part) for part in parts]:
        case [""]:
            if method == "POST":
                return _proposal(request.body)
            return ListPlans() if method == "GET" else method_not_allowed("GET, POST")
        case [plan_id]:
            if method == "DELETE":
                return DiscardPlan(plan_id=plan_id)
            if method == "GET":
                return ShowPlan(plan_id=plan_id)
            return method_not_allowed("GET, DELETE")
        case [plan_id, suffix] if suffix == CONFIRM_SUFFIX:
            return ConfirmPlan(plan_id=plan_id) if method == "POST" else method_not_allowed("POST")
    return problem(404, "unknown-path", f"there is no {request.path!r}")


def _proposal(body: bytes) -> OperatorMessage | HttpResponse:
    try:
        return ProposePlan.model_validate_json(body)
    except ValidationError as error:
        return problem(422, "invalid", "; ".join(validation_lines(error)))


def validation_lines(error: ValidationError) -> list[str]:
    """Return one line for each thing that is wrong: where, what was given, what is allowed."""
    lines = []
    for detail in error.errors():
        place = ".".join(str(part) for part in detail["loc"])
        given = repr(detail.get("input"))[:100]
        lines.append(f"{place or 'body'}: {detail['msg']} (given: {given})")
    return lines


def _show_configuration(query: Mapping[str, str]) -> OperatorMessage | HttpResponse:
    revision = _revision(query, "revision")
    if isinstance(revision, HttpResponse):
        return revision
    return ShowConfiguration(revision=revision)


def _show_history(_: Mapping[str, str]) -> OperatorMessage | HttpResponse:
    return ShowHistory()


def _diff(query: Mapping[str, str]) -> OperatorMessage | HttpResponse:
    first = _revision(query, "from")
    second = _revision(query, "to")
    if isinstance(first, HttpResponse):
        return first
    if isinstance(second, HttpResponse):
        return second
    if first is None:
        return problem(422, "invalid", "from: a revision is required")
    return DiffConfigurations(from_revision=first, to_revision=second)


def _show_status(_: Mapping[str, str]) -> OperatorMessage | HttpResponse:
    return ShowStatus()


_READERS = {
    CONFIGURATION_PATH: _show_configuration,
    HISTORY_PATH: _show_history,
    DIFF_PATH: _diff,
    STATUS_PATH: _show_status,
}


def _revision(query: Mapping[str, str], name: str) -> Revision | HttpResponse | None:
    text = query.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        detail = f"{name}: {text!r} is not a revision; allowed: a whole number from 0"
        return problem(422, "invalid", detail)
    return Revision(int(text))
