"""Unanswered requests of a coordinator and their pending sub-requests."""

from ..model.identifiers import RequestId, SubRequestId
from ..ports.machine import Action
from ..ports.peer import CancelSubRequests, NodeIdentity, SendToPeer
from .query_state import PendingSubRequest, QueryState


class QueryTable:
    """Unanswered requests by id and by pending sub-request.

    Parameters
    ----------
    cancels
        Whether owners are sent cancellations for dropped sub-requests.
    """

    def __init__(self, cancels: bool) -> None:
        self._cancels = cancels
        self._states: dict[RequestId, QueryState] = {}
        self._state_by_sub_request: dict[SubRequestId, QueryState] = {}

    def __len__(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._states)

    def add(self, state: QueryState) -> None:
        """Add a request."""
        self._states[state.request_id] = state

    def state(self, request_id: RequestId) -> QueryState | None:
        """Return an unanswered request, or ``None``."""
        return self._states.get(request_id)

    def state_of_sub_request(self, sub_request_id: SubRequestId) -> QueryState | None:
        """Return the request of a pending sub-request, or ``None``."""
        return self._state_by_sub_request.get(sub_request_id)

    @property
    def has_pending(self) -> bool:
        """Whether any sub-request is pending."""
        return bool(self._state_by_sub_request)

    def pending_sub_requests(self) -> list[tuple[QueryState, PendingSubRequest]]:
        """Return all pending sub-requests with their requests."""
        return [
            (state, pending)
            for state in self._states.values()
            for pending in state.pending_sub_requests.values()
        ]

    def add_pending(self, state: QueryState, pending: PendingSubRequest) -> None:
        """Add a sub-request that was sent."""
        sub_request_id = pending.sub_request.sub_request_id
        state.pending_sub_requests[sub_request_id] = pending
        self._state_by_sub_request[sub_request_id] = state

    def close_pending(
        self, state: QueryState, pending: PendingSubRequest, accepts_duplicates: bool = False
    ) -> None:
        """Mark a sub-request as no longer pending.

        With ``accepts_duplicates`` a second result is still accepted.
        """
        sub_request_id = pending.sub_request.sub_request_id
        state.pending_sub_requests.pop(sub_request_id, None)
        if accepts_duplicates:
            state.answered[sub_request_id] = pending
        else:
            self._state_by_sub_request.pop(sub_request_id, None)

    def remove(self, state: QueryState) -> list[Action]:
        """Remove a request and cancel its pending sub-requests."""
        self._states.pop(state.request_id, None)
        for sub_request_id in state.answered:
            self._state_by_sub_request.pop(sub_request_id, None)
        return self.cancel_pending(state)

    def cancel_pending(self, state: QueryState) -> list[Action]:
        """Drop all pending sub-requests of a request and send cancellations to their owners.

        Their results are ignored from now on, so each of them may have run.
        """
        state.may_have_run = state.may_have_run or bool(state.pending_sub_requests)
        by_owner: dict[str, tuple[NodeIdentity, list[SubRequestId]]] = {}
        for sub_request_id, pending in state.pending_sub_requests.items():
            self._state_by_sub_request.pop(sub_request_id, None)
            entry = by_owner.setdefault(pending.owner.node_id, (pending.owner, []))
            entry[1].append(sub_request_id)
        state.pending_sub_requests.clear()
        if not self._cancels:
            return []
        return [
            SendToPeer(owner, CancelSubRequests(tuple(ids))) for owner, ids in by_owner.values()
        ]
