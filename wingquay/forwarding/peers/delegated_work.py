"""Work on requests that other nodes delegate to this one.

A delegated request is an exchange like that of a caller, with the same replicas, hedges and
budgets. Its answers are reported to the delegating node once all have arrived, or at the report
time; later ones are reported on arrival.
"""

from dataclasses import dataclass, field, replace
from itertools import count

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant
from ...ports.delegation import AllowAttempts, CancelDelegation, DelegatedAnswer, DelegatedRequest
from ...ports.forwarding import ForwardRequested
from ...ports.machine import Action, Count, Schedule
from ...ports.peer_link import NodeIdentity, SendToPeer
from ..choice.replica_directory import ReplicaDirectory
from ..exchange import Exchange, ServiceCall
from ..knowledge.loop_lag import LoopLag
from ..settling.merging import merge_top_records
from ..settling.settlement import Settlement
from ..timers import HedgeDue


@dataclass(slots=True, eq=False)
class NodeOrigin:
    """The delegating node of an exchange, and what has been reported to it."""

    node: NodeIdentity
    delegation_id: int
    positions: dict[str, int]
    """Position of each shard in the delegated request."""
    may_retry: bool = False
    """Whether this node may make further attempts; until then the delegating node may make them."""
    _reported: set[str] = field(default_factory=set)

    @property
    def name(self) -> str:
        """The id of the node, for log lines."""
        return self.node.node_id

    def report(self, exchange: Exchange) -> list[Action]:
        """Return the message with the answers not reported yet, if there are any."""
        unreported = [
            (self.positions[call.service], call)
            for call in exchange.calls
            if call.answer is not None and call.service not in self._reported
        ]
        if not unreported:
            return []
        self._reported.update(call.service for _, call in unreported)
        answers = [call.answer for _, call in unreported if call.answer is not None]
        message = DelegatedAnswer(
            self.delegation_id,
            tuple(position for position, _ in unreported),
            tuple(str(answer.signature) for answer in answers),
            merge_top_records([answer.body for answer in answers], exchange.route.merged_records),
        )
        return [SendToPeer(self.node, message)]

    def return_calls(self, exchange: Exchange) -> list[Action]:
        """Leave calls without an open attempt to the delegating node; return the message."""
        returned = [call for call in exchange.calls if call.answer is None and not call.attempts]
        exchange.calls = [call for call in exchange.calls if call not in returned]
        for call in returned:
            call.is_waiting = False
        message = DelegatedAnswer(
            self.delegation_id,
            given_back=tuple(self.positions[call.service] for call in returned),
            arrivals=tuple(call.send_count for call in returned),
        )
        return [SendToPeer(self.node, message)] if returned else []

    def report_exhausted(self, calls: list[ServiceCall]) -> list[Action]:
        """Return the message for calls that can no longer be answered, unless already sent."""
        unreported = [call.service for call in calls if call.service not in self._reported]
        if not unreported or not self.may_retry:
            return []
        self._reported.update(unreported)
        positions = tuple(self.positions[service] for service in unreported)
        return [SendToPeer(self.node, DelegatedAnswer(self.delegation_id, exhausted=positions))]

    def report_held(self, held_seconds: float) -> list[Action]:
        """Return the message that the request is held."""
        message = DelegatedAnswer(self.delegation_id, held_seconds=held_seconds)
        return [SendToPeer(self.node, message)]


class DelegatedWork:
    """Exchanges for requests that other nodes have delegated to this one."""

    def __init__(self, directory: ReplicaDirectory, settlement: Settlement, lag: LoopLag) -> None:
        self._lag = lag
        self._directory = directory
        self._settlement = settlement
        self._ids = count(1)
        self._open: dict[tuple[str, int], Exchange] = {}

    def shards_without_replicas(self, message: DelegatedRequest, now: float) -> tuple[int, ...]:
        """Return the positions of the shards for which this node has no replica.

        This node may have been cut off from the store while the sender was not.
        """
        return tuple(
            position
            for position, shard in enumerate(message.shards)
            if not self._directory.has_candidates(shard, now)
        )

    def is_over(self, message: DelegatedRequest, now: float) -> bool:
        """Return whether the request's time was over before this node read the message."""
        return self._lag.seconds(now) >= message.remaining_seconds

    def accept(
        self,
        sender: NodeIdentity,
        message: DelegatedRequest,
        table: RoutingTable,
        declined: tuple[int, ...],
        now: float,
    ) -> Exchange:
        """Return an exchange for a delegated request; the calling code starts its calls."""
        # Exchanges of callers have positive ids.
        exchange_id = -next(self._ids)
        event = ForwardRequested(exchange_id, message.request_id, "", "", message.request)
        sent_at = now - self._lag.seconds(now)
        exchange = Exchange(
            event,
            table,
            build_route(message),
            now,
            now + message.cutoff_seconds,
            max(sent_at + message.remaining_seconds, now),
        )
        positions = {shard: position for position, shard in enumerate(message.shards)}
        exchange.tenant = build_tenant(message)
        exchange.origin = NodeOrigin(sender, message.delegation_id, positions)
        exchange.calls = [
            ServiceCall(exchange, shard)
            for position, shard in enumerate(message.shards)
            if position not in declined
        ]
        for call in exchange.calls:
            call.is_owned_by_this_node = message.is_group_share
        self._settlement.add(exchange)
        self._remove_closed()
        self._open[(sender.node_id, message.delegation_id)] = exchange
        return exchange

    def acknowledge(
        self, sender: NodeIdentity, message: DelegatedRequest, declined: tuple[int, ...]
    ) -> list[Action]:
        """Notify a node that its request was accepted, except for the declined shards."""
        labels = (("side", "taken"),)
        return [
            SendToPeer(sender, DelegatedAnswer(message.delegation_id, declined=declined)),
            Count("delegated_requests_total", labels=labels),
        ]

    def on_attempts_allowed(
        self, sender: NodeIdentity, message: AllowAttempts, now: float
    ) -> list[Action]:
        """Allow further attempts where an attempt fails or takes too long."""
        exchange = self._open.get((sender.node_id, message.delegation_id))
        if exchange is None or not self._settlement.is_open(exchange):
            return []
        exchange.route = replace(exchange.route, max_attempts=message.max_attempts)
        if isinstance(exchange.origin, NodeOrigin):
            exchange.origin.may_retry = True
        return [Schedule(now, HedgeDue(exchange.exchange_id))]

    def on_cancelled(
        self, sender: NodeIdentity, message: CancelDelegation, now: float
    ) -> list[Action]:
        """Stop the work on a request that is no longer needed."""
        exchange = self._open.pop((sender.node_id, message.delegation_id), None)
        if exchange is None or not self._settlement.is_open(exchange):
            return []
        return self._settlement.on_caller_left(exchange, now)

    def on_link_broken(self, node_id: str, now: float) -> list[Action]:
        """Stop the work for a node whose link is broken."""
        actions: list[Action] = []
        for key in [key for key in self._open if key[0] == node_id]:
            exchange = self._open.pop(key)
            if self._settlement.is_open(exchange):
                actions += self._settlement.on_caller_left(exchange, now)
        return actions

    def reject(self, sender: NodeIdentity, message: DelegatedRequest) -> list[Action]:
        """Notify a node that its request was not accepted."""
        answer = DelegatedAnswer(message.delegation_id, is_rejected=True)
        labels = (("side", "rejected"),)
        return [SendToPeer(sender, answer), Count("delegated_requests_total", labels=labels)]

    def refuse_held(
        self, sender: NodeIdentity, message: DelegatedRequest, held_seconds: float
    ) -> list[Action]:
        """Notify a node that its request is held because replicas crashed during it."""
        answer = DelegatedAnswer(message.delegation_id, held_seconds=held_seconds)
        labels = (("side", "held"),)
        return [SendToPeer(sender, answer), Count("delegated_requests_total", labels=labels)]

    def _remove_closed(self) -> None:
        ended = [key for key, item in self._open.items() if not self._settlement.is_open(item)]
        for key in ended:
            del self._open[key]


def build_tenant(message: DelegatedRequest) -> Tenant | None:
    """Return the tenant named by the sender, without keys and limits: the sender enforces those."""
    return Tenant(message.tenant, ()) if message.tenant else None


def build_route(message: DelegatedRequest) -> Route:
    """Return a route with the sender's values for the delegated shards."""
    return Route(
        name=message.route_name,
        host="",
        path_prefix="",
        shards=message.shards,
        is_repeatable=True,
        max_attempts=1,
        objective_seconds=message.objective_seconds,
        priority=message.priority,
        merged_records=message.merged_records,
    )
