"""Decides on arrival whether a request is refused, before any part of it leaves.

Source: brief, "refused rather than delayed"; docs/design/admission-and-classes.md.
"""

from ..model.answer import Answer, SubAnswer, SubResult
from .conclusion import refusal
from .delay_table import DelayTable
from .node_pressure import NodePressure
from .piece_sender import PieceSender
from .query_state import QueryState, ResolvedRequest
from .service_floor import ServiceFloor
from .settings import QuerySettings

LEAST_SERVICE_SHARE = 0.5
"""A deadline below this share of the usual service time cannot be met."""


class AdmissionGate:
    """Refuses what cannot keep its promise or deadline.

    Parameters
    ----------
    enabled
        Whether anything is refused for load.
    """

    def __init__(self, settings: QuerySettings, sender: PieceSender, enabled: bool) -> None:
        self._settings = settings
        self._sender = sender
        self._enabled = enabled
        self._delays = DelayTable()
        self._service_floors: dict[str, ServiceFloor] = {}
        self._refuses_from: float | None = None
        self.pressure = NodePressure(settings.loop_lag_limit_seconds)
        """Refusals for the node's own load."""

    def start_leaving(self, now: float) -> None:
        """Refuse everything after a while: the planned stop has begun."""
        self._refuses_from = now + self._settings.stop_linger_seconds

    def learn(self, state: QueryState, result: SubResult, now: float) -> None:
        """Take in what a sub-result says of waits and service times."""
        class_name = state.resolved.priority_class.name
        self._delays.learn(result.shard_id, class_name, result.class_delay_seconds, now)
        if isinstance(result.result, SubAnswer):
            self._learn_service(_kind_key(state.resolved), result.service_seconds, now)

    def _learn_service(self, key: str, service_seconds: float, now: float) -> None:
        floor = self._service_floors.get(key)
        if floor is None:
            self._service_floors[key] = ServiceFloor(service_seconds, now)
        else:
            floor.record(service_seconds, now)

    def refusal(self, resolved: ResolvedRequest, now: float) -> Answer | None:
        """Return the refusal of a request, or ``None`` if it is let in."""
        request_id = resolved.request.request_id
        retry_after = self._settings.retry_after_seconds
        if self._refuses_from is not None and now >= self._refuses_from:
            return refusal(request_id, "this node is stopping; ask another", retry_after)
        if not self._enabled:
            return None
        if self.pressure.refuses(resolved.priority_class.price):
            reason = "this node is overloaded and serves more important classes"
            return refusal(request_id, reason, self._settings.pressure_retry_seconds)
        return self._refusal_for_wait(resolved, now)

    def _refusal_for_wait(self, resolved: ResolvedRequest, now: float) -> Answer | None:
        request_id = resolved.request.request_id
        retry_after = self._settings.retry_after_seconds
        wait = self._expected_wait(resolved, now)
        promise = resolved.priority_class.promise_seconds * self._settings.promise_share
        if wait > promise:
            reason = f"would wait {wait:.3f} s for a slot; the class allows {promise:.3f} s"
            return refusal(request_id, reason, max(retry_after, wait - promise))
        deadline = resolved.deadline_seconds
        floor = self._service_floors.get(_kind_key(resolved))
        service = 0.0 if floor is None else floor.seconds(now) * LEAST_SERVICE_SHARE
        if wait + service > deadline:
            reason = f"takes at least {wait + service:.3f} s; the deadline is {deadline:.3f} s"
            return refusal(request_id, reason, max(retry_after, wait))
        return None

    def _expected_wait(self, resolved: ResolvedRequest, now: float) -> float:
        class_name = resolved.priority_class.name
        pieces = self._sender.plan(resolved.service, resolved.request.key_ranges).pieces
        return max(
            (
                self._delays.expected_seconds(piece.shard.shard_id, class_name, now)
                for piece in pieces
            ),
            default=0.0,
        )


def _kind_key(resolved: ResolvedRequest) -> str:
    return f"{resolved.service.name}/{resolved.kind.name}"
