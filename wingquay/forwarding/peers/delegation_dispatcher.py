"""Divides the calls of a request between this node and others, and sends the delegations."""

from collections.abc import Mapping

from ...ports.delegation import DelegatedRequest
from ...ports.machine import Action, Count, Schedule
from ...ports.peer_link import NodeIdentity, SendToPeer
from ..choice.replica_directory import ReplicaDirectory
from ..exchange import Exchange, ServiceCall
from ..knowledge.node_groups import NodeGroups
from ..settings import ForwardingSettings
from ..timers import DelegationDue
from .open_delegations import OpenDelegations
from .relays import Relays
from .request_rate import RequestRate
from .shard_placement import ShardPlacement
from .takeover_timeout import TakeoverTimeout


class DelegationDispatcher:
    """Sends delegations to other nodes.

    Parameters
    ----------
    open_delegations
        Stores the delegations.
    takeover_timeout
        Determines when a node that has not replied is considered lost.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        groups: NodeGroups,
        directory: ReplicaDirectory,
        open_delegations: OpenDelegations,
        takeover_timeout: TakeoverTimeout,
    ) -> None:
        self._settings = settings
        self._open = open_delegations
        self._takeover_timeout = takeover_timeout
        self._relays = Relays(settings, groups, directory, open_delegations.count_for_node)
        self._rate = RequestRate()
        self.placement = ShardPlacement(settings, groups, directory, self._rate)
        """The owners of shards."""

    def is_wide(self, shards: tuple[str, ...]) -> bool:
        """Return whether a route has enough shards for delegation to their owners."""
        return len(shards) >= self._settings.delegate_min_shards

    def count(self, shards: tuple[str, ...], now: float) -> None:
        """Count a wide request: their rate determines the number of owners per shard."""
        if self.is_wide(shards):
            self._rate.count(now)

    def dispatch(
        self, exchange: Exchange, calls: list[ServiceCall], now: float
    ) -> tuple[list[ServiceCall], list[Action]]:
        """Delegate calls to other nodes; return the remaining calls and the actions."""
        shards = exchange.route.shards
        is_wide = self.is_wide(shards)
        owners: Mapping[str, NodeIdentity | None]
        if is_wide:
            owners = self.placement.owners(shards, now)
        else:
            owners = self._relays.choose(shards, now)
        calls_by_node: dict[str, list[ServiceCall]] = {}
        nodes: dict[str, NodeIdentity] = {}
        own: list[ServiceCall] = []
        for call in calls:
            owner = owners.get(call.service)
            if owner is None:
                own.append(call)
                continue
            nodes[owner.node_id] = owner
            calls_by_node.setdefault(owner.node_id, []).append(call)
        actions: list[Action] = []
        for node_id, node_calls in calls_by_node.items():
            actions += self._delegate(exchange, nodes[node_id], node_calls, is_wide, now)
        for call in own:
            call.is_owned_by_this_node = is_wide and call.service in owners
        return own, actions

    def _delegate(
        self,
        exchange: Exchange,
        node: NodeIdentity,
        calls: list[ServiceCall],
        is_wide: bool,
        now: float,
    ) -> list[Action]:
        settings = self._settings
        route = exchange.route
        delegation = self._open.add(node, exchange, calls, now)
        for call in calls:
            call.is_begun = True
            call.delegated_attempts = 1
            call.send_count += 1
            call.history.append(f"delegated to {node.node_id}")
        in_time_seconds = exchange.cutoff_at - now - settings.delegate_return_seconds
        message = DelegatedRequest(
            delegation_id=delegation.delegation_id,
            request_id=exchange.event.request_id,
            request=exchange.event.request,
            route_name=route.name,
            shards=tuple(call.service for call in calls),
            merged_records=route.merged_records,
            priority=route.priority,
            objective_seconds=route.objective_seconds,
            cutoff_seconds=max(in_time_seconds, 0.0),
            remaining_seconds=max(exchange.ends_at - now, 0.001),
            is_group_share=is_wide,
            tenant=exchange.tenant_name,
        )
        due_at = now + self._takeover_timeout.seconds(exchange.route)
        return [
            SendToPeer(node, message),
            Count("delegated_requests_total", labels=(("side", "sent"),)),
            Schedule(due_at, DelegationDue(delegation.delegation_id)),
        ]
