"""Delegates shards of a request to other nodes, and takes over if they fail.

A wide request is delegated to the owners of its shards. For a narrow request, the shards without a
replica in this zone are delegated to a node of another zone.

The other node acknowledges a delegation at once, so that a crashed, frozen or disconnected node is
detected while there is still time to contact its shards directly. Before the acknowledgement, the
other node may contact one replica of each shard and this node the others; afterwards all attempts
are left to the other node. Thus a request never reaches more replicas of a shard than its route
allows.
"""

from ...model.routing_table import RoutingTable
from ...ports.delegation import CancelDelegation, DelegatedAnswer, PrewarmMessage
from ...ports.machine import Action, Schedule
from ...ports.peer_link import NodeIdentity, PeerLinkBroken, SendToPeer
from ..choice.replica_directory import ReplicaDirectory
from ..crashing.guard import CrashGuard
from ..crashing.sequential_sending import SequentialSending
from ..exchange import Exchange, ServiceCall
from ..knowledge.node_groups import NodeGroups
from ..sending.call_starter import CallStarter
from ..settings import ForwardingSettings
from ..settling.settlement import Settlement
from ..timers import BeginDue, DelegationDue
from .delegation_dispatcher import DelegationDispatcher
from .delegation_reports import DelegationReports
from .delegation_takeover import DelegationTakeover
from .open_delegations import OpenDelegations
from .takeover_timeout import TakeoverTimeout

MAX_PREWARMED_PEERS = 3
"""Maximum number of nodes to which connections are opened at once in advance; limits the processor
time that handshakes take when many nodes start together."""


class Delegations:
    """The delegations of this node.

    Parameters
    ----------
    first_id
        Id of the first delegation. It differs between incarnations of this node, since replies to
        delegations of the previous one may still arrive.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        groups: NodeGroups,
        directory: ReplicaDirectory,
        starter: CallStarter,
        settlement: Settlement,
        guard: CrashGuard,
        sequential: SequentialSending,
        first_id: int,
    ) -> None:
        self._guard = guard
        self._groups = groups
        self._starter = starter
        self._settlement = settlement
        self._open = OpenDelegations(first_id)
        takeover_timeout = TakeoverTimeout(settings)
        self._dispatcher = DelegationDispatcher(
            settings, groups, directory, self._open, takeover_timeout
        )
        self.placement = self._dispatcher.placement
        self._reports = DelegationReports(groups, starter, guard, sequential, takeover_timeout)
        self._takeover = DelegationTakeover(
            groups, directory, starter, settlement, self._open, self._dispatcher, takeover_timeout
        )
        self._prewarmed_ids: set[str] = set()
        """Ids of the nodes to which a connection was opened in advance."""

    def start(self, exchange: Exchange, calls: list[ServiceCall], now: float) -> list[Action]:
        """Start the calls of a request: directly, or through the nodes they are delegated to.

        With delegations, the own calls start in a later event, so that the delegations are sent
        first.
        """
        if not exchange.is_repeatable:
            return self._starter.begin_all(calls, now)
        self._dispatcher.count(exchange.route.shards, now)
        own, actions = self._dispatcher.dispatch(exchange, calls, now)
        if not actions:
            return self._starter.begin_all(own, now)
        return [*actions, Schedule(now, BeginDue(exchange.exchange_id))]

    def prewarm_peers(self, table: RoutingTable, now: float) -> list[Action]:
        """Open connections to owners of shards in advance, a few at a time."""
        actions: list[Action] = []
        for route in table.routes:
            if not route.is_repeatable or not self._dispatcher.is_wide(route.shards):
                continue
            for owner in self.placement.owner_nodes(route.shards, now):
                if owner.node_id not in self._prewarmed_ids and len(actions) < MAX_PREWARMED_PEERS:
                    self._prewarmed_ids.add(owner.node_id)
                    actions.append(SendToPeer(owner, PrewarmMessage()))
        return actions

    def on_answer(self, sender: NodeIdentity, message: DelegatedAnswer, now: float) -> list[Action]:
        """Handle a report of the other node."""
        delegation = self._open.get(message.delegation_id)
        if delegation is None or delegation.node.node_id != sender.node_id:
            return []
        if message.is_rejected:
            return self._takeover.on_rejected(delegation, "rejected", now)
        if message.held_seconds:
            identity = delegation.exchange.identity
            return self._guard.hold(identity, message.held_seconds, sender.node_id, now)
        actions = self._reports.handle(delegation, message, now)
        if not delegation.open_calls:
            self._open.remove(delegation)
        return actions + self._settlement.settle(delegation.exchange, now)

    def on_due(self, event: DelegationDue, now: float) -> list[Action]:
        """Take over from a node that has not acknowledged a delegation in time."""
        delegation = self._open.get(event.delegation_id)
        if delegation is None or delegation.is_acknowledged or delegation.is_lost:
            return []
        return self._takeover.on_lost(delegation, "silent", now)

    def on_link_broken(self, event: PeerLinkBroken, now: float) -> list[Action]:
        """Take over from a node whose connection broke or could not be opened."""
        node_id = event.node_id
        self._prewarmed_ids.discard(node_id)
        lost = self._open.get_for_node(node_id)
        actions: list[Action] = []
        for delegation in lost:
            if event.was_open:
                actions += self._takeover.on_lost(delegation, event.reason, now)
            else:
                actions += self._takeover.on_unreachable(delegation, event.reason, now)
        self._groups.suspect(node_id, now, is_absent=not event.was_open)
        return actions

    def on_closed(self, exchange: Exchange) -> list[Action]:
        """Cancel the open delegations of a request that has ended."""
        actions: list[Action] = []
        for delegation in self._open.remove_all_for(exchange):
            if delegation.open_calls:
                message = CancelDelegation(delegation.delegation_id)
                actions.append(SendToPeer(delegation.node, message))
        return actions
