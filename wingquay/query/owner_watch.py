"""Notices owners that are lost or silent and asks others for what they were asked."""

from ..model.identifiers import NodeId
from ..ports.internal import MembershipChanged
from ..ports.machine import Action, Count, Schedule
from ..ports.peer import NodeIdentity
from .coordinator_events import OwnerCheckDue
from .owner_selector import OwnerSelector
from .piece_sender import PieceSender
from .query_ending import QueryEnding
from .query_table import QueryTable


class OwnerWatch:
    """Owner failover.

    Parameters
    ----------
    silence_seconds
        Silence of an owner that owes results after which another one is asked.
    enabled
        Whether anything is done about it.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        table: QueryTable,
        links: OwnerSelector,
        sender: PieceSender,
        ending: QueryEnding,
        silence_seconds: float,
        enabled: bool,
    ) -> None:
        self._identity = identity
        self._table = table
        self._links = links
        self._sender = sender
        self._ending = ending
        self._silence_seconds = silence_seconds
        self._enabled = enabled
        self._check_scheduled = False

    def schedule_check(self, now: float) -> list[Action]:
        """Have owners looked at soon if any of them owes a result."""
        if self._check_scheduled or not self._table.has_open_pieces:
            return []
        self._check_scheduled = True
        return [Schedule(now + self._silence_seconds / 2.0, OwnerCheckDue())]

    def on_check(self, now: float) -> list[Action]:
        """Look for silent owners."""
        self._check_scheduled = False
        oldest: dict[NodeId, float] = {}
        for _, piece in self._table.open_pieces():
            node_id = piece.owner.node_id
            oldest[node_id] = min(oldest.get(node_id, piece.sent_at), piece.sent_at)
        actions: list[Action] = []
        for owner_id, sent_at in oldest.items():
            if self._links.is_silent(owner_id, sent_at, now, self._silence_seconds):
                actions += self.fail_over(owner_id, now)
        return actions + self.schedule_check(now)

    def on_membership(self, event: MembershipChanged, now: float) -> list[Action]:
        """Ask others for what nodes were asked that are gone."""
        present = {node.node_id for node in (*event.available, *event.leaving)}
        asked = {piece.owner.node_id for _, piece in self._table.open_pieces()}
        gone = sorted(asked - present - {self._identity.node_id})
        return [action for node_id in gone for action in self._on_gone(node_id, now)]

    def _on_gone(self, node_id: NodeId, now: float) -> list[Action]:
        actions = self.fail_over(node_id, now)
        # What is still open there cannot be repeated, and its owner will never speak again.
        for state, piece in self._table.open_pieces():
            if piece.owner.node_id == node_id and self._enabled:
                state.reason = "the node that ran it was lost"
                actions += self._ending.finish(state, now)
        return actions

    def fail_over(self, node_id: NodeId, now: float) -> list[Action]:
        """Ask other owners for what a lost or silent one was asked."""
        if not self._enabled:
            return []
        self._links.pass_over(node_id, now)
        lost = [
            (state, piece)
            for state, piece in self._table.open_pieces()
            if piece.owner.node_id == node_id
        ]
        actions: list[Action] = []
        for state, piece in lost:
            state.may_have_run = True
            if not state.resolved.repeatable:
                # It may run there; only the owner's own word could say more.
                continue
            self._table.close_piece(state, piece)
            actions.append(Count("wingquay_owner_failovers_total"))
            actions += self._sender.resend(state, piece, now)
        return actions
