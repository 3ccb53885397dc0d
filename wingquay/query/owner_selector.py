"""Chooses the owners that sub-requests are sent to, excluding silent ones for a while."""

import random
from collections.abc import Sequence

from ..model.configuration import Service
from ..ports.internal import MembershipChanged
from ..ports.peer import NodeIdentity
from ..routing.ownership import OwnerTable

INITIAL_EXCLUSION_SECONDS = 1.0
"""First exclusion time of a silent owner; doubles with each exclusion until it sends a message."""

MAX_EXCLUSION_SECONDS = 8.0
"""Longest exclusion time of a silent owner."""


class OwnerSelector:
    """Selects owners of shards and tracks which owners send no messages.

    Parameters
    ----------
    owners_per_shard
        Number of owners of each shard; with 0 the node itself acts as owner of all shards.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        owners_per_shard: int,
        random_source: random.Random,
    ) -> None:
        self._identity = identity
        self._owners_per_shard = owners_per_shard
        self._random = random_source
        self._tables: dict[str, OwnerTable] = {}
        self._available: tuple[NodeIdentity, ...] = (identity,)
        self._received_at: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}
        self._consecutive_exclusions: dict[str, int] = {}

    def on_membership(self, event: MembershipChanged) -> None:
        """Apply a change of the available nodes."""
        self._available = event.available
        available_ids = {node.node_id for node in event.available}
        for known in (self._received_at, self._excluded_until, self._consecutive_exclusions):
            for node_id in [name for name in known if name not in available_ids]:
                del known[node_id]
        for deployment, table in self._tables.items():
            table.set_nodes(self._nodes_of(deployment))

    def _nodes_of(self, deployment: str) -> list[NodeIdentity]:
        return [node for node in self._available if node.deployment == deployment]

    def _table(self, deployment: str) -> OwnerTable:
        table = self._tables.get(deployment)
        if table is None:
            table = OwnerTable(self._owners_per_shard)
            table.set_nodes(self._nodes_of(deployment))
            self._tables[deployment] = table
        return table

    def choose(
        self, service: Service, shard_id: str, tried: Sequence[str], now: float
    ) -> NodeIdentity:
        """Return the owner that a sub-request to the shard is sent to.

        A node is eligible if it is neither in ``tried`` nor excluded as silent. The order of
        preference is:

        1. this node, if it is an eligible owner
        2. a random eligible owner in its zone
        3. a random eligible owner
        4. the first eligible node of ``OwnerTable.nodes_for``
        5. this node
        """
        if self._owners_per_shard == 0:
            return self._identity
        table = self._table(service.deployment)
        owners = self._eligible(table.owners_of(shard_id), tried, now)
        if owners:
            return self._nearest(owners)
        fallbacks = self._eligible(table.nodes_for(shard_id), tried, now)
        return fallbacks[0] if fallbacks else self._identity

    def _eligible(
        self, nodes: Sequence[NodeIdentity], tried: Sequence[str], now: float
    ) -> list[NodeIdentity]:
        return [
            node
            for node in nodes
            if node.node_id not in tried and self._excluded_until.get(node.node_id, 0.0) <= now
        ]

    def _nearest(self, owners: list[NodeIdentity]) -> NodeIdentity:
        for node in owners:
            if node.node_id == self._identity.node_id:
                return node
        same_zone = [node for node in owners if node.zone == self._identity.zone]
        return self._random.choice(same_zone or owners)

    def on_message_from(self, node_id: str, now: float) -> None:
        """Record that an owner has sent a message; this ends its exclusion."""
        self._received_at[node_id] = now
        self._excluded_until.pop(node_id, None)
        self._consecutive_exclusions.pop(node_id, None)

    def is_silent(
        self, node_id: str, oldest_sent_at: float, now: float, limit_seconds: float
    ) -> bool:
        """Return whether an owner has sent nothing for ``limit_seconds``.

        The time counts from the later of its last message and ``oldest_sent_at``, the send time
        of its oldest pending sub-request. The node itself is never silent.
        """
        if node_id == self._identity.node_id:
            return False
        last = max(self._received_at.get(node_id, oldest_sent_at), oldest_sent_at)
        return now - last >= limit_seconds

    def exclude(self, node_id: str, now: float) -> None:
        """Exclude a silent or lost owner for a while."""
        if node_id == self._identity.node_id or self._excluded_until.get(node_id, 0.0) > now:
            return
        exclusions = self._consecutive_exclusions.get(node_id, 0)
        exclusion_seconds = min(INITIAL_EXCLUSION_SECONDS * 2.0**exclusions, MAX_EXCLUSION_SECONDS)
        self._consecutive_exclusions[node_id] = exclusions + 1
        self._excluded_until[node_id] = now + exclusion_seconds
