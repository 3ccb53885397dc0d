"""Builds answers from the state of a query, and answers to requests that are not run."""

from dataclasses import replace

from ..model.answer import Answer, MissingReason, Outcome
from ..model.identifiers import RequestId
from .merge import AnswerMerge
from .query_state import QueryState


def refused_answer(request_id: RequestId, reason: str, retry_after_seconds: float) -> Answer:
    """Return the answer to a request that certainly did not run."""
    return Answer(
        request_id,
        Outcome.REFUSED_NOT_RUN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def invalid_answer(request_id: RequestId, reason: str) -> Answer:
    """Return the answer to an invalid request."""
    return Answer(request_id, Outcome.INVALID, reason=reason)


def unknown_answer(request_id: RequestId, reason: str, retry_after_seconds: float) -> Answer:
    """Return the answer to an unrepeatable request that may have run."""
    return Answer(
        request_id,
        Outcome.UNKNOWN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def build_answer(state: QueryState, now: float, retry_after_seconds: float) -> Answer:
    """Return the answer for the results merged so far.

    Sub-requests without a result are counted as possibly run.
    """
    may_have_run = state.may_have_run or bool(state.pending_sub_requests)
    answer = _merged_answer(state, now)
    if answer.outcome is Outcome.COMPLETE:
        return answer
    request_id = answer.request_id
    reason = state.reason or "some keys have no answer"
    if not state.resolved.repeatable:
        if may_have_run:
            return unknown_answer(request_id, reason, retry_after_seconds)
        return refused_answer(request_id, reason, retry_after_seconds)
    if not may_have_run and not answer.covered:
        return refused_answer(request_id, reason, retry_after_seconds)
    return replace(answer, reason=reason)


def _merged_answer(state: QueryState, now: float) -> Answer:
    merge: AnswerMerge = state.merge
    missing = merge.missing(MissingReason.DEADLINE)
    snapshot = merge.pinned_version if merge.covered else None
    return Answer(
        request_id=state.resolved.request.request_id,
        outcome=Outcome.PARTIAL if missing else Outcome.COMPLETE,
        snapshot=snapshot,
        covered=merge.covered,
        missing=missing,
        rows=merge.rows,
        timings=replace(state.timings, total_seconds=now - state.arrived_at),
        sub_requests=state.sub_request_count,
        attempts=state.attempt_count,
    )
