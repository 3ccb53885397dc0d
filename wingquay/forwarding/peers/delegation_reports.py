"""Takes in what other nodes report of the shards that they were asked for."""

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
    """Answers, and shards that a node leaves to this one.

    Parameters
    ----------
    takeover
        Takes in how long a node took to say that it has the request.
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
        """Take in a report of a node that works on its share."""
        actions = self._declined(delegation, message.declined, now)
        if not delegation.is_acknowledged:
            actions += self._acknowledged(delegation, now)
        actions += self._given_back(delegation, message, now)
        self._exhausted(delegation, message)
        return actions + self._apply_answers(delegation, message, now)

    def _acknowledged(self, delegation: Delegation, now: float) -> list[Action]:
        """Leave further attempts to a node that is there, unless this node has stepped in."""
        delegation.is_acknowledged = True
        self._takeover_timeout.record(now - delegation.sent_at)
        self._groups.trust(delegation.node.node_id)
        max_attempts = delegation.exchange.route.max_attempts
        if delegation.is_lost or max_attempts <= 1:
            return []
        for call in delegation.calls:
            if call.service not in delegation.given_back:
                call.delegated_attempts = max_attempts
        return [SendToPeer(delegation.node, AllowAttempts(delegation.delegation_id, max_attempts))]

    def _declined(
        self, delegation: Delegation, positions: tuple[int, ...], now: float
    ) -> list[Action]:
        """Ask the shards directly of which the other node knows no replica."""
        if not positions or delegation.is_lost:
            return []
        calls = [delegation.calls[position] for position in positions]
        delegation.given_back.update(call.service for call in calls)
        for call in calls:
            call.delegated_attempts = 0
            call.arrivals -= 1
            call.history.append("declined")
        return self._starter.start_all(calls, now)

    def _given_back(
        self, delegation: Delegation, message: DelegatedAnswer, now: float
    ) -> list[Action]:
        """Ask for shards that a node has left to this one, since replicas may end under them."""
        if not message.given_back or delegation.is_lost:
            return []
        exchange = delegation.exchange
        calls = [delegation.calls[position] for position in message.given_back]
        delegation.given_back.update(call.service for call in calls)
        for call, arrivals in zip(calls, message.arrivals, strict=True):
            call.arrivals += arrivals - 1
            call.delegated_attempts = arrivals
            call.is_delegate_lost = arrivals > 0
            call.history.append(f"given back after {arrivals}")
            exchange.unexplained_disconnects += arrivals
        exchange.failures += len(calls)
        return self._starter.start_all([call for call in calls if call.attempts_left > 0], now)

    def _exhausted(self, delegation: Delegation, message: DelegatedAnswer) -> None:
        """Take in that nothing comes of shards any more."""
        if not message.exhausted or delegation.is_lost:
            return
        calls = [delegation.calls[position] for position in message.exhausted]
        delegation.given_back.update(call.service for call in calls)
        for call in calls:
            call.delegated_attempts = delegation.exchange.route.max_attempts
            call.is_delegate_lost = True
            call.history.append("exhausted")
        delegation.exchange.failures += len(calls)

    def _apply_answers(
        self, delegation: Delegation, message: DelegatedAnswer, now: float
    ) -> list[Action]:
        """Take in merged records: they stand with the first shard that they came from."""
        exchange = delegation.exchange
        was_sequential = exchange.is_sequential
        body = message.body
        for position, signature in zip(message.shards, message.signatures, strict=True):
            call = delegation.calls[position]
            if call.answer is not None:
                # Asked directly as well: its records are also among the merged ones.
                exchange.signatures.discard(str(call.answer.signature))
            call.record_answer(ReplicaAnswer(MERGED_STATUS, (), body, signature), now)
            exchange.signatures.add(signature)
            body = b""
        if not message.shards:
            return []
        actions = self._guard.answered(exchange, now)
        return actions + (self._sequential.go_on(exchange, now) if was_sequential else [])
