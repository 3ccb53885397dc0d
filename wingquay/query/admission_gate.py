"""Decides on arrival whether a request is refused, before any part of it leaves.

Source: brief, "refused rather than delayed"; docs/design/admission-and-classes.md.
"""

from ..model.answer import Answer, SubAnswer, SubResult
from .answer_builders import refused_answer
from .delay_table import DelayTable
from .node_pressure import NodePressure
from .query_state import QueryState, ResolvedRequest
from .service_time_floor import ServiceTimeFloor
from .settings import QuerySettings
from .sub_request_sender import SubRequestSender

MIN_SERVICE_TIME_SHARE = 0.5
"""A deadline below this share of the usual service time cannot be met."""


class AdmissionGate:
    """Refuses what cannot keep its promise or deadline.

    Parameters
    ----------
    enabled
        Whether anything is refused for load.
    """

    def __init__(self, settings: QuerySettings, sender: SubRequestSender, enabled: bool) -> None:
        self._settings = settings
        self._sender = sender
        self._enabled = enabled
        self._delays = DelayTable()
        self._service_time_floors: dict[str, ServiceTimeFloor] = {}
        self._refuses_from: float | None = None
        self.pressure = NodePressure(settings.loop_lag_limit_seconds)
        """Refusals for the node's own load."""

    def start_leaving(self, now: float) -> None:
        """Refuse everything after a while: the planned stop has begun."""
        self._refuses_from = now + self._settings.stop_linger_seconds

    def record_result(self, state: QueryState, result: SubResult, now: float) -> None:
        """Take in what a sub-result says of waits and service times."""
        class_name = state.resolved.priority_class.name
        self._delays.record(result.shard_id, class_name, result.class_delay_seconds, now)
        if isinstance(result.result, SubAnswer):
            self._record_service_time(_kind_key(state.resolved), result.service_seconds, now)

    def _record_service_time(self, key: str, service_seconds: float, now: float) -> None:
        floor = self._service_time_floors.get(key)
        if floor is None:
            self._service_time_floors[key] = ServiceTimeFloor(service_seconds, now)
        else:
            floor.record(service_seconds, now)

    def refusal(self, resolved: ResolvedRequest, now: float) -> Answer | None:
        """Return the refusal of a request, or ``None`` if it is let in."""
        request_id = resolved.request.request_id
        retry_after = self._settings.retry_after_seconds
        if self._refuses_from is not None and now >= self._refuses_from:
            return refused_answer(request_id, "this node is stopping; ask another", retry_after)
        if not self._enabled:
            return None
        if self.pressure.refuses(resolved.priority_class.price):
            reason = "this node is overloaded and serves more important classes"
            return refused_answer(request_id, reason, self._settings.pressure_retry_seconds)
        return self._refusal_for_wait(resolved, now)

    def _refusal_for_wait(self, resolved: ResolvedRequest, now: float) -> Answer | None:
        request_id = resolved.request.request_id
        retry_after = self._settings.retry_after_seconds
        wait = self._expected_wait(resolved, now)
        promise = resolved.priority_class.promise_seconds * self._settings.promise_share
        if wait > promise:
            reason = f"would wait {wait:.3f} s for a slot; the class allows {promise:.3f} s"
            return refused_answer(request_id, reason, max(retry_after, wait - promise))
        deadline = resolved.deadline_seconds
        floor = self._service_time_floors.get(_kind_key(resolved))
        service = 0.0 if floor is None else floor.seconds(now) * MIN_SERVICE_TIME_SHARE
        if wait + service > deadline:
            reason = f"takes at least {wait + service:.3f} s; the deadline is {deadline:.3f} s"
            return refused_answer(request_id, reason, max(retry_after, wait))
        return None

    def _expected_wait(self, resolved: ResolvedRequest, now: float) -> float:
        class_name = resolved.priority_class.name
        assignments = self._sender.plan(resolved.service, resolved.request.key_ranges).assignments
        return max(
            (
                self._delays.expected_seconds(assignment.shard.shard_id, class_name, now)
                for assignment in assignments
            ),
            default=0.0,
        )


def _kind_key(resolved: ResolvedRequest) -> str:
    return f"{resolved.service.name}/{resolved.kind.name}"
