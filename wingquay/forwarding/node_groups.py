"""Which node of a group asks which shards, so that a wide request is coded by many processors.

The nodes of a zone form groups of about the square root of the number of shards: then a node
exchanges about as many messages with its group as each member does with replicas. Within a group
every shard belongs to one member, by rendezvous hashing with bounded loads (Mirrokni, Thorup and
Zadimoghaddam, "Consistent hashing with bounded loads", 2018), so that nobody has much more to do
than the others and few shards move when a member is lost. Views of nodes may differ: any node takes
any shard.
"""

import math
from collections.abc import Collection

import attrs
import xxhash

from ..ports.peer_link import NodeIdentity
from .settings import ForwardingSettings


@attrs.define(eq=False)
class _Member:
    """A node that other nodes can reach."""

    identity: NodeIdentity
    failures: int = 0
    suspect_until: float = float("-inf")


class NodeGroups:
    """The nodes that have said where they can be reached, and the group of this one.

    Parameters
    ----------
    settings
        The zone of this node and how long a node that failed is passed over.
    name
        This node's name.
    """

    def __init__(self, settings: ForwardingSettings, name: str) -> None:
        self._settings = settings
        self._name = name
        self._members: dict[str, _Member] = {}
        self._departed: dict[str, NodeIdentity] = {}
        """Nodes whose keys are gone, until their links break."""
        self._fan_out = 0
        self._owners: dict[tuple[str, ...], dict[str, NodeIdentity | None]] = {}
        self._valid_until = float("inf")

    def put(self, name: str, identity: NodeIdentity | None) -> None:
        """Take in what a node says of itself; ``None``: it cannot be reached."""
        present = self._members.get(name)
        self._departed.pop(name, None)
        if identity is None:
            self.remove(name)
        elif present is None or present.identity != identity:
            self._members[name] = _Member(identity)
            self._forget_owners()

    def remove(self, name: str) -> None:
        """Take in that a node is gone."""
        member = self._members.pop(name, None)
        if member is not None:
            self._departed[name] = member.identity
            if len(self._departed) > self._settings.news_most_nodes:
                del self._departed[next(iter(self._departed))]
            self._forget_owners()

    def keep_only(self, names: Collection[str]) -> None:
        """Take in a whole listing: nodes that are not in it are gone."""
        for name in [name for name in self._members if name not in names]:
            self.remove(name)

    def set_fan_out(self, shards: int) -> None:
        """Take in the greatest number of shards of a route."""
        if shards != self._fan_out:
            self._fan_out = shards
            self._forget_owners()

    def suspect(self, node_id: str, now: float) -> None:
        """Pass a node over for a while, longer each time in a row."""
        for name in [name for name, item in self._departed.items() if item.node_id == node_id]:
            del self._departed[name]
        for member in self._members.values():
            if member.identity.node_id == node_id and now >= member.suspect_until:
                seconds = self._settings.node_suspect_seconds * 2.0**member.failures
                seconds = min(seconds, self._settings.node_suspect_most_seconds)
                member.suspect_until = now + seconds
                member.failures += 1
                self._forget_owners()

    def trust(self, node_id: str) -> None:
        """Take in that a node answered in time."""
        for member in self._members.values():
            if member.identity.node_id == node_id:
                member.failures = 0

    def owners(self, shards: tuple[str, ...], now: float) -> dict[str, NodeIdentity | None]:
        """Return who asks each shard; ``None``: this node itself."""
        if now >= self._valid_until:
            self._forget_owners()
        owners = self._owners.get(shards)
        if owners is None:
            owners = self._assign(shards, now)
            self._owners[shards] = owners
        return owners

    def reachable(self, now: float) -> list[NodeIdentity]:
        """Return the other nodes that can be asked now, sorted by name."""
        return [
            member.identity
            for name, member in sorted(self._members.items())
            if name != self._name and now >= member.suspect_until
        ]

    def listeners(self) -> list[NodeIdentity]:
        """Return the nodes that are told what this one reads of the store.

        A node whose key is gone from the store while its link stands is told as well: the store may
        have taken the key from a node that it turns away, and that one needs the news most.
        """
        names = [name for name in self._news_names() if name != self._name]
        present = [self._members[name].identity for name in names]
        return present + [item for item in self._departed.values() if item not in present]

    def rank(self) -> int:
        """Return this node's place among those that tell each other of the store."""
        names = self._news_names()
        return names.index(self._name) if self._name in names else 0

    def _news_names(self) -> list[str]:
        """Return the names of the group, or of all nodes while the group is small."""
        names = self._group_names()
        if len(names) >= self._settings.news_least_nodes or self._name not in self._members:
            return names
        names = sorted(self._members)
        place = names.index(self._name)
        around = names[place:] + names[:place]
        return sorted(around[: self._settings.news_most_nodes])

    def sharing_nodes(self, nodes: int) -> int:
        """Return how many of ``nodes`` usually ask the same shard: one of each group."""
        size = len(self._group_names())
        return max(1, round(nodes / size)) if size else nodes

    def _assign(self, shards: tuple[str, ...], now: float) -> dict[str, NodeIdentity | None]:
        names = self._group_names()
        usable = [
            name for name in names if name == self._name or now >= self._members[name].suspect_until
        ]
        waits = [self._members[name].suspect_until for name in names if name not in usable]
        self._valid_until = min([self._valid_until, *waits])
        if len(usable) < self._settings.delegate_least_nodes:
            return dict.fromkeys(shards)
        assigned = assign_bounded(usable, shards)
        return {
            shard: None if name == self._name else self._members[name].identity
            for shard, name in assigned.items()
        }

    def _group_names(self) -> list[str]:
        """Return the sorted names of this node's group; empty while it cannot be reached."""
        if self._name not in self._members or not self._fan_out:
            return []
        zone = self._members[self._name].identity.zone
        names = sorted(
            name for name, member in self._members.items() if member.identity.zone == zone
        )
        groups = max(1, round(len(names) / math.sqrt(self._fan_out)))
        own = names.index(self._name) * groups // len(names)
        return [name for place, name in enumerate(names) if place * groups // len(names) == own]

    def _forget_owners(self) -> None:
        self._owners.clear()
        self._valid_until = float("inf")


def assign_bounded(names: list[str], shards: tuple[str, ...]) -> dict[str, str]:
    """Return a name for each shard; nobody gets more than an even share, rounded up."""
    capacity = math.ceil(len(shards) / len(names))
    taken = dict.fromkeys(names, 0)
    assigned: dict[str, str] = {}
    for shard in shards:
        suffix = f"\0{shard}"
        free = [name for name in names if taken[name] < capacity]
        chosen = max(free, key=lambda name: xxhash.xxh64_intdigest((name + suffix).encode()))
        taken[chosen] += 1
        assigned[shard] = chosen
    return assigned
