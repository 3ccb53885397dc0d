"""Handles the decision of the claims machine on an unrepeatable request."""

from ..model.answer import Answer
from ..ports.internal import ClaimDecided, ClaimDecisionKind, ClaimFinished, Notify
from ..ports.machine import Action
from .admission_gate import AdmissionGate
from .answer_builders import invalid_answer, refused_answer, unknown_answer
from .answer_codec import decode_answer
from .query_completion import QueryCompletion
from .query_planner import QueryPlanner
from .query_table import QueryTable


class ClaimDecisionHandler:
    """Starts a request whose claim is granted; answers the others without running them."""

    def __init__(
        self,
        table: QueryTable,
        planner: QueryPlanner,
        completion: QueryCompletion,
        gate: AdmissionGate,
        retry_after_seconds: float,
    ) -> None:
        self._table = table
        self._planner = planner
        self._completion = completion
        self._gate = gate
        self._retry_after_seconds = retry_after_seconds

    def on_decided(self, event: ClaimDecided, now: float) -> list[Action]:
        """Handle a claim decision."""
        state = self._table.state(event.request_id)
        granted = event.decision is ClaimDecisionKind.GRANTED
        if state is None:
            # The request is answered already and did not run, so release the claim.
            return [Notify(ClaimFinished(event.request_id, None))] if granted else []
        if state.is_claimed:
            return []
        if not granted:
            return self._completion.send_answer(state, self._answer(event), now)
        state.is_claimed = True
        if state.caller_gone:
            return self._completion.send_answer(
                state, refused_answer(event.request_id, "the caller disconnected", 0.0), now
            )
        refused = self._gate.refusal(state.resolved, now)
        if refused is not None:
            return self._completion.send_answer(state, refused, now)
        return self._planner.start(state, now)

    def _answer(self, event: ClaimDecided) -> Answer:
        request_id = event.request_id
        match event.decision:
            case ClaimDecisionKind.ALREADY_DONE:
                stored = decode_answer(event.outcome or b"", request_id)
                reason = "the request ran earlier; its stored answer is missing or unreadable"
                return stored or unknown_answer(request_id, reason, self._retry_after_seconds)
            case ClaimDecisionKind.KEY_REUSED:
                reason = "Idempotency-Key: already used for a request with different content"
                return invalid_answer(request_id, reason)
            case ClaimDecisionKind.IN_PROGRESS:
                reason = "an earlier submission may still be running; this one did not run"
                return unknown_answer(request_id, reason, self._retry_after_seconds)
            case _:
                reason = (
                    "it is unknown whether the request ran earlier; this submission did not run"
                )
                return unknown_answer(request_id, reason, self._retry_after_seconds)
