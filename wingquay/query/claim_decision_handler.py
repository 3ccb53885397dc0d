"""What follows the claims machine's decision on an unrepeatable request."""

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
    """Runs a request whose claim was granted; answers the others."""

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
        """Take in the decision."""
        state = self._table.state(event.request_id)
        granted = event.decision is ClaimDecisionKind.GRANTED
        if state is None:
            # Too late to run it: give the claim back, it certainly did not run.
            return [Notify(ClaimFinished(event.request_id, None))] if granted else []
        if state.is_claimed:
            return []
        if not granted:
            return self._completion.send_answer(state, self._answer(event), now)
        state.is_claimed = True
        if state.caller_gone:
            return self._completion.send_answer(
                state, refused_answer(event.request_id, "caller gone", 0.0), now
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
                reason = "it ran before; its answer is not known any more"
                return stored or unknown_answer(request_id, reason, self._retry_after_seconds)
            case ClaimDecisionKind.KEY_REUSED:
                reason = "Idempotency-Key: used before for a request with other content"
                return invalid_answer(request_id, reason)
            case ClaimDecisionKind.IN_PROGRESS:
                reason = "an earlier submission may be running; this one did not run"
                return unknown_answer(request_id, reason, self._retry_after_seconds)
            case _:
                reason = "whether it ran before cannot be told; this submission did not run"
                return unknown_answer(request_id, reason, self._retry_after_seconds)
