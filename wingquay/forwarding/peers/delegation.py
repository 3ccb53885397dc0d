"""Lets other nodes ask shards of a request, and steps in for lost ones.

The owners of shards are asked for those of a wide request, a node of another zone for the shards of
a narrow one that have no replica in this zone.

A node that is asked says so at once, so that one which is killed, frozen or cut off is noticed
while there is still time to ask its shards directly. Until it is heard, it may send to one replica
of each shard and this node to the others; from then on all attempts are the other node's. So no
request reaches more replicas of a shard than its route allows, whatever the two know of each other.
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

MOST_GREETINGS = 3
"""Connections opened at once before a request needs them: a handshake takes about a millisecond of
processor time at either side, and an owner may hear from a whole fleet that starts."""


class Delegations:
    """What this node has asked of others.

    Parameters
    ----------
    first_id
        Number of the first delegation, drawn anew at each start: a node keeps its id over its
        lives, and what its last life has asked for may still be answered.
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
        takeover = TakeoverTimeout(settings)
        self._asking = DelegationDispatcher(settings, groups, directory, self._open, takeover)
        self.placement = self._asking.placement
        self._reports = DelegationReports(groups, starter, guard, sequential, takeover)
        self._stepping_in = DelegationTakeover(
            groups, directory, starter, settlement, self._open, self._asking, takeover
        )
        self._greeted: set[str] = set()
        """Nodes to which the connection was opened, by id."""

    def start(self, exchange: Exchange, calls: list[ServiceCall], now: float) -> list[Action]:
        """Start calls of a request: own shards directly, the others through their nodes."""
        if not exchange.is_repeatable:
            return self._starter.begin_all(calls, now)
        self._asking.count(exchange.route.shards, now)
        own, actions = self._asking.divide(exchange, calls, now)
        if not actions:
            return self._starter.begin_all(own, now)
        return [*actions, Schedule(now, BeginDue(exchange.exchange_id))]

    def greet(self, table: RoutingTable, now: float) -> list[Action]:
        """Open connections to owners of shards before a request needs them, a few at a time."""
        actions: list[Action] = []
        for route in table.routes:
            if not route.is_repeatable or not self._asking.is_wide(route.shards):
                continue
            for owner in self.placement.contacts(route.shards, now):
                if owner.node_id not in self._greeted and len(actions) < MOST_GREETINGS:
                    self._greeted.add(owner.node_id)
                    actions.append(SendToPeer(owner, PrewarmMessage()))
        return actions

    def answered(self, sender: NodeIdentity, message: DelegatedAnswer, now: float) -> list[Action]:
        """Take in what a node reports."""
        delegation = self._open.get(message.delegation_id)
        if delegation is None or delegation.node.node_id != sender.node_id:
            return []
        if message.is_rejected:
            return self._stepping_in.not_taken(delegation, "rejected", now)
        if message.held_seconds:
            identity = delegation.exchange.identity
            return self._guard.hold(identity, message.held_seconds, sender.node_id, now)
        actions = self._reports.take(delegation, message, now)
        if not delegation.open_calls:
            self._open.forget(delegation)
        return actions + self._settlement.settle(delegation.exchange, now)

    def due(self, event: DelegationDue, now: float) -> list[Action]:
        """Step in for a node that has not reported in time."""
        delegation = self._open.get(event.delegation_id)
        if delegation is None or delegation.is_heard or delegation.is_lost:
            return []
        return self._stepping_in.lost(delegation, "silent", now)

    def link_broken(self, event: PeerLinkBroken, now: float) -> list[Action]:
        """Step in for a node whose connection broke or did not come up."""
        node_id = event.node_id
        self._greeted.discard(node_id)
        lost = self._open.at(node_id)
        actions: list[Action] = []
        for delegation in lost:
            if event.was_open:
                actions += self._stepping_in.lost(delegation, event.reason, now)
            else:
                actions += self._stepping_in.not_reached(delegation, event.reason, now)
        self._groups.suspect(node_id, now, is_absent=not event.was_open)
        return actions

    def closed(self, exchange: Exchange) -> list[Action]:
        """Let nodes stop working for a request that ended."""
        actions: list[Action] = []
        for delegation in self._open.take_all_of(exchange):
            if delegation.open_calls:
                message = CancelDelegation(delegation.delegation_id)
                actions.append(SendToPeer(delegation.node, message))
        return actions
