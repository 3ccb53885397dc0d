"""Takes over the shards of nodes that fail to answer a delegation."""

from ...ports.machine import Action, Count, Log, LogLevel
from ..choice.replica_directory import ReplicaDirectory
from ..exchange import ServiceCall
from ..knowledge.node_groups import NodeGroups
from ..sending.call_starter import CallStarter
from ..settling.settlement import Settlement
from .delegation_dispatcher import DelegationDispatcher
from .open_delegations import Delegation, OpenDelegations
from .takeover_timeout import TakeoverTimeout


class DelegationTakeover:
    """Contacts the shards of lost nodes, and marks those nodes as suspect for a while.

    Parameters
    ----------
    dispatcher
        Delegates to further nodes while a request is young.
    """

    def __init__(
        self,
        groups: NodeGroups,
        directory: ReplicaDirectory,
        starter: CallStarter,
        settlement: Settlement,
        open_delegations: OpenDelegations,
        dispatcher: DelegationDispatcher,
        takeover_timeout: TakeoverTimeout,
    ) -> None:
        self._groups = groups
        self._directory = directory
        self._starter = starter
        self._settlement = settlement
        self._open = open_delegations
        self._dispatcher = dispatcher
        self._takeover_timeout = takeover_timeout

    def on_rejected(self, delegation: Delegation, reason: str, now: float) -> list[Action]:
        """Contact the shards of a node that has rejected the delegation, and mark it as suspect."""
        self._undo(delegation)
        return self._take_over(delegation, delegation.open_calls, reason, now)

    def on_unreachable(self, delegation: Delegation, reason: str, now: float) -> list[Action]:
        """Handle a node that cannot be reached.

        Early in a request its shards are delegated to other nodes; later this node contacts them
        itself.
        """
        self._undo(delegation)
        calls = delegation.open_calls
        exchange = delegation.exchange
        if now >= exchange.arrived_at + self._takeover_timeout.seconds(exchange.route):
            return self._take_over(delegation, calls, reason, now)
        lost = self._mark_lost(delegation, calls, reason, is_absent=True, now=now)
        own, dispatched = self._dispatcher.dispatch(exchange, calls, now)
        return [*lost, *dispatched, *self._starter.send_or_queue_all(own, now)]

    def on_lost(self, delegation: Delegation, reason: str, now: float) -> list[Action]:
        """Contact the shards of a node that is silent or whose connection broke."""
        calls = [call for call in delegation.open_calls if not call.attempts]
        for call in calls:
            call.is_delegate_lost = True
            if self._can_retry(call):
                call.delegated_attempts = 0
        return self._take_over(delegation, calls, reason, now)

    def _undo(self, delegation: Delegation) -> None:
        """Remove a delegation that the other node has not started."""
        for call in delegation.open_calls:
            call.delegated_attempts = 0
            call.send_count -= 1
        self._open.remove(delegation)

    def _can_retry(self, call: ServiceCall) -> bool:
        """Return whether this node may contact any replica without exceeding the attempt limit."""
        exchange = call.exchange
        if self._directory.has_restarted_since(call.service, exchange.arrived_at):
            # The lost node may have contacted the previous incarnation, which counts as a separate
            # replica.
            return False
        return self._directory.replica_count(call.service) <= exchange.route.max_attempts

    def _take_over(
        self, delegation: Delegation, calls: list[ServiceCall], reason: str, now: float
    ) -> list[Action]:
        """Contact the shards of a node directly, and mark the node as lost.

        Later answers of the node are still used, unless it has rejected the request.
        """
        exchange = delegation.exchange
        exchange.failures += len(calls)
        lost = self._mark_lost(delegation, calls, reason, is_absent=False, now=now)
        startable = [call for call in calls if call.attempts_left > 0]
        started = self._starter.send_or_queue_all(startable, now)
        return [*lost, *started, *self._settlement.settle(exchange, now)]

    def _mark_lost(
        self,
        delegation: Delegation,
        calls: list[ServiceCall],
        reason: str,
        is_absent: bool,
        now: float,
    ) -> list[Action]:
        """Mark a delegation as lost and its node as suspect."""
        delegation.is_lost = True
        node_id = delegation.node.node_id
        self._groups.suspect(node_id, now, is_absent)
        fields = (
            ("request_id", delegation.exchange.event.request_id),
            ("delegate", node_id),
            ("shards", len(calls)),
            ("reason", reason),
        )
        return [
            Log("delegation_lost", LogLevel.INFO, fields),
            Count("delegations_lost_total"),
        ]
