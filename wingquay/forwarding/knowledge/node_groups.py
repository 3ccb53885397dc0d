"""The other nodes: which can be reached, which are passed over, and who is told news of the store.

The nodes of a zone form groups of about the square root of the number of shards of the widest
route; the nodes of a group tell each other what they read of the store.
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
    """A node that can be asked now, this one included."""

    name: str
    record: NodeRecord


@dataclass(slots=True, eq=False)
class _Member:
    """A node that other nodes can reach."""

    record: NodeRecord
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
        self.evidence: ReachabilityEvidence | None = None
        """Takes in which nodes are passed over, and where they are."""
        self._fan_out = 0
        self._version = 0
        self._valid_until = float("inf")
        """When the first node that is passed over may be asked again."""

    @property
    def name(self) -> str:
        """The name of this node."""
        return self._name

    @property
    def max_shard_count(self) -> int:
        """The greatest number of shards of a route."""
        return self._fan_out

    @property
    def size(self) -> int:
        """The number of nodes that have said where they can be reached."""
        return len(self._members)

    @property
    def all_nodes(self) -> list[GroupNode]:
        """The nodes that have said where they can be reached, this one and silent ones included."""
        return [GroupNode(name, member.record) for name, member in self._members.items()]

    @property
    def zones(self) -> int:
        """The number of zones that have such nodes."""
        return len({member.record.identity.zone for member in self._members.values()})

    def version(self, now: float) -> int:
        """Return a number that is another whenever other nodes can be asked."""
        if now >= self._valid_until:
            self._changed()
            later = [item.suspect_until for item in self._members.values()]
            self._valid_until = min([at for at in later if at > now], default=float("inf"))
        return self._version

    def put(self, name: str, record: NodeRecord | None) -> None:
        """Take in what a node says of itself; ``None``: it cannot be reached."""
        present = self._members.get(name)
        self._departed.pop(name, None)
        if record is None:
            self.remove(name)
        elif present is None or present.record != record:
            self._members[name] = _Member(record)
            self._changed()

    def remove(self, name: str) -> None:
        """Take in that a node is gone."""
        member = self._members.pop(name, None)
        if member is not None:
            self._departed[name] = member.record.identity
            if len(self._departed) > self._settings.update_max_recipients:
                del self._departed[next(iter(self._departed))]
            self._changed()

    def keep_only(self, names: Collection[str]) -> None:
        """Take in a whole listing: nodes that are not in it are gone."""
        for name in [name for name in self._members if name not in names]:
            self.remove(name)

    def set_max_shard_count(self, shards: int) -> None:
        """Take in the greatest number of shards of a route."""
        self._fan_out = shards

    def suspect(self, node_id: str, now: float, is_absent: bool = False) -> None:
        """Pass a node over for a while, longer each time in a row.

        Parameters
        ----------
        is_absent
            Whether nobody answered at its address: it may be starting.
        """
        for name in [name for name, item in self._departed.items() if item.node_id == node_id]:
            del self._departed[name]
        self._tell(node_id, now)
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

    def _tell(self, node_id: str, now: float) -> None:
        """Take a node of another zone for a sign that the zone is out of reach.

        Nodes of the own zone are none: they start anew every day, and all would look into it.
        """
        if self.evidence is None:
            return
        for member in self._members.values():
            identity = member.record.identity
            if identity.node_id == node_id and identity.zone != self._settings.zone:
                self.evidence.record_failure(identity.zone, f"node {node_id}", now)

    def clear_suspicion(self, node_id: str) -> None:
        """Take in that a node has answered: it is there, however late it was."""
        for member in self._members.values():
            if member.record.identity.node_id != node_id:
                continue
            member.failures = 0
            if member.suspect_until > float("-inf"):
                member.suspect_until = float("-inf")
                self._changed()

    def usable_by_zone(self, now: float) -> dict[str, list[GroupNode]]:
        """Return the nodes of each zone that can be asked now, this one included."""
        found: dict[str, list[GroupNode]] = {}
        for name, member in self._members.items():
            if name == self._name or now >= member.suspect_until:
                zone = member.record.identity.zone
                found.setdefault(zone, []).append(GroupNode(name, member.record))
        return found

    def usable_others(self, now: float) -> list[NodeIdentity]:
        """Return the other nodes that can be asked now, sorted by name."""
        return [
            member.record.identity
            for name, member in sorted(self._members.items())
            if name != self._name and now >= member.suspect_until
        ]

    def other_nodes(self) -> list[tuple[str, NodeIdentity]]:
        """Return all other nodes by name, also those that are passed over."""
        return [
            (name, member.record.identity)
            for name, member in sorted(self._members.items())
            if name != self._name
        ]

    def update_recipients(self) -> list[NodeIdentity]:
        """Return the nodes that are told what this one reads of the store.

        A node whose key is gone from the store while its link stands is told as well: the store may
        have taken the key from a node that it turns away, and that one needs the news most.
        """
        names = [name for name in self._news_names() if name != self._name]
        present = [self._members[name].record.identity for name in names]
        return present + [item for item in self._departed.values() if item not in present]

    def group_position(self) -> int:
        """Return this node's place among those that tell each other of the store."""
        names = self._news_names()
        return names.index(self._name) if self._name in names else 0

    def _news_names(self) -> list[str]:
        """Return the names of the group, or of all nodes while the group is small."""
        names = self._group_names()
        if len(names) >= self._settings.update_group_min_nodes or self._name not in self._members:
            return names
        names = sorted(self._members)
        place = names.index(self._name)
        around = names[place:] + names[:place]
        return sorted(around[: self._settings.update_max_recipients])

    def _group_names(self) -> list[str]:
        """Return the sorted names of this node's group; empty while it cannot be reached."""
        if self._name not in self._members or not self._fan_out:
            return []
        zone = self._members[self._name].record.identity.zone
        names = sorted(
            name for name, member in self._members.items() if member.record.identity.zone == zone
        )
        groups = max(1, round(len(names) / math.sqrt(self._fan_out)))
        own = names.index(self._name) * groups // len(names)
        return [name for place, name in enumerate(names) if place * groups // len(names) == own]

    def _changed(self) -> None:
        self._version += 1
