"""How much this node may send to the replicas of a service, as its part of what all nodes may."""

from typing import Protocol

from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..exchange import ServiceCall
from ..knowledge.presence import NodeCount
from ..settings import ForwardingSettings
from .cold_share import ColdShare
from .extra_request_budget import OWNERS_RESERVE, STEP_IN_PACE, ExtraRequestBudget
from .extra_turns import ExtraTurns
from .waiting_settings import LinePlace, WaitingSettings

DEFAULT_CONNECTION_LIMIT = 24
OWNERS_LIMIT_RESERVE = 2
"""Owners of a shard take this part of the connections: others may have to step in."""
LIVES = 2
"""Lives of this process whose connections a replica may still count after a start."""


class SharesShards(Protocol):
    """Knows among how many nodes the requests for a shard are divided."""

    def sharing_nodes(self, shard: str, now: float) -> int:
        """Return how many nodes usually ask a shard."""
        ...


class SendingQuotas:
    """Its own parts of connections, of extra arrivals and of what cold replicas bear.

    Parameters
    ----------
    key
        This node's key in the store.
    waiting
        Whether work waits here for the slots of replicas.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        nodes: NodeCount,
        key: str,
        waiting: WaitingSettings,
    ) -> None:
        self._cold_share = ColdShare(settings.cold_overage, settings.cold_slack, nodes, key)
        self._settings = settings
        self._waiting = waiting
        self._directory = directory
        self._nodes = nodes
        self._budgets: dict[str, ExtraRequestBudget] = {}
        self._turns: dict[str, ExtraTurns] = {}
        self._first_sent_at: float | None = None
        self.placement: SharesShards | None = None
        """Who asks which shard, once shards are divided among nodes."""

    def earn(self, service: str, now: float) -> None:
        """Take in a request for a service: it earns extra arrivals there."""
        self._budget(service).earn(now)

    def may_arrive_again(self, call: ServiceCall, now: float) -> bool:
        """Take one extra arrival; ``False`` if the budget or another tenant's turn forbids it."""
        tenant = call.exchange.tenant_name
        nodes, pace = self._budget_part(call, now)
        if not tenant:
            return self._budget(call.service).spend(nodes, now, pace)
        turns = self._turns.setdefault(call.service, ExtraTurns())
        if turns.is_turn_of(tenant, now) and self._budget(call.service).spend(nodes, now, pace):
            turns.took(tenant, now)
            return True
        turns.wanted(tenant, now)
        return False

    def repeat_at(self, call: ServiceCall, now: float) -> float:
        """Return when the budget will allow one extra arrival, if no request earns one before."""
        nodes, pace = self._budget_part(call, now)
        return self._budget(call.service).next_at(nodes, now, pace)

    def give_back(self, service: str) -> None:
        """Return an extra arrival that did not arrive."""
        self._budget(service).give_back()

    def too_cold(self, call: ServiceCall, now: float) -> set[str]:
        """Return the lives of the cold replicas to which this node may send nothing more now."""
        known = call.exchange.table.services.get(call.service)
        per_second = 0.0 if known is None else known.cold_requests_per_second
        if not per_second:
            return set()
        sharing = self._sharing_nodes(call, now)
        return {
            state.incarnation
            for state in self._directory.candidates(call.service, now)
            if not self._cold_share.may_send(state, per_second, sharing, now)
        }

    def most(self, call: ServiceCall, replica: ReplicaState, now: float) -> int:
        """Return how many requests this node may have under way at a replica."""
        connections = self.connections(call, now)
        if not self._waits_here(call):
            return connections
        return min(connections, self._filled(replica))

    def full(self, call: ServiceCall, now: float) -> set[str]:
        """Return the lives of the replicas for which a call is to wait here, in line."""
        if not self._waits_here(call):
            return set()
        return {
            state.incarnation
            for state in self._directory.candidates(call.service, now)
            if len(state.in_flight) >= self._filled(state)
        }

    def _filled(self, replica: ReplicaState) -> int:
        slots = replica.known_slots
        return slots + max(1, int(slots * self._waiting.surplus_ratio))

    def _waits_here(self, call: ServiceCall) -> bool:
        # A part of a merged answer has no time to wait: its replica may be free by when it arrives.
        return self._waiting.line is LinePlace.NODE and not call.exchange.route.shards

    def connections(self, call: ServiceCall, now: float) -> int:
        """Return how many connections this node may use at a replica."""
        if self._first_sent_at is None:
            self._first_sent_at = now
        known = call.exchange.table.services.get(call.service)
        limit = DEFAULT_CONNECTION_LIMIT if known is None else known.connection_limit
        if now - self._first_sent_at < self._settings.first_connections_seconds:
            if not call.is_owned_by_this_node:
                return 1
            limit //= LIVES
        return max(1, limit // self._sharing_nodes(call, now))

    def _sharing_nodes(self, call: ServiceCall, now: float) -> int:
        """Return among how many nodes the limits of a call's service are divided."""
        nodes = self._nodes.get(now)
        if self.placement is None or not call.is_owned_by_this_node:
            return nodes
        return min(nodes, OWNERS_LIMIT_RESERVE * self.placement.sharing_nodes(call.service, now))

    def _budget_part(self, call: ServiceCall, now: float) -> tuple[float, float]:
        """Return among how many nodes the slack is divided, and how fast this one's part grows."""
        nodes = self._nodes.get(now)
        if self.placement is None:
            return nodes, 1.0
        if call.is_owned_by_this_node:
            owners = self.placement.sharing_nodes(call.service, now)
            return min(nodes, owners * OWNERS_RESERVE), 1.0
        is_wide = len(call.exchange.route.shards) >= self._settings.delegate_min_shards
        return nodes, STEP_IN_PACE if is_wide else 1.0

    def _budget(self, service: str) -> ExtraRequestBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = ExtraRequestBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_seconds
            )
            self._budgets[service] = budget
        return budget
