"""Handles the reports of other nodes on their delegations."""

from ...ports.delegation import AllowAttempts, DelegatedAnswer
from ...ports.forwarding import ReplicaAnswer
from ...ports.machine import Action
from ...ports.peer_link import SendToPeer
from ..crashing.guard import CrashGuard
from ..crashing.sequential_sending import SequentialSending
from ..knowledge.node_groups import NodeGroups
from ..sending.call_starter import CallStarter
from .open_delegations import Delegation
from .takeover_timeout import TakeoverTimeout

MERGED_STATUS = 200


class DelegationReports:
    """Applies acknowledgements, answers and returned shards.

    Parameters
    ----------
    takeover_timeout
        Records how long nodes take to acknowledge a delegation.
    """

    def __init__(
        self,
        groups: NodeGroups,
        starter: CallStarter,
        guard: CrashGuard,
        sequential: SequentialSending,
        takeover_timeout: TakeoverTimeout,
    ) -> None:
        self._groups = groups
        self._starter = starter
        self._guard = guard
        self._sequential = sequential
        self._takeover_timeout = takeover_timeout

    def handle(self, delegation: Delegation, message: DelegatedAnswer, now: float) -> list[Action]:
        """Handle a report on a delegation."""
        actions = self._declined(delegation, message.declined, now)
        if not delegation.is_acknowledged:
            actions += self._acknowledged(delegation, now)
        actions += self._given_back(delegation, message, now)
        self._exhausted(delegation, message)
        return actions + self._apply_answers(delegation, message, now)

    def _acknowledged(self, delegation: Delegation, now: float) -> list[Action]:
        """Leave further attempts to a node that is reachable, unless this node has taken over."""
        delegation.is_acknowledged = True
        self._takeover_timeout.record(now - delegation.sent_at)
        self._groups.clear_suspicion(delegation.node.node_id)
        max_attempts = delegation.exchange.route.max_attempts
        if delegation.is_lost or max_attempts <= 1:
            return []
        for call in delegation.calls:
            if call.service not in delegation.finished_services:
                call.delegated_attempts = max_attempts
        return [SendToPeer(delegation.node, AllowAttempts(delegation.delegation_id, max_attempts))]

    def _declined(
        self, delegation: Delegation, positions: tuple[int, ...], now: float
    ) -> list[Action]:
        """Directly contact the shards for which the other node has no replica."""
        if not positions or delegation.is_lost:
            return []
        calls = [delegation.calls[position] for position in positions]
        delegation.finished_services.update(call.service for call in calls)
        for call in calls:
            call.delegated_attempts = 0
            call.send_count -= 1
            call.history.append("declined")
        return self._starter.send_or_queue_all(calls, now)

    def _given_back(
        self, delegation: Delegation, message: DelegatedAnswer, now: float
    ) -> list[Action]:
        """Contact the shards that the other node has returned.

        It returns them if replicas may crash during this request.
        """
        if not message.given_back or delegation.is_lost:
            return []
        exchange = delegation.exchange
        calls = [delegation.calls[position] for position in message.given_back]
        delegation.finished_services.update(call.service for call in calls)
        for call, arrivals in zip(calls, message.arrivals, strict=True):
            call.send_count += arrivals - 1
            call.delegated_attempts = arrivals
            call.is_delegate_lost = arrivals > 0
            call.history.append(f"returned after {arrivals}")
            exchange.unexplained_disconnects += arrivals
        exchange.failures += len(calls)
        return self._starter.send_or_queue_all(
            [call for call in calls if call.attempts_left > 0], now
        )

    def _exhausted(self, delegation: Delegation, message: DelegatedAnswer) -> None:
        """Record that shards can no longer be answered."""
        if not message.exhausted or delegation.is_lost:
            return
        calls = [delegation.calls[position] for position in message.exhausted]
        delegation.finished_services.update(call.service for call in calls)
        for call in calls:
            call.delegated_attempts = delegation.exchange.route.max_attempts
            call.is_delegate_lost = True
            call.history.append("exhausted")
        delegation.exchange.failures += len(calls)

    def _apply_answers(
        self, delegation: Delegation, message: DelegatedAnswer, now: float
    ) -> list[Action]:
        """Apply merged records, which are stored with the first of their shards."""
        exchange = delegation.exchange
        was_sequential = exchange.is_sequential
        body = message.body
        for position, signature in zip(message.shards, message.signatures, strict=True):
            call = delegation.calls[position]
            if call.answer is not None:
                # The shard was contacted directly as well, and the merged records contain its
                # records too.
                exchange.signatures.discard(str(call.answer.signature))
            call.record_answer(ReplicaAnswer(MERGED_STATUS, (), body, signature), now)
            exchange.signatures.add(signature)
            body = b""
        if not message.shards:
            return []
        actions = self._guard.on_answered(exchange, now)
        return actions + (self._sequential.send_remaining(exchange, now) if was_sequential else [])
