"""The other nodes: their addresses, their suspicion state, and the group that shares store updates.

The nodes of a zone form groups whose size is about the square root of the number of shards of the
widest route, which is the route with the most shards. The nodes of a group send each other what
they read from the store.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from ...model.value import value
from ...ports.peer_link import NodeIdentity, NodeRecord
from ..settings import ForwardingSettings
from .reachability_evidence import ReachabilityEvidence


@value
class GroupNode:
    """A node's name and address record."""

    name: str
    record: NodeRecord


@dataclass(slots=True, eq=False)
class _Member:
    """A node with a known address, and its recent failures."""

    record: NodeRecord
    failures: int = 0
    suspect_until: float = float("-inf")


class NodeGroups:
    """All nodes with a known address, and the group of this node.

    A node that fails is suspect for a while and gets no messages in that time.

    Parameters
    ----------
    settings
        The zone of this node and how long a failed node stays suspect.
    name
        This node's name.
    """

    def __init__(self, settings: ForwardingSettings, name: str) -> None:
        self._settings = settings
        self._name = name
        self._members: dict[str, _Member] = {}
        self._departed: dict[str, NodeIdentity] = {}
        """Nodes removed from the store that have not failed since; they still get updates."""
        self.evidence: ReachabilityEvidence | None = None
        """Receives failures of nodes in other zones."""
        self._max_shard_count = 0
        self._version = 0
        self._valid_until = float("inf")
        """When the first suspicion ends, which changes the set of usable nodes."""

    @property
    def name(self) -> str:
        """The name of this node."""
        return self._name

    @property
    def max_shard_count(self) -> int:
        """The maximum number of shards of a route."""
        return self._max_shard_count

    @property
    def node_count(self) -> int:
        """The number of nodes with a known address."""
        return len(self._members)

    @property
    def all_nodes(self) -> list[GroupNode]:
        """All nodes with a known address, including this one and suspect ones."""
        return [GroupNode(name, member.record) for name, member in self._members.items()]

    @property
    def zone_count(self) -> int:
        """The number of zones with at least one node of known address."""
        return len({member.record.identity.zone for member in self._members.values()})

    def version(self, now: float) -> int:
        """Return a number that changes whenever the set of usable nodes changes."""
        if now >= self._valid_until:
            self._changed()
            suspect_ends = [item.suspect_until for item in self._members.values()]
            self._valid_until = min([at for at in suspect_ends if at > now], default=float("inf"))
        return self._version

    def put(self, name: str, record: NodeRecord | None) -> None:
        """Record a node's address; ``None``: the node cannot be reached by others."""
        present = self._members.get(name)
        self._departed.pop(name, None)
        if record is None:
            self.remove(name)
        elif present is None or present.record != record:
            self._members[name] = _Member(record)
            self._changed()

    def remove(self, name: str) -> None:
        """Remove a node whose store entry is gone."""
        member = self._members.pop(name, None)
        if member is not None:
            self._departed[name] = member.record.identity
            if len(self._departed) > self._settings.update_max_recipients:
                del self._departed[next(iter(self._departed))]
            self._changed()

    def keep_only(self, names: Collection[str]) -> None:
        """Apply a complete listing: remove the nodes that are not in it."""
        for name in [name for name in self._members if name not in names]:
            self.remove(name)

    def set_max_shard_count(self, max_shard_count: int) -> None:
        """Set the maximum number of shards of a route."""
        self._max_shard_count = max_shard_count

    def suspect(self, node_id: str, now: float, is_absent: bool = False) -> None:
        """Mark a node as suspect; the period doubles with each failure in a row.

        Parameters
        ----------
        is_absent
            Whether nothing accepted connections at its address: the node may be starting.
        """
        for name in [name for name, item in self._departed.items() if item.node_id == node_id]:
            del self._departed[name]
        self._record_zone_failure(node_id, now)
        for member in self._members.values():
            if member.record.identity.node_id == node_id and now >= member.suspect_until:
                settings = self._settings
                first = settings.node_absent_seconds if is_absent else settings.node_suspect_seconds
                seconds = first * 2.0**member.failures
                seconds = min(seconds, self._settings.node_suspect_max_seconds)
                member.suspect_until = now + seconds
                member.failures += 1
                self._valid_until = min(self._valid_until, member.suspect_until)
                self._changed()

    def _record_zone_failure(self, node_id: str, now: float) -> None:
        """Record a failed node of another zone as evidence that the zone is unreachable.

        Nodes of the same zone are left out, because they restart regularly and each restart would
        cause every node to check its zones.
        """
        if self.evidence is None:
            return
        for member in self._members.values():
            identity = member.record.identity
            if identity.node_id == node_id and identity.zone != self._settings.zone:
                self.evidence.record_failure(identity.zone, f"node {node_id}", now)

    def clear_suspicion(self, node_id: str) -> None:
        """Record an answer of a node, however late: it is no longer suspect."""
        for member in self._members.values():
            if member.record.identity.node_id != node_id:
                continue
            member.failures = 0
            if member.suspect_until > float("-inf"):
                member.suspect_until = float("-inf")
                self._changed()

    def usable_by_zone(self, now: float) -> dict[str, list[GroupNode]]:
        """Return the nodes that are not suspect by zone, including this one."""
        by_zone: dict[str, list[GroupNode]] = {}
        for name, member in self._members.items():
            if name == self._name or now >= member.suspect_until:
                zone = member.record.identity.zone
                by_zone.setdefault(zone, []).append(GroupNode(name, member.record))
        return by_zone

    def usable_others(self, now: float) -> list[NodeIdentity]:
        """Return the other nodes that are not suspect, sorted by name."""
        return [
            member.record.identity
            for name, member in sorted(self._members.items())
            if name != self._name and now >= member.suspect_until
        ]

    def other_nodes(self) -> list[tuple[str, NodeIdentity]]:
        """Return all other nodes sorted by name, including suspect ones."""
        return [
            (name, member.record.identity)
            for name, member in sorted(self._members.items())
            if name != self._name
        ]

    def update_recipients(self) -> list[NodeIdentity]:
        """Return the nodes to which this node sends store updates.

        They include nodes whose store entry is gone but that have not failed since. Such a node may
        still run: if the store rejects its calls, its entry expires and it depends on updates from
        other nodes.
        """
        names = [name for name in self._update_group_names() if name != self._name]
        present = [self._members[name].record.identity for name in names]
        return present + [item for item in self._departed.values() if item not in present]

    def group_position(self) -> int:
        """Return this node's position in its group, from 0."""
        names = self._update_group_names()
        return names.index(self._name) if self._name in names else 0

    def _update_group_names(self) -> list[str]:
        """Return the names of the group, or of the next nodes by name if the group is too small."""
        names = self._group_names()
        if len(names) >= self._settings.update_group_min_nodes or self._name not in self._members:
            return names
        names = sorted(self._members)
        position = names.index(self._name)
        ring = names[position:] + names[:position]
        return sorted(ring[: self._settings.update_max_recipients])

    def _group_names(self) -> list[str]:
        """Return the sorted names of this node's group; empty while this node has no address."""
        if self._name not in self._members or not self._max_shard_count:
            return []
        zone = self._members[self._name].record.identity.zone
        names = sorted(
            name for name, member in self._members.items() if member.record.identity.zone == zone
        )
        groups = max(1, round(len(names) / math.sqrt(self._max_shard_count)))
        own = names.index(self._name) * groups // len(names)
        return [
            name for position, name in enumerate(names) if position * groups // len(names) == own
        ]

    def _changed(self) -> None:
        self._version += 1
