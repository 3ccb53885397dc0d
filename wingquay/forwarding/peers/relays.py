"""Chooses relays: nodes of other zones for the shards without a replica in this zone.

If this node contacted each shard directly, the records, signatures and headers of all shards would
cross between zones. A relay in the other zone contacts them and sends the merged records only. The
relay with the fewest open delegations from this node is chosen, so that a slow one receives fewer.
"""

from collections.abc import Callable

from ...model.value import value
from ...ports.peer_link import NodeIdentity
from ..choice.replica_directory import ReplicaDirectory
from ..knowledge.node_groups import NodeGroups
from ..settings import ForwardingSettings

ZONES_VALID_SECONDS = 0.25
"""Time for which the zones of a route's replicas are cached."""

MAX_SHARD_SETS = 8
"""Maximum number of cached sets of shards."""


@value
class _RemoteShards:
    """The shards of a route with replicas in other zones only, and those zones."""

    valid_until: float
    zones: dict[str, set[str]]


class Relays:
    """Chooses relays for shards in other zones.

    Parameters
    ----------
    settings
        The zone of this node, and the minimum number of shards for a relay.
    groups
        The reachable nodes.
    directory
        The zones of replicas.
    open_delegation_count
        Returns the number of open delegations from this node to another one.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        groups: NodeGroups,
        directory: ReplicaDirectory,
        open_delegation_count: Callable[[NodeIdentity], int],
    ) -> None:
        self._settings = settings
        self._groups = groups
        self._directory = directory
        self._open_delegation_count = open_delegation_count
        self._remote: dict[tuple[str, ...], _RemoteShards] = {}
        self._rotation = 0

    def choose(self, shards: tuple[str, ...], now: float) -> dict[str, NodeIdentity]:
        """Return the relay of each remote shard; shards left out are contacted directly."""
        remote = dict(self._remote_zones(shards, now))
        relays: dict[str, NodeIdentity] = {}
        nodes = self._groups.usable_others(now) if remote else []
        while nodes and len(remote) >= self._settings.relay_min_shards:
            relay = self._best(nodes, remote)
            served = [shard for shard, zones in remote.items() if relay.zone in zones]
            if len(served) < self._settings.relay_min_shards:
                break
            for shard in served:
                relays[shard] = relay
                del remote[shard]
        return relays

    def _remote_zones(self, shards: tuple[str, ...], now: float) -> dict[str, set[str]]:
        cached = self._remote.get(shards)
        if cached is None or now >= cached.valid_until:
            if len(self._remote) >= MAX_SHARD_SETS:
                self._remote.clear()
            cached = _RemoteShards(now + ZONES_VALID_SECONDS, self._find_remote(shards, now))
            self._remote[shards] = cached
        return cached.zones

    def _find_remote(self, shards: tuple[str, ...], now: float) -> dict[str, set[str]]:
        found = {shard: self._directory.zones_of(shard, now) for shard in shards}
        own_zone = self._settings.zone
        return {shard: zones for shard, zones in found.items() if zones and own_zone not in zones}

    def _best(self, nodes: list[NodeIdentity], remote: dict[str, set[str]]) -> NodeIdentity:
        """Return a node of the zone with most shards, with the fewest open delegations.

        Ties are resolved in rotation.
        """
        self._rotation += 1
        start = self._rotation % len(nodes)
        rotated = nodes[start:] + nodes[:start]
        covered = {
            zone: sum(zone in zones for zones in remote.values())
            for zone in {node.zone for node in nodes}
        }
        return min(
            rotated, key=lambda node: (-covered[node.zone], self._open_delegation_count(node))
        )
