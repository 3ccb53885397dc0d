"""The requests that a coordinator has not answered yet, and their open sub-requests."""

from ..model.identifiers import RequestId, SubRequestId
from ..ports.machine import Action
from ..ports.peer import CancelSubRequests, NodeIdentity, SendToPeer
from .query_state import PendingSubRequest, QueryState


class QueryTable:
    """Requests by id, and the request of each open sub-request.

    Parameters
    ----------
    cancels
        Whether owners are told of sub-requests that nobody waits for any more.
    """

    def __init__(self, cancels: bool) -> None:
        self._cancels = cancels
        self._states: dict[RequestId, QueryState] = {}
        self._state_by_sub_request: dict[SubRequestId, QueryState] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._states)

    def add(self, state: QueryState) -> None:
        """Remember a request."""
        self._states[state.request_id] = state

    def state(self, request_id: RequestId) -> QueryState | None:
        """Return a request that is not answered yet, or ``None``."""
        return self._states.get(request_id)

    def state_of_sub_request(self, sub_request_id: SubRequestId) -> QueryState | None:
        """Return the request of an open sub-request, or ``None``."""
        return self._state_by_sub_request.get(sub_request_id)

    @property
    def has_pending(self) -> bool:
        """Whether any sub-request has no result yet."""
        return bool(self._state_by_sub_request)

    def pending_sub_requests(self) -> list[tuple[QueryState, PendingSubRequest]]:
        """Return every sub-request without a result."""
        return [
            (state, pending)
            for state in self._states.values()
            for pending in state.outstanding.values()
        ]

    def add_pending(self, state: QueryState, pending: PendingSubRequest) -> None:
        """Remember a sub-request that was sent."""
        sub_request_id = pending.sub_request.sub_request_id
        state.outstanding[sub_request_id] = pending
        self._state_by_sub_request[sub_request_id] = state

    def close_pending(
        self, state: QueryState, pending: PendingSubRequest, keeps_open: bool = False
    ) -> None:
        """Take in that a sub-request has its result.

        ``keeps_open`` leaves it open for a second result; for tests of the duplicate filter.
        """
        sub_request_id = pending.sub_request.sub_request_id
        state.outstanding.pop(sub_request_id, None)
        if keeps_open:
            state.answered[sub_request_id] = pending
        else:
            self._state_by_sub_request.pop(sub_request_id, None)

    def remove(self, state: QueryState) -> list[Action]:
        """Forget a request and give up on its open sub-requests."""
        self._states.pop(state.request_id, None)
        for sub_request_id in state.answered:
            self._state_by_sub_request.pop(sub_request_id, None)
        return self.cancel_pending(state)

    def cancel_pending(self, state: QueryState) -> list[Action]:
        """Give up on every open sub-request of a request and tell its owner.

        Their results will not be heard any more, so that each of them may have run.
        """
        state.may_have_run = state.may_have_run or bool(state.outstanding)
        by_owner: dict[str, tuple[NodeIdentity, list[SubRequestId]]] = {}
        for sub_request_id, pending in state.outstanding.items():
            self._state_by_sub_request.pop(sub_request_id, None)
            entry = by_owner.setdefault(pending.owner.node_id, (pending.owner, []))
            entry[1].append(sub_request_id)
        state.outstanding.clear()
        if not self._cancels:
            return []
        return [
            SendToPeer(owner, CancelSubRequests(tuple(ids))) for owner, ids in by_owner.values()
        ]
