"""Lets other nodes ask shards of a request, and steps in for lost ones.

The owners of shards are asked for those of a wide request, a node of another zone for the shards of
a narrow one that have no replica in this zone.

A node that is asked says so at once, so that one which is killed, frozen or cut off is noticed
while there is still time to ask its shards directly. Until it is heard, it may send to one replica
of each shard and this node to the others; from then on all attempts are the other node's. So no
request reaches more replicas of a shard than its route allows, whatever the two know of each other.
"""

from collections.abc import Mapping

from ...model.routing_table import RoutingTable
from ...ports.delegation import (
    AllowAttempts,
    CancelDelegation,
    DelegatedAnswer,
    DelegatedRequest,
    Greeting,
)
from ...ports.forwarding import ReplicaAnswer
from ...ports.machine import Action, Count, Log, LogLevel, Schedule
from ...ports.peer_link import NodeIdentity, PeerLinkBroken, SendToPeer
from ..choice.replica_directory import ReplicaDirectory
from ..crashing.careful_sending import CarefulSending
from ..crashing.guard import CrashGuard
from ..exchange import Exchange, ServiceCall
from ..knowledge.node_groups import NodeGroups
from ..sending.call_starter import CallStarter
from ..settings import ForwardingSettings
from ..settling.settlement import Settlement
from ..timers import BeginDue, DelegationDue
from .open_delegations import Delegation, OpenDelegations
from .relays import Relays
from .request_rate import RequestRate
from .shard_placement import ShardPlacement
from .takeover_time import TakeoverTime

MERGED_STATUS = 200
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
        careful: CarefulSending,
        first_id: int,
    ) -> None:
        self._guard = guard
        self._careful = careful
        self._settings = settings
        self._groups = groups
        self._directory = directory
        self._open = OpenDelegations(first_id)
        self._relays = Relays(settings, groups, directory, self._open.count_at)
        self._rate = RequestRate()
        self.placement = ShardPlacement(settings, groups, directory, self._rate)
        self._takeover = TakeoverTime(settings)
        self._greeted: set[str] = set()
        """Nodes to which the connection was opened, by id."""
        self._starter = starter
        self._settlement = settlement

    def start(self, exchange: Exchange, calls: list[ServiceCall], now: float) -> list[Action]:
        """Start calls of a request: own shards directly, the others through their nodes."""
        if not exchange.is_repeatable:
            return self._begin_directly(calls, now)
        if self._is_wide(exchange.route.shards):
            self._rate.count(now)
        own, actions = self._divide(exchange, calls, now)
        if not actions:
            return self._begin_directly(own, now)
        return [*actions, Schedule(now, BeginDue(exchange.exchange_id))]

    def _divide(
        self, exchange: Exchange, calls: list[ServiceCall], now: float
    ) -> tuple[list[ServiceCall], list[Action]]:
        """Ask other nodes for calls; return those that are left to this one, too."""
        shards = exchange.route.shards
        is_wide = self._is_wide(shards)
        owners: Mapping[str, NodeIdentity | None]
        if is_wide:
            owners = self.placement.owners(shards, now)
        else:
            owners = self._relays.owners(shards, now)
        shares: dict[str, list[ServiceCall]] = {}
        nodes: dict[str, NodeIdentity] = {}
        own: list[ServiceCall] = []
        for call in calls:
            owner = owners.get(call.service)
            if owner is None:
                own.append(call)
                continue
            nodes[owner.node_id] = owner
            shares.setdefault(owner.node_id, []).append(call)
        actions: list[Action] = []
        for node_id, share in shares.items():
            actions += self._delegate(exchange, nodes[node_id], share, is_wide, now)
        for call in own:
            call.is_owned = is_wide and call.service in owners
        return own, actions

    def greet(self, table: RoutingTable, now: float) -> list[Action]:
        """Open connections to owners of shards before a request needs them, a few at a time."""
        actions: list[Action] = []
        for route in table.routes:
            if not route.is_repeatable or not self._is_wide(route.shards):
                continue
            for owner in self.placement.contacts(route.shards, now):
                if owner.node_id not in self._greeted and len(actions) < MOST_GREETINGS:
                    self._greeted.add(owner.node_id)
                    actions.append(SendToPeer(owner, Greeting()))
        return actions

    def answered(self, sender: NodeIdentity, message: DelegatedAnswer, now: float) -> list[Action]:
        """Take in what a node reports."""
        delegation = self._open.get(message.delegation_id)
        if delegation is None or delegation.node.node_id != sender.node_id:
            return []
        if message.is_rejected:
            return self._not_taken(delegation, "rejected", now)
        if message.held_seconds:
            identity = delegation.exchange.identity
            return self._guard.hold(identity, message.held_seconds, sender.node_id, now)
        actions = self._declined(delegation, message.declined, now)
        if not delegation.is_heard:
            actions += self._heard(delegation, now)
        actions += self._given_back(delegation, message, now)
        self._exhausted(delegation, message)
        actions += self._take_answers(delegation, message, now)
        if not delegation.open_calls:
            self._open.forget(delegation)
        return actions + self._settlement.settle(delegation.exchange, now)

    def due(self, event: DelegationDue, now: float) -> list[Action]:
        """Step in for a node that has not reported in time."""
        delegation = self._open.get(event.delegation_id)
        if delegation is None or delegation.is_heard or delegation.is_lost:
            return []
        return self._lost(delegation, "silent", now)

    def link_broken(self, event: PeerLinkBroken, now: float) -> list[Action]:
        """Step in for a node whose connection broke or did not come up."""
        node_id = event.node_id
        self._greeted.discard(node_id)
        lost = self._open.at(node_id)
        actions: list[Action] = []
        for delegation in lost:
            if event.was_open:
                actions += self._lost(delegation, event.reason, now)
            else:
                actions += self._not_reached(delegation, event.reason, now)
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

    def _is_wide(self, shards: tuple[str, ...]) -> bool:
        return len(shards) >= self._settings.delegate_least_shards

    def _begin_directly(self, calls: list[ServiceCall], now: float) -> list[Action]:
        actions: list[Action] = []
        for call in calls:
            actions += self._starter.begin(call, now)
        return actions

    def _start_directly(self, calls: list[ServiceCall], now: float) -> list[Action]:
        actions: list[Action] = []
        for call in calls:
            actions += self._starter.start(call, now)
        return actions

    def _delegate(
        self,
        exchange: Exchange,
        node: NodeIdentity,
        calls: list[ServiceCall],
        is_group_share: bool,
        now: float,
    ) -> list[Action]:
        settings = self._settings
        route = exchange.route
        delegation = self._open.add(node, exchange, calls, now)
        for call in calls:
            call.is_begun = True
            call.delegated_attempts = 1
            call.arrivals += 1
            call.history.append(f"asked through {node.node_id}")
        in_time_seconds = exchange.in_time_at - now - settings.delegate_return_seconds
        message = DelegatedRequest(
            delegation_id=delegation.delegation_id,
            request_id=exchange.event.request_id,
            request=exchange.event.request,
            route_name=route.name,
            shards=tuple(call.service for call in calls),
            merged_records=route.merged_records,
            priority=route.priority,
            objective_seconds=route.objective_seconds,
            in_time_seconds=max(in_time_seconds, 0.0),
            remaining_seconds=max(exchange.ends_at - now, 0.001),
            is_group_share=is_group_share,
        )
        due_at = now + self._takeover.seconds(exchange.route)
        return [
            SendToPeer(node, message),
            Count("delegated_requests_total", labels=(("side", "sent"),)),
            Schedule(due_at, DelegationDue(delegation.delegation_id)),
        ]

    def _heard(self, delegation: Delegation, now: float) -> list[Action]:
        """Leave further attempts to a node that is there, unless this node has stepped in."""
        delegation.is_heard = True
        self._takeover.heard(now - delegation.sent_at)
        self._groups.trust(delegation.node.node_id)
        most = delegation.exchange.route.max_attempts
        if delegation.is_lost or most <= 1:
            return []
        for call in delegation.calls:
            if call.service not in delegation.given_back:
                call.delegated_attempts = most
        return [SendToPeer(delegation.node, AllowAttempts(delegation.delegation_id, most))]

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
        return self._start_directly(calls, now)

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
            exchange.unexplained_ends += arrivals
        exchange.failures += len(calls)
        return self._start_directly([call for call in calls if call.attempts_left > 0], now)

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

    def _take_answers(
        self, delegation: Delegation, message: DelegatedAnswer, now: float
    ) -> list[Action]:
        """Take in merged records: they stand with the first shard that they came from."""
        exchange = delegation.exchange
        was_careful = exchange.is_careful
        body = message.body
        for position, signature in zip(message.shards, message.signatures, strict=True):
            call = delegation.calls[position]
            if call.answer is not None:
                # Asked directly as well: its records are also among the merged ones.
                exchange.signatures.discard(str(call.answer.signature))
            call.take_answer(ReplicaAnswer(MERGED_STATUS, (), body, signature), now)
            exchange.signatures.add(signature)
            body = b""
        if not message.shards:
            return []
        actions = self._guard.answered(exchange, now)
        return actions + (self._careful.go_on(exchange, now) if was_careful else [])

    def _not_taken(self, delegation: Delegation, reason: str, now: float) -> list[Action]:
        """Ask the shards of a node that has rejected the request."""
        self._take_back(delegation)
        return self._step_in(delegation, delegation.open_calls, reason, now)

    def _not_reached(self, delegation: Delegation, reason: str, now: float) -> list[Action]:
        """Ask for the shards of a node that cannot be reached, through others while it is early.

        Most dials that fail do so within the first milliseconds of a request: nothing listens on a
        machine that is starting.
        """
        self._take_back(delegation)
        calls = delegation.open_calls
        exchange = delegation.exchange
        if now >= exchange.arrived_at + self._takeover.seconds(exchange.route):
            return self._step_in(delegation, calls, reason, now)
        lost = self._pass_over(delegation, calls, reason, is_absent=True, now=now)
        own, divided = self._divide(exchange, calls, now)
        return [*lost, *divided, *self._start_directly(own, now)]

    def _take_back(self, delegation: Delegation) -> None:
        """Forget a delegation for which nobody was asked."""
        for call in delegation.open_calls:
            call.delegated_attempts = 0
            call.arrivals -= 1
        self._open.forget(delegation)

    def _lost(self, delegation: Delegation, reason: str, now: float) -> list[Action]:
        calls = [call for call in delegation.open_calls if not call.attempts]
        for call in calls:
            call.is_delegate_lost = True
            if self._can_ask_again(call):
                call.delegated_attempts = 0
        return self._step_in(delegation, calls, reason, now)

    def _can_ask_again(self, call: ServiceCall) -> bool:
        """Whether no replica is left that would be one too many, whomever the lost node asked."""
        known = self._directory.replicas_of(call.service)
        return known <= call.exchange.route.max_attempts

    def _step_in(
        self, delegation: Delegation, calls: list[ServiceCall], reason: str, now: float
    ) -> list[Action]:
        """Ask the shards of a node directly and pass the node over for a while.

        What the node still brings is taken, unless it has rejected the request.
        """
        exchange = delegation.exchange
        exchange.failures += len(calls)
        lost = self._pass_over(delegation, calls, reason, is_absent=False, now=now)
        startable = [call for call in calls if call.attempts_left > 0]
        started = self._start_directly(startable, now)
        return [*lost, *started, *self._settlement.settle(exchange, now)]

    def _pass_over(
        self,
        delegation: Delegation,
        calls: list[ServiceCall],
        reason: str,
        is_absent: bool,
        now: float,
    ) -> list[Action]:
        """Pass a node over for a while."""
        delegation.is_lost = True
        node_id = delegation.node.node_id
        self._groups.suspect(node_id, now, is_absent)
        fields = (
            ("request_id", delegation.exchange.event.request_id),
            ("node_asked", node_id),
            ("shards", len(calls)),
            ("reason", reason),
        )
        return [
            Log("delegation_lost", LogLevel.INFO, fields),
            Count("delegations_lost_total"),
        ]
