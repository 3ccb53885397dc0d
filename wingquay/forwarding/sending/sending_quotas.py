"""Quotas of this node for sending to the replicas of a service.

The limits of a service apply to all nodes together; each node takes its share of them.
"""

from typing import Protocol

from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..exchange import ServiceCall
from ..knowledge.presence import NodeCount
from ..settings import ForwardingSettings
from .cold_quota import ColdQuota
from .extra_request_budget import OWNERS_SLACK_DIVISOR, TAKEOVER_REFILL_SHARE, ExtraRequestBudget
from .extra_request_fairness import ExtraRequestFairness
from .waiting_settings import QueueLocation, WaitingSettings

DEFAULT_CONNECTION_LIMIT = 24
OWNERS_CONNECTION_DIVISOR = 2
"""Owners of a shard divide its connections by their number times this factor, which leaves some
connections for nodes that take over."""
MAX_COUNTED_INCARNATIONS = 2
"""Incarnations of this process whose connections a replica may count just after a restart."""


class ShardSharing(Protocol):
    """Provides the number of nodes among which the requests for a shard are divided."""

    def sharing_nodes(self, shard: str, now: float) -> int:
        """Return the number of nodes that normally send to a shard.

        Parameters
        ----------
        shard
            Name of the shard's service.
        """
        ...


class SendingQuotas:
    """Quotas of this node for connections, extra requests and requests to cold replicas.

    Parameters
    ----------
    nodes
        Number of nodes that share the limits.
    key
        This node's key in the store.
    waiting
        Determines where requests wait while the slots of replicas are in use.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        nodes: NodeCount,
        key: str,
        waiting: WaitingSettings,
    ) -> None:
        self._cold_quota = ColdQuota(settings.cold_overage, settings.cold_slack, nodes, key)
        self._settings = settings
        self._waiting = waiting
        self._directory = directory
        self._nodes = nodes
        self._budgets: dict[str, ExtraRequestBudget] = {}
        self._fairness: dict[str, ExtraRequestFairness] = {}
        self._reduced_since: float | None = None
        self.placement: ShardSharing | None = None
        """Number of nodes that send to each shard; ``None``: shards are not divided among nodes."""

    def earn(self, service: str, now: float) -> None:
        """Add the extra requests that a request for a service earns."""
        self._budget(service).earn(now)

    def take_extra_request(self, call: ServiceCall, now: float) -> bool:
        """Take one extra request; return ``False`` if the budget or fairness forbids it."""
        tenant = call.exchange.tenant_name
        nodes, refill_share = self._budget_share(call, now)
        if not tenant:
            return self._budget(call.service).spend(nodes, now, refill_share)
        fairness = self._fairness.setdefault(call.service, ExtraRequestFairness())
        if fairness.may_take(tenant, now) and self._budget(call.service).spend(
            nodes, now, refill_share
        ):
            fairness.on_taken(tenant, now)
            return True
        fairness.on_refused(tenant, now)
        return False

    def extra_request_at(self, call: ServiceCall, now: float) -> float:
        """Return when the budget allows one extra request at the current rate of requests."""
        nodes, refill_share = self._budget_share(call, now)
        return self._budget(call.service).extra_request_at(nodes, now, refill_share)

    def refund(self, service: str) -> None:
        """Return an extra request that was not delivered to a replica."""
        self._budget(service).refund()

    def with_used_up_cold_quota(self, call: ServiceCall, now: float) -> set[str]:
        """Return the incarnations of cold replicas for which this node's quota is used up."""
        service_settings = call.exchange.table.services.get(call.service)
        per_second = 0.0 if service_settings is None else service_settings.cold_requests_per_second
        if not per_second:
            return set()
        sharing = self._sharing_nodes(call, now)
        return {
            state.incarnation
            for state in self._directory.candidates(call.service, now)
            if not self._cold_quota.may_send(state, per_second, sharing, now)
        }

    def max_in_flight(self, call: ServiceCall, replica: ReplicaState, now: float) -> int:
        """Return the maximum number of requests in flight from this node to a replica."""
        max_connections = self.max_connections(call, now)
        if not self._queues_at_node(call):
            return max_connections
        return min(max_connections, self._max_with_surplus(replica))

    def saturated(self, call: ServiceCall, now: float) -> set[str]:
        """Return the incarnations of replicas for which a call must wait in this node's queue."""
        if not self._queues_at_node(call):
            return set()
        return {
            state.incarnation
            for state in self._directory.candidates(call.service, now)
            if len(state.in_flight) >= self._max_with_surplus(state)
        }

    def _max_with_surplus(self, replica: ReplicaState) -> int:
        slots = replica.known_slots
        return slots + max(1, int(slots * self._waiting.surplus_ratio))

    def _queues_at_node(self, call: ServiceCall) -> bool:
        # Sub-requests of a merged answer have no time to wait in a queue: they are sent at once,
        # and a slot may be free when they arrive at the replica.
        return self._waiting.queue_location is QueueLocation.NODE and not call.exchange.route.shards

    def max_connections(self, call: ServiceCall, now: float) -> int:
        """Return the maximum number of connections from this node to a replica.

        It is reduced for the first ``first_connections_seconds`` after the first call of this
        method, because replicas may still count connections of this node's previous incarnation.
        """
        if self._reduced_since is None:
            self._reduced_since = now
        service_settings = call.exchange.table.services.get(call.service)
        limit = (
            DEFAULT_CONNECTION_LIMIT
            if service_settings is None
            else service_settings.connection_limit
        )
        if now - self._reduced_since < self._settings.first_connections_seconds:
            if not call.is_owned_by_this_node:
                return 1
            limit //= MAX_COUNTED_INCARNATIONS
        return max(1, limit // self._sharing_nodes(call, now))

    def _sharing_nodes(self, call: ServiceCall, now: float) -> int:
        """Return the number of nodes among which the limits of a call's service are divided."""
        nodes = self._nodes.get(now)
        if self.placement is None or not call.is_owned_by_this_node:
            return nodes
        return min(
            nodes, OWNERS_CONNECTION_DIVISOR * self.placement.sharing_nodes(call.service, now)
        )

    def _budget_share(self, call: ServiceCall, now: float) -> tuple[float, float]:
        """Return the number of nodes that divide the slack, and this node's refill share."""
        nodes = self._nodes.get(now)
        if self.placement is None:
            return nodes, 1.0
        if call.is_owned_by_this_node:
            owners = self.placement.sharing_nodes(call.service, now)
            return min(nodes, owners * OWNERS_SLACK_DIVISOR), 1.0
        is_wide = len(call.exchange.route.shards) >= self._settings.delegate_min_shards
        return nodes, TAKEOVER_REFILL_SHARE if is_wide else 1.0

    def _budget(self, service: str) -> ExtraRequestBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = ExtraRequestBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_seconds
            )
            self._budgets[service] = budget
        return budget
