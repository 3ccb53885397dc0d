"""The requests that a coordinator has not answered yet, and their open sub-requests."""

from ..model.identifiers import RequestId, SubRequestId
from ..ports.machine import Action
from ..ports.peer import CancelSubRequests, NodeIdentity, SendToPeer
from .query_state import Piece, QueryState


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
        self._state_of: dict[SubRequestId, QueryState] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._states)

    def add(self, state: QueryState) -> None:
        """Remember a request."""
        self._states[state.request_id] = state

    def state(self, request_id: RequestId) -> QueryState | None:
        """Return a request that is not answered yet, or ``None``."""
        return self._states.get(request_id)

    def state_of(self, sub_request_id: SubRequestId) -> QueryState | None:
        """Return the request of an open sub-request, or ``None``."""
        return self._state_of.get(sub_request_id)

    @property
    def has_open_pieces(self) -> bool:
        """Whether any sub-request has no result yet."""
        return bool(self._state_of)

    def open_pieces(self) -> list[tuple[QueryState, Piece]]:
        """Return every sub-request without a result."""
        return [
            (state, piece)
            for state in self._states.values()
            for piece in state.outstanding.values()
        ]

    def add_piece(self, state: QueryState, piece: Piece) -> None:
        """Remember a sub-request that was sent."""
        sub_request_id = piece.sub_request.sub_request_id
        state.outstanding[sub_request_id] = piece
        self._state_of[sub_request_id] = state

    def close_piece(self, state: QueryState, piece: Piece, keeps_open: bool = False) -> None:
        """Take in that a sub-request has its result.

        ``keeps_open`` leaves it open for a second result; for tests of the duplicate filter.
        """
        sub_request_id = piece.sub_request.sub_request_id
        state.outstanding.pop(sub_request_id, None)
        if keeps_open:
            state.answered[sub_request_id] = piece
        else:
            self._state_of.pop(sub_request_id, None)

    def forget(self, state: QueryState) -> list[Action]:
        """Forget a request and give up on its open sub-requests."""
        self._states.pop(state.request_id, None)
        for sub_request_id in state.answered:
            self._state_of.pop(sub_request_id, None)
        return self.drop_pieces(state)

    def drop_pieces(self, state: QueryState) -> list[Action]:
        """Give up on every open sub-request of a request and tell its owner.

        Their results will not be heard any more, so that each of them may have run.
        """
        state.may_have_run = state.may_have_run or bool(state.outstanding)
        by_owner: dict[str, tuple[NodeIdentity, list[SubRequestId]]] = {}
        for sub_request_id, piece in state.outstanding.items():
            self._state_of.pop(sub_request_id, None)
            entry = by_owner.setdefault(piece.owner.node_id, (piece.owner, []))
            entry[1].append(sub_request_id)
        state.outstanding.clear()
        if not self._cancels:
            return []
        return [
            SendToPeer(owner, CancelSubRequests(tuple(ids))) for owner, ids in by_owner.values()
        ]
