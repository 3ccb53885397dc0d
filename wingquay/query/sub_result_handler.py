"""Handles sub-results: merges answers; retries, replans or resends after failures."""

from ..model.answer import MissingReason, SubAnswer, SubFailureKind, SubResult
from ..model.configuration import CoveragePreference
from ..model.failure import Failure
from ..model.identifiers import ReplicaId
from ..ports.machine import Action, Count
from .admission_gate import AdmissionGate
from .query_completion import QueryCompletion
from .query_planner import QueryPlanner
from .query_state import PendingSubRequest, QueryState
from .query_table import QueryTable
from .sub_request_sender import SubRequestSender

_MISSING_REASONS = {
    SubFailureKind.REFUSED: MissingReason.OVERLOADED,
    SubFailureKind.NO_REPLICA: MissingReason.NO_REPLICA,
    SubFailureKind.NOT_HELD: MissingReason.SNAPSHOT_UNAVAILABLE,
    SubFailureKind.DEADLINE: MissingReason.DEADLINE,
    SubFailureKind.BACKEND_ERROR: MissingReason.BACKEND_ERROR,
    SubFailureKind.OWNER_LEAVING: MissingReason.NO_REPLICA,
    SubFailureKind.NOT_OWNED: MissingReason.NO_SHARD,
}

_RETRIED_KINDS = frozenset(
    {SubFailureKind.NO_REPLICA, SubFailureKind.BACKEND_ERROR, SubFailureKind.NOT_OWNED}
)
"""Failures after which missing keys may be retried; see ``_may_retry``."""


class SubResultHandler:
    """Applies sub-results to the state of their requests.

    Parameters
    ----------
    filters_duplicates
        Whether a second result of the same sub-request is dropped.
    """

    def __init__(
        self,
        table: QueryTable,
        planner: QueryPlanner,
        sender: SubRequestSender,
        completion: QueryCompletion,
        gate: AdmissionGate,
        filters_duplicates: bool,
    ) -> None:
        self._table = table
        self._planner = planner
        self._sender = sender
        self._completion = completion
        self._gate = gate
        self._filters_duplicates = filters_duplicates

    def handle(self, result: SubResult, now: float) -> list[Action]:
        """Handle one sub-result and answer the request if it is complete."""
        for held in result.held:
            self._planner.versions.record(held)
        state = self._table.state_of_sub_request(result.sub_request_id)
        if state is None:
            return [Count("wingquay_late_sub_results_total")]
        pending = state.get_pending(result.sub_request_id)
        self._record(state, result, now)
        self._table.close_pending(state, pending, accepts_duplicates=not self._filters_duplicates)
        if isinstance(result.result, SubAnswer):
            avoid = (ReplicaId(result.replica_id),)
            actions = self._on_answer(state, pending, result.result, avoid, now)
        else:
            actions = self._on_failure(state, pending, result.result, now)
        return actions + self._completion.finish_if_done(state, now)

    def _record(self, state: QueryState, result: SubResult, now: float) -> None:
        self._gate.record_result(state, result, now)
        state.attempt_count += result.attempts
        state.may_have_run = state.may_have_run or result.may_have_run
        state.record_timing(result.queue_seconds, result.service_seconds)

    def _on_answer(
        self,
        state: QueryState,
        pending: PendingSubRequest,
        answer: SubAnswer,
        avoid: tuple[ReplicaId, ...],
        now: float,
    ) -> list[Action]:
        uncovered = state.merge.add(pending.sub_request.key_ranges, answer)
        if not uncovered:
            return []
        reason = MissingReason.NO_SHARD
        if answer.snapshot != state.merge.pinned_version:
            reason = MissingReason.SNAPSHOT_UNAVAILABLE
        state.merge.record_missing(uncovered, reason)
        if not state.resolved.repeatable:
            return []
        return self._planner.schedule_retry(state, pending, uncovered, now, avoid)

    def _on_failure(
        self,
        state: QueryState,
        pending: PendingSubRequest,
        failure: Failure[SubFailureKind],
        now: float,
    ) -> list[Action]:
        key_ranges = pending.sub_request.key_ranges
        state.reason = failure.reason
        state.merge.record_missing(key_ranges, _MISSING_REASONS[failure.kind])
        if failure.kind is SubFailureKind.NOT_HELD and self._planner.should_replan(state):
            return self._planner.replan(state, now)
        if failure.kind is SubFailureKind.OWNER_LEAVING:
            return self._sender.resend(state, pending, now)
        if failure.kind in _RETRIED_KINDS and _may_retry(state):
            return self._planner.schedule_retry(state, pending, key_ranges, now)
        return []


def _may_retry(state: QueryState) -> bool:
    if state.resolved.coverage_preference is not CoveragePreference.FULL_COVERAGE:
        return False
    return state.resolved.repeatable or not state.may_have_run
