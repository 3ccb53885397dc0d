"""Refuses requests on arrival, before any sub-request is sent.

See docs/design/admission-and-classes.md.
"""

from ..model.answer import Answer, SubAnswer, SubResult
from .answer_builders import refused_answer
from .delay_table import DelayTable
from .node_pressure import NodePressure
from .query_state import QueryState, ResolvedRequest
from .service_floor import ServiceTimeFloor
from .settings import QuerySettings
from .sub_request_sender import SubRequestSender

MIN_SERVICE_TIME_SHARE = 0.5
"""Share of the low service time estimate; a shorter deadline is assumed impossible to meet."""


class AdmissionGate:
    """Refuses requests that are expected to miss the promise of their class or their deadline.

    Also refuses requests because of the load of the node itself and during a planned stop.

    Parameters
    ----------
    enabled
        Whether requests are refused because of load or deadlines. If false, only a planned stop
        refuses them.
    """

    def __init__(self, settings: QuerySettings, sender: SubRequestSender, enabled: bool) -> None:
        self._settings = settings
        self._sender = sender
        self._enabled = enabled
        self._delays = DelayTable()
        self._service_time_floors: dict[str, ServiceTimeFloor] = {}
        self._refuses_all_from: float | None = None
        self.pressure = NodePressure(settings.loop_lag_limit_seconds)
        """Load of this node's event loop and the classes refused because of it."""

    def start_stopping(self, now: float) -> None:
        """Start a planned stop; refuse all requests after ``stop_linger_seconds``."""
        self._refuses_all_from = now + self._settings.stop_linger_seconds

    def record_result(self, state: QueryState, result: SubResult, now: float) -> None:
        """Record the queueing delay and the service time of a sub-result."""
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
        """Return the refusal of a request, or ``None`` if it is admitted."""
        request_id = resolved.request.request_id
        retry_after = self._settings.retry_after_seconds
        if self._refuses_all_from is not None and now >= self._refuses_all_from:
            return refused_answer(
                request_id, "this node is stopping; use another node", retry_after
            )
        if not self._enabled:
            return None
        if self.pressure.refuses(resolved.priority_class.price):
            reason = "this node is overloaded and admits only classes of higher price"
            return refused_answer(request_id, reason, self._settings.pressure_retry_seconds)
        return self._refusal_for_wait(resolved, now)

    def _refusal_for_wait(self, resolved: ResolvedRequest, now: float) -> Answer | None:
        request_id = resolved.request.request_id
        retry_after = self._settings.retry_after_seconds
        wait = self._expected_wait(resolved, now)
        max_wait = resolved.priority_class.promise_seconds * self._settings.promise_share
        if wait > max_wait:
            reason = f"expected wait {wait:.3f} s exceeds the class limit of {max_wait:.3f} s"
            return refused_answer(request_id, reason, max(retry_after, wait - max_wait))
        deadline = resolved.deadline_seconds
        floor = self._service_time_floors.get(_kind_key(resolved))
        min_service = 0.0 if floor is None else floor.current_seconds(now) * MIN_SERVICE_TIME_SHARE
        if wait + min_service > deadline:
            reason = (
                f"expected to take {wait + min_service:.3f} s; the deadline is {deadline:.3f} s"
            )
            return refused_answer(request_id, reason, max(retry_after, wait))
        return None

    def _expected_wait(self, resolved: ResolvedRequest, now: float) -> float:
        class_name = resolved.priority_class.name
        assignments = self._sender.partition(
            resolved.service, resolved.request.key_ranges
        ).assignments
        return max(
            (
                self._delays.expected_delay_seconds(assignment.shard.shard_id, class_name, now)
                for assignment in assignments
            ),
            default=0.0,
        )


def _kind_key(resolved: ResolvedRequest) -> str:
    return f"{resolved.service.name}/{resolved.kind.name}"
