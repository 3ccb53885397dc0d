"""The shards that other nodes were asked for and have not all brought."""

from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import count

from ...ports.peer_link import NodeIdentity
from ..exchange import Exchange, ServiceCall


@dataclass(slots=True, eq=False)
class Delegation:
    """Shards of one request that another node was asked for."""

    delegation_id: int
    node: NodeIdentity
    exchange: Exchange
    calls: tuple[ServiceCall, ...]
    sent_at: float
    is_acknowledged: bool = False
    is_lost: bool = False
    given_back: set[str] = field(default_factory=set)
    """Services of the calls that the node has declined."""

    @property
    def open_calls(self) -> list[ServiceCall]:
        """The calls without an answer that the node may still bring."""
        return [
            call
            for call in self.calls
            if call.answer is None and call.service not in self.given_back
        ]


class OpenDelegations:
    """What is under way at other nodes, by number, by node and by exchange.

    Parameters
    ----------
    first_id
        Number of the first delegation.
    """

    def __init__(self, first_id: int) -> None:
        self._ids = count(first_id)
        self._by_id: dict[int, Delegation] = {}
        self._by_exchange: dict[int, list[Delegation]] = {}

    def add(
        self, node: NodeIdentity, exchange: Exchange, calls: Collection[ServiceCall], now: float
    ) -> Delegation:
        """Return a new delegation to a node."""
        delegation = Delegation(next(self._ids), node, exchange, tuple(calls), now)
        self._by_id[delegation.delegation_id] = delegation
        self._by_exchange.setdefault(exchange.exchange_id, []).append(delegation)
        return delegation

    def get(self, delegation_id: int) -> Delegation | None:
        """Return a delegation that is under way."""
        return self._by_id.get(delegation_id)

    def get_for_node(self, node_id: str) -> list[Delegation]:
        """Return what is under way at a node."""
        return [item for item in self._by_id.values() if item.node.node_id == node_id]

    def count_for_node(self, node: NodeIdentity) -> int:
        """Return how many delegations are under way at a node."""
        return len(self.get_for_node(node.node_id))

    def remove(self, delegation: Delegation) -> None:
        """Take a delegation out: nothing more is expected of it."""
        self._by_id.pop(delegation.delegation_id, None)
        siblings = self._by_exchange.get(delegation.exchange.exchange_id)
        if siblings is not None:
            siblings.remove(delegation)

    def remove_all_for(self, exchange: Exchange) -> list[Delegation]:
        """Take out everything that is under way for an exchange, and return it."""
        taken = self._by_exchange.pop(exchange.exchange_id, [])
        return [item for item in taken if self._by_id.pop(item.delegation_id, None) is not None]
