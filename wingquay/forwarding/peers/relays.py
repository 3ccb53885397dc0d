"""Which nodes of other zones are asked for the shards that have no replica in this node's zone.

Asked directly, every shard sends its own records, signature and headers between the zones: some 1.4
kB for a shard of 1 kB, so 40 kB for a sweep of 30 shards, of which 2 kB are left once they are
merged. So one node of a zone that holds the replicas asks them and sends what it merged. It is the
one with the least work of this node under way, so that a slow one gets less.
"""

from collections.abc import Callable

from ...model.value import value
from ...ports.peer_link import NodeIdentity
from ..choice.replica_directory import ReplicaDirectory
from ..knowledge.node_groups import NodeGroups
from ..settings import ForwardingSettings

ZONES_VALID_SECONDS = 0.25
"""Time for which the zones of a route's replicas are not looked up again."""

MAX_SHARD_SETS = 8
"""Sets of shards that are remembered; old configurations name others."""


@value
class _RemoteShards:
    """The shards of a route that have replicas in other zones only, with these zones."""

    valid_until: float
    zones: dict[str, set[str]]


class Relays:
    """Chooses who is asked for far shards.

    Parameters
    ----------
    settings
        The zone of this node and from how many shards on a relay is worth it.
    groups
        The nodes that can be reached.
    directory
        Tells where replicas are.
    open_requests
        Returns how many requests of this node are under way at another one.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        groups: NodeGroups,
        directory: ReplicaDirectory,
        open_requests: Callable[[NodeIdentity], int],
    ) -> None:
        self._settings = settings
        self._groups = groups
        self._directory = directory
        self._open_requests = open_requests
        self._remote: dict[tuple[str, ...], _RemoteShards] = {}
        self._rotation = 0

    def choose(self, shards: tuple[str, ...], now: float) -> dict[str, NodeIdentity]:
        """Return who asks the far ones among ``shards``; what is missing is asked directly."""
        remote = dict(self._remote_zones(shards, now))
        owners: dict[str, NodeIdentity] = {}
        nodes = self._groups.reachable(now) if remote else []
        while nodes and len(remote) >= self._settings.relay_min_shards:
            relay = self._best(nodes, remote)
            served = [shard for shard, zones in remote.items() if relay.zone in zones]
            if len(served) < self._settings.relay_min_shards:
                break
            for shard in served:
                owners[shard] = relay
                del remote[shard]
        return owners

    def _remote_zones(self, shards: tuple[str, ...], now: float) -> dict[str, set[str]]:
        known = self._remote.get(shards)
        if known is None or now >= known.valid_until:
            if len(self._remote) >= MAX_SHARD_SETS:
                self._remote.clear()
            known = _RemoteShards(now + ZONES_VALID_SECONDS, self._find_remote(shards, now))
            self._remote[shards] = known
        return known.zones

    def _find_remote(self, shards: tuple[str, ...], now: float) -> dict[str, set[str]]:
        found = {shard: self._directory.zones_of(shard, now) for shard in shards}
        own_zone = self._settings.zone
        return {shard: zones for shard, zones in found.items() if zones and own_zone not in zones}

    def _best(self, nodes: list[NodeIdentity], remote: dict[str, set[str]]) -> NodeIdentity:
        """Return the node whose zone holds most, and of several the least busy one, in turn."""
        self._rotation += 1
        start = self._rotation % len(nodes)
        rotated = nodes[start:] + nodes[:start]
        covered = {
            zone: sum(zone in zones for zones in remote.values())
            for zone in {node.zone for node in nodes}
        }
        return min(rotated, key=lambda node: (-covered[node.zone], self._open_requests(node)))
