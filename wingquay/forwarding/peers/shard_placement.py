"""Assigns the shards of wide requests to owner nodes.

A few nodes of each zone own the shards with a replica there: enough to share the work of one
request, and more only if the total request rate requires it. An owner contacts its shards for many
nodes, so its connections are open, it has recent latencies of the replicas, and the budget of extra
requests is divided among few nodes. A request goes to owners in as few zones as possible,
preferably in the node's own zone. Each owner merges its records before they cross between zones.

Within a zone the nodes with the fastest processors are owners. Shards are assigned to them by
rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
bounded loads", 2018), which balances the load and moves few shards when a node is lost. Nodes may
have different views of the group: any node accepts any shard.
"""

import math
from collections.abc import Collection, Mapping

import xxhash

from ...model.value import value
from ...ports.peer_link import NodeIdentity
from ..choice.replica_directory import ReplicaDirectory
from ..knowledge.node_groups import GroupNode, NodeGroups
from ..settings import ForwardingSettings
from .request_rate import RequestRate
from .zone_choice import choose_zones, spread_zones

PLACEMENT_VALID_SECONDS = 2.0
"""Time for which a placement is cached while the nodes stay the same. Owners decline shards that
have moved."""
MAX_PLACEMENTS = 8
"""Maximum number of cached placements, one per set of shards."""
ROUNDING_TOLERANCE = 1e-9
"""Tolerance for rounding errors in the sum of weights, in shards."""
SHARD_CPU_SECONDS = 0.0005
"""Processor time to contact one shard, on a whole core (docs/design/delegation.md)."""
MAX_OWNER_LOAD = 0.2
"""Maximum load of an owner by contacting shards, as a share of a core. Above it there are more
owners. The weakest machines have half a core, so they are two fifths busy then."""


@value
class _Placement:
    """The owner of each shard while the nodes stay the same."""

    nodes_version: int
    valid_until: float
    owners: dict[str, NodeIdentity | None]


class ShardPlacement:
    """Chooses the shard owners for wide requests.

    Parameters
    ----------
    settings
        The zone of this node, and the minimum number of nodes for delegation.
    groups
        The reachable nodes.
    directory
        The zones of replicas.
    rate
        The rate of wide requests at this node.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        groups: NodeGroups,
        directory: ReplicaDirectory,
        rate: RequestRate,
    ) -> None:
        self._settings = settings
        self._groups = groups
        self._directory = directory
        self._rate = rate
        self._placements: dict[tuple[str, ...], _Placement] = {}

    def owners(self, shards: tuple[str, ...], now: float) -> Mapping[str, NodeIdentity | None]:
        """Return the owner of each shard.

        ``None`` stands for this node, which also contacts the shards left out.
        """
        cached = self._placements.get(shards)
        version = self._groups.version(now)
        if cached is None or cached.nodes_version != version or now >= cached.valid_until:
            if len(self._placements) >= MAX_PLACEMENTS:
                self._placements.clear()
            cached = _Placement(
                version, now + PLACEMENT_VALID_SECONDS, self._compute_owners(shards, now)
            )
            self._placements[shards] = cached
        return cached.owners

    def owner_nodes(self, shards: tuple[str, ...], now: float) -> list[NodeIdentity]:
        """Return the other nodes that a request over these shards would be delegated to."""
        owners = {owner.node_id: owner for owner in self.owners(shards, now).values() if owner}
        return list(owners.values())

    def sharing_nodes(self, shard: str, now: float) -> int:
        """Return the number of nodes that usually contact a shard."""
        zones = len(self._directory.zones_of(shard, now)) or 1
        return zones * self._owner_set_count(now)

    def _compute_owners(
        self, shards: tuple[str, ...], now: float
    ) -> dict[str, NodeIdentity | None]:
        nodes = self._groups.usable_by_zone(now)
        if sum(map(len, nodes.values())) < self._settings.delegate_min_nodes:
            return {}
        replica_zones = {
            shard: self._directory.zones_of(shard, now) & nodes.keys() for shard in shards
        }
        fewest_zones = choose_zones(self._settings.zone, sorted(nodes), replica_zones)
        nodes_per_zone = {zone: len(found) for zone, found in nodes.items()}
        zones = spread_zones(self._settings.zone, nodes_per_zone, replica_zones, fewest_zones)
        owners: dict[str, NodeIdentity | None] = {}
        for zone in set(zones.values()):
            # Sorted, so that the owners do not depend on the order of the shards.
            zone_shards = tuple(sorted(shard for shard in shards if zone in replica_zones[shard]))
            assigned = self._assign(nodes[zone], zone_shards, len(shards), now)
            for shard in zone_shards:
                if zones[shard] == zone:
                    owners[shard] = self._identity(assigned[shard])
        return owners

    def _identity(self, node: GroupNode) -> NodeIdentity | None:
        return None if node.name == self._groups.name else node.record.identity

    def _assign(
        self, nodes: list[GroupNode], zone_shards: tuple[str, ...], shard_count: int, now: float
    ) -> dict[str, GroupNode]:
        """Return the owner of each shard with a replica in the zone."""
        size = max(1, round(len(zone_shards) / math.sqrt(shard_count)))
        owner_set_count = self._owner_set_count(now)
        selected = fastest_nodes(nodes, size * owner_set_count)
        own_set = (
            selected[_set_index(self._groups.name, owner_set_count) :: owner_set_count] or selected
        )
        by_name = {node.name: node for node in own_set}
        weights = {name: node.record.processor for name, node in sorted(by_name.items())}
        assigned = assign_bounded(weights, zone_shards)
        return {shard: by_name[name] for shard, name in assigned.items()}

    def _owner_set_count(self, now: float) -> int:
        """Return the number of owner sets that the total request rate requires."""
        shards = self._groups.max_shard_count
        zones = max(1, self._groups.zone_count)
        requests_per_second = self._rate.per_second(now) * self._groups.node_count
        cpu_load = requests_per_second * SHARD_CPU_SECONDS * shards / zones
        owners = max(1.0, math.sqrt(shards) / zones)
        return max(1, math.ceil(cpu_load / (owners * MAX_OWNER_LOAD)))


def fastest_nodes(nodes: Collection[GroupNode], count: int) -> list[GroupNode]:
    """Return the nodes with the fastest processors; ties are resolved alike on all nodes."""

    def speed_key(node: GroupNode) -> tuple[float, int]:
        return -node.record.processor, xxhash.xxh64_intdigest(node.name.encode())

    return sorted(nodes, key=speed_key)[:count]


def assign_bounded(weights: Mapping[str, float], shards: tuple[str, ...]) -> dict[str, str]:
    """Assign shards to names; the load of each is bounded by its weight, rounded up.

    Parameters
    ----------
    weights
        Relative capacity of each name.
    """
    total = sum(weights.values())
    capacity = {
        name: math.ceil(len(shards) * weight / total - ROUNDING_TOLERANCE)
        for name, weight in weights.items()
    }
    assigned_counts = dict.fromkeys(weights, 0)
    assigned: dict[str, str] = {}
    for shard in shards:
        suffix = f"\0{shard}"
        free = [name for name in weights if assigned_counts[name] < capacity[name]]
        chosen = max(free, key=lambda name: xxhash.xxh64_intdigest((name + suffix).encode()))
        assigned_counts[chosen] += 1
        assigned[shard] = chosen
    return assigned


def _set_index(name: str, owner_set_count: int) -> int:
    return xxhash.xxh64_intdigest(name.encode()) % owner_set_count
