"""Takes in sub-results: merges answers, decides what follows a failure."""

from ..model.answer import MissingReason, SubAnswer, SubFailureKind, SubResult
from ..model.configuration import CoveragePreference
from ..model.failure import Failure
from ..model.identifiers import ReplicaId
from ..ports.machine import Action, Count
from .admission_gate import AdmissionGate
from .piece_sender import PieceSender
from .query_ending import QueryEnding
from .query_planning import QueryPlanning
from .query_state import Piece, QueryState
from .query_table import QueryTable

_MISSING_REASONS = {
    SubFailureKind.REFUSED: MissingReason.OVERLOADED,
    SubFailureKind.NO_REPLICA: MissingReason.NO_REPLICA,
    SubFailureKind.NOT_HELD: MissingReason.SNAPSHOT_UNAVAILABLE,
    SubFailureKind.DEADLINE: MissingReason.DEADLINE,
    SubFailureKind.BACKEND_ERROR: MissingReason.BACKEND_ERROR,
    SubFailureKind.OWNER_LEAVING: MissingReason.NO_REPLICA,
    SubFailureKind.NOT_OWNED: MissingReason.NO_SHARD,
}

_ASKED_AGAIN_KINDS = frozenset(
    {SubFailureKind.NO_REPLICA, SubFailureKind.BACKEND_ERROR, SubFailureKind.NOT_OWNED}
)
"""Failures after which missing keys are asked for again while the deadline allows."""


class SubResultIntake:
    """Merges sub-results into their requests.

    Parameters
    ----------
    filters_duplicates
        Whether a sub-request's second result is dropped.
    """

    def __init__(
        self,
        table: QueryTable,
        planning: QueryPlanning,
        sender: PieceSender,
        ending: QueryEnding,
        gate: AdmissionGate,
        filters_duplicates: bool,
    ) -> None:
        self._table = table
        self._planning = planning
        self._sender = sender
        self._ending = ending
        self._gate = gate
        self._filters_duplicates = filters_duplicates

    def take(self, result: SubResult, now: float) -> list[Action]:
        """Take in one sub-result."""
        for held in result.held:
            self._planning.versions.learn(held)
        state = self._table.state_of(result.sub_request_id)
        if state is None:
            return [Count("wingquay_late_sub_results_total")]
        piece = state.open_piece(result.sub_request_id)
        self._learn(state, result, now)
        self._table.close_piece(state, piece, keeps_open=not self._filters_duplicates)
        if isinstance(result.result, SubAnswer):
            avoid = (ReplicaId(result.replica_id),)
            actions = self._on_answer(state, piece, result.result, avoid, now)
        else:
            actions = self._on_failure(state, piece, result.result, now)
        return actions + self._ending.settle(state, now)

    def _learn(self, state: QueryState, result: SubResult, now: float) -> None:
        self._gate.learn(state, result, now)
        state.attempts += result.attempts
        state.may_have_run = state.may_have_run or result.may_have_run
        state.learn_timing(result.queue_seconds, result.service_seconds)

    def _on_answer(
        self,
        state: QueryState,
        piece: Piece,
        answer: SubAnswer,
        avoid: tuple[ReplicaId, ...],
        now: float,
    ) -> list[Action]:
        leftover = state.merge.add(piece.sub_request.key_ranges, answer)
        if not leftover:
            return []
        reason = MissingReason.NO_SHARD
        if answer.snapshot != state.merge.snapshot:
            reason = MissingReason.SNAPSHOT_UNAVAILABLE
        state.merge.note_missing(leftover, reason)
        if not state.resolved.repeatable:
            return []
        return self._planning.ask_again_later(state, piece, leftover, now, avoid)

    def _on_failure(
        self, state: QueryState, piece: Piece, failure: Failure[SubFailureKind], now: float
    ) -> list[Action]:
        key_ranges = piece.sub_request.key_ranges
        state.reason = failure.reason
        state.merge.note_missing(key_ranges, _MISSING_REASONS[failure.kind])
        if failure.kind is SubFailureKind.NOT_HELD and self._planning.should_replan(state):
            return self._planning.replan(state, now)
        if failure.kind is SubFailureKind.OWNER_LEAVING:
            return self._sender.resend(state, piece, now)
        if failure.kind in _ASKED_AGAIN_KINDS and _may_ask_again(state):
            return self._planning.ask_again_later(state, piece, key_ranges, now)
        return []


def _may_ask_again(state: QueryState) -> bool:
    if state.resolved.coverage_preference is not CoveragePreference.FULL_COVERAGE:
        return False
    return state.resolved.repeatable or not state.may_have_run
