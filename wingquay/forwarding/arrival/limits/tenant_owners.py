"""Chooses the limit owners of a tenant: the two nodes that count its requests.

All nodes must choose the same owners, whichever nodes they can reach. The choice therefore depends
only on the nodes listed in the store.
"""

from collections.abc import Iterable

import xxhash

from ....model.value import value
from ....ports.peer_link import NodeIdentity
from ...knowledge.node_groups import GroupNode

MAX_OWNERS = 8
"""Maximum number of owners; every node has a connection to each of them. At 470 nodes and 58,000
requests per second an owner counts 14,500 requests per second, in batches."""


@value
class OwnersVersion:
    """The owners at one time.

    Parameters
    ----------
    since
        When the list of owners changed to this one.
    """

    since: float
    identities: tuple[NodeIdentity, ...]


class TenantOwners:
    """Stores the owners, and since when each node has been one.

    Parameters
    ----------
    history_seconds
        Time for which former owners are stored.
    """

    def __init__(self, history_seconds: float) -> None:
        self._history_seconds = history_seconds
        self._history: list[OwnersVersion] = []
        self._pairs: dict[str, tuple[NodeIdentity, ...]] = {}

    @property
    def all_owners(self) -> tuple[NodeIdentity, ...]:
        """All owners; empty before the nodes are known."""
        return self._history[-1].identities if self._history else ()

    @property
    def since(self) -> float:
        """When the list of owners last changed; infinite before there are any."""
        return self._history[-1].since if self._history else float("inf")

    @property
    def digest(self) -> int:
        """Digest of the list of owners, for comparison between nodes."""
        node_ids = "\0".join(item.node_id for item in self.all_owners)
        return xxhash.xxh64_intdigest(node_ids.encode())

    def update(self, nodes: Iterable[GroupNode], now: float) -> bool:
        """Choose the owners among the nodes of the store; return whether they have changed."""
        chosen = tuple(node.record.identity for node in _fastest_by_zone(nodes))
        if self._history and self._history[-1].identities == chosen:
            return False
        self._history.append(OwnersVersion(now, chosen))
        self._pairs.clear()
        while len(self._history) > 1 and self._history[1].since <= now - self._history_seconds:
            del self._history[0]
        return True

    def get(self, tenant: str) -> tuple[NodeIdentity, ...]:
        """Return the primary and the second owner of a tenant; fewer if there are fewer nodes."""
        pair = self._pairs.get(tenant)
        if pair is None:
            pair = _pair(self.all_owners, tenant)
            self._pairs[tenant] = pair
        return pair

    def position(self, tenant: str, node_id: str) -> int | None:
        """Return 0 if a node is the tenant's primary owner, 1 if second, ``None`` otherwise."""
        return _position(self.get(tenant), node_id)

    def position_since(self, tenant: str, node_id: str) -> float:
        """Return since when a node has had its current position."""
        position = self.position(tenant, node_id)
        since = self.since
        for item in reversed(self._history[:-1]):
            if _position(_pair(item.identities, tenant), node_id) != position:
                break
            since = item.since
        return since

    def owned_since(self, tenant: str, node_id: str) -> float:
        """Return since when a node has been an owner of a tenant, in either position."""
        since = float("inf")
        for item in reversed(self._history):
            if _position(_pair(item.identities, tenant), node_id) is None:
                break
            since = item.since
        return since

    def former_position(self, tenant: str, node_id: str) -> tuple[int | None, float]:
        """Return the previous position of a node and since when it had it."""
        current_since = self.position_since(tenant, node_id)
        earlier = [item for item in self._history if item.since < current_since]
        if not earlier:
            return None, float("inf")
        position = _position(_pair(earlier[-1].identities, tenant), node_id)
        since = earlier[-1].since
        for item in reversed(earlier[:-1]):
            if _position(_pair(item.identities, tenant), node_id) != position:
                break
            since = item.since
        return position, since


def reserve_rank(tenant: str, node_id: str, node_ids: Iterable[str]) -> int:
    """Return the rank of a node among all nodes; each tenant has its own order."""
    own = _rendezvous_score(tenant, node_id)
    return sum(_rendezvous_score(tenant, other) > own for other in node_ids)


def _pair(identities: tuple[NodeIdentity, ...], tenant: str) -> tuple[NodeIdentity, ...]:
    """Return the tenant's first owner by rank, and the first of another zone.

    When one of the two leaves, the other remains an owner, so its records are not lost.
    """
    ranked = sorted(
        identities, key=lambda item: _rendezvous_score(tenant, item.node_id), reverse=True
    )
    if len(ranked) < 2:
        return tuple(ranked)
    other_zones = [item for item in ranked if item.zone != ranked[0].zone]
    return ranked[0], (other_zones or ranked[1:])[0]


def _position(pair: tuple[NodeIdentity, ...], node_id: str) -> int | None:
    node_ids: list[str] = [item.node_id for item in pair]
    return node_ids.index(node_id) if node_id in node_ids else None


def _rendezvous_score(tenant: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{tenant}\0{node_id}".encode())


def _fastest_by_zone(nodes: Iterable[GroupNode]) -> list[GroupNode]:
    """Return the nodes with the fastest processors, evenly distributed over the zones.

    With owners in a single zone, a network partition could separate both owners of a tenant from
    all other nodes.
    """

    def speed_key(node: GroupNode) -> tuple[float, int]:
        return -node.record.processor, xxhash.xxh64_intdigest(node.name.encode())

    listed_in_zone: dict[str, int] = {}
    ranked: list[tuple[int, tuple[float, int], GroupNode]] = []
    for node in sorted(nodes, key=speed_key):
        zone = node.record.identity.zone
        listed_in_zone[zone] = listed_in_zone.get(zone, 0) + 1
        ranked.append((listed_in_zone[zone], speed_key(node), node))
    ranked.sort(key=lambda item: item[:2])
    return [node for _, _, node in ranked[:MAX_OWNERS]]
