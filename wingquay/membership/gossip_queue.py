"""The gossip updates to spread, and how many times each has been sent.

Each update is piggybacked on messages a number of times that grows with the logarithm of the number
of nodes; the least sent updates go first. Source: SWIM (2002), section 4.1.
"""

import math
from dataclasses import dataclass

from ..model.identifiers import NodeId, ReplicaId
from ..ports.peer import NodeIdentity, NodeUpdate, ReplicaUpdate

NODE_UPDATE_OVERHEAD_BYTES = 22
"""Tags, lengths, port, state and incarnation of an encoded node update."""

REPLICA_UPDATE_OVERHEAD_BYTES = 24
"""Tags, lengths, state, version and held versions of an encoded replica update."""


MIN_UPDATE_BYTES = REPLICA_UPDATE_OVERHEAD_BYTES
"""Smallest estimated size of an update; with less space left, the search for updates stops."""

MAX_ORDINARY_UPDATES = 300
"""Maximum number of updates that are not urgent; above it, the most often sent ones are dropped."""

_Key = tuple[str, NodeId | ReplicaId]


def estimated_bytes(update: NodeUpdate | ReplicaUpdate) -> int:
    """Return the approximate encoded size of ``update`` in bytes."""
    if isinstance(update, ReplicaUpdate):
        return REPLICA_UPDATE_OVERHEAD_BYTES + len(update.replica_id)
    reporter_bytes = len(update.suspected_by)
    return NODE_UPDATE_OVERHEAD_BYTES + reporter_bytes + _identity_bytes(update.identity)


def _identity_bytes(identity: NodeIdentity) -> int:
    return (
        len(identity.node_id) + len(identity.deployment) + len(identity.zone) + len(identity.host)
    )


@dataclass(slots=True)
class _Entry:
    update: NodeUpdate | ReplicaUpdate
    size_bytes: int
    times_sent: int = 0


class _SendQueue:
    """Updates of one urgency, grouped by the number of times they have been sent.

    Unsent updates go newest first, the others oldest first.
    """

    def __init__(self) -> None:
        self._levels: list[dict[_Key, _Entry]] = []
        self._level_of: dict[_Key, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def __contains__(self, key: _Key) -> bool:
        return key in self._level_of

    def put(self, key: _Key, entry: _Entry) -> None:
        level = entry.times_sent
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][key] = entry
        self._level_of[key] = level

    def remove(self, key: _Key) -> None:
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def drop_most_sent(self) -> None:
        """Drop the oldest of the updates that have been sent most often."""
        most_sent = next(level for level in reversed(self._levels) if level)
        self.remove(next(iter(most_sent)))

    def take(self, max_bytes: int, limit: int) -> tuple[list[NodeUpdate | ReplicaUpdate], int]:
        """Return updates of at most ``max_bytes``, least sent first, and the bytes left.

        Updates that have then been sent ``limit`` times are removed.
        """
        chosen: list[tuple[_Key, _Entry]] = []
        for times_sent, level in enumerate(self._levels):
            for key in level if times_sent else reversed(level):
                entry = level[key]
                if entry.size_bytes <= max_bytes:
                    max_bytes -= entry.size_bytes
                    chosen.append((key, entry))
                if max_bytes < MIN_UPDATE_BYTES:
                    break
            if max_bytes < MIN_UPDATE_BYTES:
                break
        for key, entry in chosen:
            self.remove(key)
            entry.times_sent += 1
            if entry.times_sent < limit:
                self.put(key, entry)
        return [entry.update for _, entry in chosen], max_bytes


class GossipQueue:
    """The newest gossip update about each node and each replica.

    Parameters
    ----------
    retransmission_factor
        An urgent update is sent this factor times the natural logarithm of the number of nodes, in
        number of times; other updates are sent half as many times.
    """

    def __init__(self, retransmission_factor: float) -> None:
        self._factor = retransmission_factor
        self._urgent = _SendQueue()
        self._ordinary = _SendQueue()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    @property
    def has_urgent(self) -> bool:
        """Whether an urgent update is queued, so that pings are sent only to carry gossip."""
        return len(self._urgent) > 0

    def has_update_about(self, node_id: NodeId) -> bool:
        """Whether an update about that node still has to be sent."""
        key = ("node", node_id)
        return key in self._urgent or key in self._ordinary

    def put(self, update: NodeUpdate | ReplicaUpdate, urgent: bool = True) -> None:
        """Queue ``update`` in place of any earlier update about the same node or replica."""
        key = _key_of(update)
        self._urgent.remove(key)
        self._ordinary.remove(key)
        queue = self._urgent if urgent else self._ordinary
        queue.put(key, _Entry(update, estimated_bytes(update)))
        if len(self._ordinary) > MAX_ORDINARY_UPDATES:
            self._ordinary.drop_most_sent()

    def take(
        self,
        max_bytes: int,
        node_count: int,
    ) -> list[NodeUpdate | ReplicaUpdate]:
        """Return the updates to send now, of at most ``max_bytes``, and count them as sent."""
        limit = self.transmissions(node_count)
        urgent, remaining_bytes = self._urgent.take(max_bytes, limit)
        ordinary, _ = self._ordinary.take(remaining_bytes, max(1, limit // 2))
        return urgent + ordinary

    def transmissions(self, node_count: int) -> int:
        """Return how many times an urgent update is sent in a cluster of ``node_count`` nodes."""
        return max(1, math.ceil(self._factor * math.log(node_count + 1)))


def _key_of(update: NodeUpdate | ReplicaUpdate) -> _Key:
    if isinstance(update, ReplicaUpdate):
        return "replica", update.replica_id
    return "node", update.identity.node_id
