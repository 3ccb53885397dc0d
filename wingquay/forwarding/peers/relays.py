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

MOST_SHARD_SETS = 8
"""Sets of shards that are remembered; old configurations name others."""


@value
class _FarShards:
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
        self._far: dict[tuple[str, ...], _FarShards] = {}
        self._turn = 0

    def owners(self, shards: tuple[str, ...], now: float) -> dict[str, NodeIdentity]:
        """Return who asks the far ones among ``shards``; what is missing is asked directly."""
        far = dict(self._far_zones(shards, now))
        owners: dict[str, NodeIdentity] = {}
        nodes = self._groups.usable_others(now) if far else []
        while nodes and len(far) >= self._settings.relay_min_shards:
            relay = self._best(nodes, far)
            near = [shard for shard, zones in far.items() if relay.zone in zones]
            if len(near) < self._settings.relay_min_shards:
                break
            for shard in near:
                owners[shard] = relay
                del far[shard]
        return owners

    def _far_zones(self, shards: tuple[str, ...], now: float) -> dict[str, set[str]]:
        known = self._far.get(shards)
        if known is None or now >= known.valid_until:
            if len(self._far) >= MOST_SHARD_SETS:
                self._far.clear()
            known = _FarShards(now + ZONES_VALID_SECONDS, self._look_up(shards, now))
            self._far[shards] = known
        return known.zones

    def _look_up(self, shards: tuple[str, ...], now: float) -> dict[str, set[str]]:
        found = {shard: self._directory.zones_of(shard, now) for shard in shards}
        own_zone = self._settings.zone
        return {shard: zones for shard, zones in found.items() if zones and own_zone not in zones}

    def _best(self, nodes: list[NodeIdentity], far: dict[str, set[str]]) -> NodeIdentity:
        """Return the node whose zone holds most, and of several the least busy one, in turn."""
        self._turn += 1
        start = self._turn % len(nodes)
        in_turn = nodes[start:] + nodes[:start]
        covered = {
            zone: sum(zone in zones for zones in far.values())
            for zone in {node.zone for node in nodes}
        }
        return min(in_turn, key=lambda node: (-covered[node.zone], self._open_requests(node)))
