"""One log line for each request that ended: complete ones at level debug, others at info.

Lines at info are bounded in number, so that an overload does not flood the log.
"""

from collections.abc import Callable

from ..model.answer import Answer, Outcome
from ..model.identifiers import RequestId
from ..model.request import QueryRequest
from ..ports.machine import Log, LogLevel

LINES_PER_SECOND = 50
"""Most lines at level info in one second; the next one tells how many were left out."""

MILLISECONDS_PER_SECOND = 1000

Fields = tuple[tuple[str, str | int | float], ...]


class RequestLog:
    """Follows requests from arrival to answer.

    Parameters
    ----------
    log
        Writes a line.
    clock
        Returns seconds on a clock that only moves forward.
    """

    def __init__(self, log: Callable[[Log], None], clock: Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._requests: dict[RequestId, QueryRequest] = {}
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def received(self, request: QueryRequest) -> None:
        """Remember a request until its end."""
        self._requests[request.request_id] = request

    def answered(self, answer: Answer) -> None:
        """Log the end of a request."""
        request = self._requests.pop(answer.request_id, None)
        fields: Fields = (
            *_request_fields(answer.request_id, request),
            ("outcome", answer.outcome.value),
            ("snapshot", "none" if answer.snapshot is None else answer.snapshot),
            ("missing_parts", len(answer.missing)),
            ("sub_requests", answer.sub_requests),
            ("attempts", answer.attempts),
            ("total_ms", round(answer.timings.total_seconds * MILLISECONDS_PER_SECOND, 1)),
        )
        if answer.reason:
            fields += (("reason", answer.reason),)
        self._write("request_answered", answer.outcome is Outcome.COMPLETE, fields)

    def abandoned(self, request_id: RequestId) -> None:
        """Log that the caller went away before its answer."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            self._write("request_abandoned", False, _request_fields(request_id, request))

    def _write(self, message: str, is_usual: bool, fields: Fields) -> None:
        if is_usual:
            self._log(Log(message, LogLevel.DEBUG, fields))
            return
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > LINES_PER_SECOND:
            self._left_out += 1
            return
        if self._left_out:
            fields += (("lines_left_out", self._left_out),)
            self._left_out = 0
        self._log(Log(message, LogLevel.INFO, fields))


def _request_fields(request_id: RequestId, request: QueryRequest | None) -> Fields:
    fields: Fields = (("request_id", request_id),)
    if request is None:
        return fields
    fields += (
        ("caller", request.caller),
        ("service", request.service),
        ("kind", request.kind),
    )
    return fields if request.traceparent is None else (*fields, ("trace", request.traceparent))
