"""Stores the delegations that are not answered completely."""

from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import count

from ...ports.peer_link import NodeIdentity
from ..exchange import Exchange, ServiceCall


@dataclass(slots=True, eq=False)
class Delegation:
    """Shards of one request that are delegated to another node."""

    delegation_id: int
    node: NodeIdentity
    exchange: Exchange
    calls: tuple[ServiceCall, ...]
    sent_at: float
    is_acknowledged: bool = False
    is_lost: bool = False
    finished_services: set[str] = field(default_factory=set)
    """Services of the calls that the node will not answer: declined, returned or exhausted."""

    @property
    def open_calls(self) -> list[ServiceCall]:
        """Calls that the node may still answer."""
        return [
            call
            for call in self.calls
            if call.answer is None and call.service not in self.finished_services
        ]


class OpenDelegations:
    """Stores open delegations by id, by node and by exchange.

    Parameters
    ----------
    first_id
        Id of the first delegation.
    """

    def __init__(self, first_id: int) -> None:
        self._ids = count(first_id)
        self._by_id: dict[int, Delegation] = {}
        self._by_exchange: dict[int, list[Delegation]] = {}

    def add(
        self, node: NodeIdentity, exchange: Exchange, calls: Collection[ServiceCall], now: float
    ) -> Delegation:
        """Store and return a new delegation."""
        delegation = Delegation(next(self._ids), node, exchange, tuple(calls), now)
        self._by_id[delegation.delegation_id] = delegation
        self._by_exchange.setdefault(exchange.exchange_id, []).append(delegation)
        return delegation

    def get(self, delegation_id: int) -> Delegation | None:
        """Return an open delegation; ``None`` if the id is unknown."""
        return self._by_id.get(delegation_id)

    def get_for_node(self, node_id: str) -> list[Delegation]:
        """Return the open delegations to a node."""
        return [item for item in self._by_id.values() if item.node.node_id == node_id]

    def count_for_node(self, node: NodeIdentity) -> int:
        """Return the number of open delegations to a node."""
        return len(self.get_for_node(node.node_id))

    def remove(self, delegation: Delegation) -> None:
        """Remove a delegation from which no more reports are expected."""
        self._by_id.pop(delegation.delegation_id, None)
        siblings = self._by_exchange.get(delegation.exchange.exchange_id)
        if siblings is not None:
            siblings.remove(delegation)

    def remove_all_for(self, exchange: Exchange) -> list[Delegation]:
        """Remove and return all open delegations of an exchange."""
        taken = self._by_exchange.pop(exchange.exchange_id, [])
        return [item for item in taken if self._by_id.pop(item.delegation_id, None) is not None]
