"""Which two nodes count a tenant's requests.

All nodes must agree, whoever they can reach. So the owners are chosen from the names in the store,
and two nodes that see the same keys choose the same ones.
"""

from collections.abc import Iterable

import xxhash

from ....model.value import value
from ....ports.peer_link import NodeIdentity
from ...knowledge.node_groups import GroupNode

MAX_OWNERS = 8
"""Nodes that count for all others. Each node keeps a connection to every one of them; at 470 nodes
and 58,000 requests a second an owner takes in two times 7,250 requests a second, in batches."""


@value
class OwnerSet:
    """The owners by one view of the store.

    Parameters
    ----------
    since
        When the view changed to this one.
    """

    since: float
    identities: tuple[NodeIdentity, ...]


class TenantOwners:
    """Knows the owners, and for how long a node has been one by its own view.

    Parameters
    ----------
    history_seconds
        For how long earlier views matter.
    """

    def __init__(self, history_seconds: float) -> None:
        self._history_seconds = history_seconds
        self._history: list[OwnerSet] = []
        self._pairs: dict[str, tuple[NodeIdentity, ...]] = {}

    @property
    def identities(self) -> tuple[NodeIdentity, ...]:
        """All owners; empty before any node is known."""
        return self._history[-1].identities if self._history else ()

    @property
    def since(self) -> float:
        """When the owners became these by this node's view."""
        return self._history[-1].since if self._history else float("inf")

    @property
    def digest(self) -> int:
        """Tells apart two views of who the owners are."""
        names = "\0".join(item.node_id for item in self.identities)
        return xxhash.xxh64_intdigest(names.encode())

    def update(self, nodes: Iterable[GroupNode], now: float) -> bool:
        """Take in the nodes of the store; return whether the owners are others than before."""
        chosen = tuple(node.record.identity for node in _fastest_by_zone(nodes))
        if self._history and self._history[-1].identities == chosen:
            return False
        self._history.append(OwnerSet(now, chosen))
        self._pairs.clear()
        while len(self._history) > 1 and self._history[1].since <= now - self._history_seconds:
            del self._history[0]
        return True

    def get(self, tenant: str) -> tuple[NodeIdentity, ...]:
        """Return the primary and the second owner of a tenant, as far as there are any."""
        pair = self._pairs.get(tenant)
        if pair is None:
            pair = _pair(self.identities, tenant)
            self._pairs[tenant] = pair
        return pair

    def position(self, tenant: str, name: str) -> int | None:
        """Return a node's place among a tenant's owners; ``None``: it is none of them."""
        return _position(self.get(tenant), name)

    def position_since(self, tenant: str, name: str) -> float:
        """Return since when a node has had its present place."""
        position = self.position(tenant, name)
        since = self.since
        for item in reversed(self._history[:-1]):
            if _position(_pair(item.identities, tenant), name) != position:
                break
            since = item.since
        return since

    def owned_since(self, tenant: str, name: str) -> float:
        """Return since when a node has been one of a tenant's owners, in whichever place."""
        since = float("inf")
        for item in reversed(self._history):
            if _position(_pair(item.identities, tenant), name) is None:
                break
            since = item.since
        return since

    def former_position(self, tenant: str, name: str) -> tuple[int | None, float]:
        """Return the place that a node had before its present one, and since when."""
        present_since = self.position_since(tenant, name)
        earlier = [item for item in self._history if item.since < present_since]
        if not earlier:
            return None, float("inf")
        position = _position(_pair(earlier[-1].identities, tenant), name)
        since = earlier[-1].since
        for item in reversed(earlier[:-1]):
            if _position(_pair(item.identities, tenant), name) != position:
                break
            since = item.since
        return position, since


def reserve_rank(tenant: str, name: str, names: Iterable[str]) -> int:
    """Return a node's place in an order of all nodes that is another for each tenant."""
    own = _weight(tenant, name)
    return sum(_weight(tenant, other) > own for other in names)


def _pair(identities: tuple[NodeIdentity, ...], tenant: str) -> tuple[NodeIdentity, ...]:
    """Return the first in the tenant's order, and the first one of another zone.

    Whoever follows when one of the two goes finds the other one still there.
    """
    ranked = sorted(identities, key=lambda item: _weight(tenant, item.node_id), reverse=True)
    if len(ranked) < 2:
        return tuple(ranked)
    other_zones = [item for item in ranked if item.zone != ranked[0].zone]
    return ranked[0], (other_zones or ranked[1:])[0]


def _position(pair: tuple[NodeIdentity, ...], name: str) -> int | None:
    names: list[str] = [item.node_id for item in pair]
    return names.index(name) if name in names else None


def _weight(tenant: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{tenant}\0{name}".encode())


def _fastest_by_zone(nodes: Iterable[GroupNode]) -> list[GroupNode]:
    """Return the nodes with the fastest processors, of each zone about as many.

    If they stood in one zone, a cut around it would take both owners of every tenant from all.
    """

    def rank(node: GroupNode) -> tuple[float, int]:
        return -node.record.processor, xxhash.xxh64_intdigest(node.name.encode())

    listed_in_zone: dict[str, int] = {}
    ranked: list[tuple[int, tuple[float, int], GroupNode]] = []
    for node in sorted(nodes, key=rank):
        zone = node.record.identity.zone
        listed_in_zone[zone] = listed_in_zone.get(zone, 0) + 1
        ranked.append((listed_in_zone[zone], rank(node), node))
    ranked.sort(key=lambda item: item[:2])
    return [node for _, _, node in ranked[:MAX_OWNERS]]
