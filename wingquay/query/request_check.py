"""Validates a request against the configuration and fills in defaults."""

from enum import Enum

from ..model.configuration import Configuration, RequestKind
from ..model.failure import Failure
from ..model.request import QueryRequest
from .query_state import ResolvedRequest

MAX_DEADLINE_SECONDS = 600.0


class QueryFailureKind(Enum):
    """Reason why a request is rejected before planning."""

    NO_CONFIGURATION = "no_configuration"
    INVALID = "invalid"


def resolve_request(
    request: QueryRequest, configuration: Configuration | None
) -> ResolvedRequest | Failure[QueryFailureKind]:
    """Return the request with all defaults filled in, or the reason why it is rejected."""
    if configuration is None:
        return Failure(
            QueryFailureKind.NO_CONFIGURATION, "this node has no confirmed configuration yet"
        )
    service = configuration.service(request.service)
    caller = configuration.caller(request.caller)
    allowed = () if caller is None else caller.services
    if service is None or service.name not in allowed:
        return _invalid(f"service: {request.service!r} is not one of {sorted(allowed)}")
    kind = service.kind(request.kind)
    if kind is None:
        names = sorted(entry.name for entry in service.kinds)
        return _invalid(f"kind: {request.kind!r} is not one of {names}")
    class_name = configuration.class_for(service, kind, request.caller)
    priority_class = configuration.priority_class(class_name)
    if priority_class is None:
        return _invalid(f"class: {class_name!r} is not configured")
    repeatable = kind.repeatable if request.repeatable is None else request.repeatable
    error = _field_error(request, kind, repeatable)
    if error:
        return _invalid(error)
    return ResolvedRequest(
        request=request,
        service=service,
        kind=kind,
        priority_class=priority_class,
        repeatable=repeatable,
        coverage_preference=request.coverage_preference or kind.coverage_preference,
        deadline_seconds=_deadline(request, kind),
    )


def _deadline(request: QueryRequest, kind: RequestKind) -> float:
    if request.deadline_seconds is None:
        return kind.deadline_seconds
    return request.deadline_seconds


def _field_error(request: QueryRequest, kind: RequestKind, repeatable: bool) -> str:
    if not request.key_ranges:
        return "key_ranges: at least one key or key range is required"
    for key_range in request.key_ranges:
        if key_range.is_empty:
            return f"key_ranges: end {key_range.end!r} must be after start {key_range.start!r}"
    deadline = _deadline(request, kind)
    if not 0.0 < deadline <= MAX_DEADLINE_SECONDS:
        return f"deadline: {deadline} s must be above 0 and at most {MAX_DEADLINE_SECONDS:.0f} s"
    if not repeatable and not request.idempotency_key:
        return "Idempotency-Key: required for an unrepeatable request"
    return ""


def _invalid(reason: str) -> Failure[QueryFailureKind]:
    return Failure(QueryFailureKind.INVALID, reason)
