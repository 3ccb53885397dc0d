"""Completes requests: answers the caller and reports the outcome to the claims machine."""

from ..model.answer import Answer, Outcome
from ..ports.caller import AnswerCaller
from ..ports.internal import ClaimFinished, Notify
from ..ports.machine import Action, Count, Observe
from .answer_builders import build_answer, unknown_answer
from .answer_codec import encode_answer
from .kind_statistics import KindStatistics
from .query_state import QueryState
from .query_table import QueryTable


class QueryCompletion:
    """Sends at most one answer for each request; none if the caller has disconnected.

    Parameters
    ----------
    retry_after_seconds
        Retry-After value for callers that may retry.
    """

    def __init__(self, table: QueryTable, retry_after_seconds: float) -> None:
        self._table = table
        self._retry_after_seconds = retry_after_seconds
        self.kind_statistics = KindStatistics()
        """Rates and latencies of recently answered requests."""

    def finish_if_done(self, state: QueryState, now: float) -> list[Action]:
        """Answer if no results or retries are pending.

        After the promise of a latency-first request has passed, answer as soon as any keys are
        covered.
        """
        if self._table.state(state.request_id) is None:
            return []
        if state.answers_on_first_result and state.merge.covered:
            return self.finish(state, now)
        if state.pending_sub_requests or state.scheduled_retry_count:
            return []
        return self.finish(state, now)

    def finish(self, state: QueryState, now: float) -> list[Action]:
        """Answer with the results received so far."""
        answer = build_answer(state, now, self._retry_after_seconds)
        if state.needs_claim and not state.is_claimed:
            reason = (
                "the claim was not decided before the deadline; an earlier submission may have run"
            )
            answer = unknown_answer(state.request_id, reason, self._retry_after_seconds)
        return self.send_answer(state, answer, now)

    def send_answer(self, state: QueryState, answer: Answer, now: float) -> list[Action]:
        """Send ``answer`` to the caller, remove the request and finish its claim."""
        actions = self._table.remove(state)
        self.kind_statistics.record(state.resolved, now - state.arrived_at, now)
        if state.is_claimed:
            ran = answer.outcome is not Outcome.REFUSED_NOT_RUN
            stored = encode_answer(answer) if ran else None
            actions.append(Notify(ClaimFinished(answer.request_id, stored)))
        labels = (
            ("class", state.resolved.priority_class.name),
            ("outcome", answer.outcome.value),
        )
        actions.append(Count("wingquay_requests_total", labels=labels))
        actions.append(Observe("wingquay_request_seconds", now - state.arrived_at, labels))
        if not state.caller_gone:
            actions.append(AnswerCaller(answer))
        return actions
