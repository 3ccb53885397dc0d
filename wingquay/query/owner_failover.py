"""Sends the sub-requests of lost or silent owners to other owners."""

from ..model.identifiers import NodeId
from ..ports.internal import MembershipChanged
from ..ports.machine import Action, Count, Schedule
from ..ports.peer import NodeIdentity
from .coordinator_events import OwnerCheckDue
from .owner_selector import OwnerSelector
from .query_completion import QueryCompletion
from .query_table import QueryTable
from .sub_request_sender import SubRequestSender


class OwnerFailover:
    """Detects lost and silent owners and fails over their pending sub-requests.

    Parameters
    ----------
    silence_seconds
        Time without a message from an owner with pending sub-requests after which it is
        considered silent.
    enabled
        Whether sub-requests are failed over.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        table: QueryTable,
        owner_selector: OwnerSelector,
        sender: SubRequestSender,
        completion: QueryCompletion,
        silence_seconds: float,
        enabled: bool,
    ) -> None:
        self._identity = identity
        self._table = table
        self._owner_selector = owner_selector
        self._sender = sender
        self._completion = completion
        self._silence_seconds = silence_seconds
        self._enabled = enabled
        self._check_scheduled = False

    def schedule_check(self, now: float) -> list[Action]:
        """Schedule a check for silent owners while any sub-request is pending."""
        if self._check_scheduled or not self._table.has_pending:
            return []
        self._check_scheduled = True
        return [Schedule(now + self._silence_seconds / 2.0, OwnerCheckDue())]

    def on_check_due(self, now: float) -> list[Action]:
        """Fail over the sub-requests of silent owners."""
        self._check_scheduled = False
        oldest: dict[NodeId, float] = {}
        for _, pending in self._table.pending_sub_requests():
            node_id = pending.owner.node_id
            oldest[node_id] = min(oldest.get(node_id, pending.sent_at), pending.sent_at)
        actions: list[Action] = []
        for owner_id, sent_at in oldest.items():
            if self._owner_selector.is_silent(owner_id, sent_at, now, self._silence_seconds):
                actions += self.fail_over(owner_id, now)
        return actions + self.schedule_check(now)

    def on_membership(self, event: MembershipChanged, now: float) -> list[Action]:
        """Fail over the sub-requests of owners that have left the membership."""
        member_ids = {node.node_id for node in (*event.available, *event.leaving)}
        owner_ids = {pending.owner.node_id for _, pending in self._table.pending_sub_requests()}
        gone = sorted(owner_ids - member_ids - {self._identity.node_id})
        return [action for node_id in gone for action in self._on_node_lost(node_id, now)]

    def _on_node_lost(self, node_id: NodeId, now: float) -> list[Action]:
        actions = self.fail_over(node_id, now)
        # The remaining sub-requests are unrepeatable, and the owner cannot report a result.
        for state, pending in self._table.pending_sub_requests():
            if pending.owner.node_id == node_id and self._enabled:
                state.reason = "the owner that ran the request was lost"
                actions += self._completion.finish(state, now)
        return actions

    def fail_over(self, node_id: NodeId, now: float) -> list[Action]:
        """Send the sub-requests of a lost or silent owner to other owners.

        Unrepeatable sub-requests stay pending at the owner.
        """
        if not self._enabled:
            return []
        self._owner_selector.exclude(node_id, now)
        lost = [
            (state, pending)
            for state, pending in self._table.pending_sub_requests()
            if pending.owner.node_id == node_id
        ]
        actions: list[Action] = []
        for state, pending in lost:
            state.may_have_run = True
            if not state.resolved.repeatable:
                # It may have run there, so it waits for the result of this owner.
                continue
            self._table.close_pending(state, pending)
            actions.append(Count("wingquay_owner_failovers_total"))
            actions += self._sender.resend(state, pending, now)
        return actions
