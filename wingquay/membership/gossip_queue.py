"""What is to be spread, and how often each piece still has to be sent.

Every piece rides on messages a number of times that grows with the logarithm of the number of
nodes; the least sent go first. Source: SWIM (2002), section 4.1.
"""

import math
from dataclasses import dataclass

from wingquay.model.identifiers import NodeId, ReplicaId
from wingquay.ports.peer import NodeIdentity, NodeUpdate, ReplicaUpdate

NODE_UPDATE_OVERHEAD_BYTES = 22
"""Tags, lengths, port, state and incarnation of an encoded node update."""

REPLICA_UPDATE_OVERHEAD_BYTES = 24
"""Tags, lengths, state, version and held versions of an encoded replica update."""


def estimated_bytes(update: NodeUpdate | ReplicaUpdate) -> int:
    """Return about how many bytes ``update`` takes on the wire."""
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
    urgent: bool
    order: int
    times_sent: int = 0


class GossipQueue:
    """Pieces of gossip, at most one for each node and each replica: the newest.

    Parameters
    ----------
    retransmission_factor
        Times the natural logarithm of the number of nodes: how often a piece is sent.
    """

    def __init__(self, retransmission_factor: float) -> None:
        self._factor = retransmission_factor
        self._entries: dict[tuple[str, NodeId | ReplicaId], _Entry] = {}
        self._next_order = 0
        self._urgent_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def has_urgent(self) -> bool:
        """Whether something waits that is worth messages of its own."""
        return self._urgent_count > 0

    def holds_node(self, node_id: NodeId) -> bool:
        """Whether something about that node still has to be spread."""
        return ("node", node_id) in self._entries

    def put(self, update: NodeUpdate | ReplicaUpdate, urgent: bool = True) -> None:
        """Spread ``update`` instead of what was to be spread about the same subject."""
        key = _key_of(update)
        self._remove(key)
        self._next_order += 1
        entry = _Entry(update, estimated_bytes(update), urgent, self._next_order)
        self._entries[key] = entry
        self._urgent_count += urgent

    def take(
        self,
        maximum_bytes: int,
        node_count: int,
    ) -> list[NodeUpdate | ReplicaUpdate]:
        """Return what to send now, of at most ``maximum_bytes``, and count it as sent."""
        if not self._entries:
            return []
        limit = self.transmissions(node_count)
        taken: list[NodeUpdate | ReplicaUpdate] = []
        for key, entry in sorted(self._entries.items(), key=_sending_order):
            if entry.size_bytes > maximum_bytes:
                continue
            maximum_bytes -= entry.size_bytes
            taken.append(entry.update)
            entry.times_sent += 1
            if entry.times_sent >= limit:
                self._remove(key)
        return taken

    def transmissions(self, node_count: int) -> int:
        """Return how often a piece is sent among ``node_count`` nodes."""
        return max(1, math.ceil(self._factor * math.log(node_count + 1)))

    def _remove(self, key: tuple[str, NodeId | ReplicaId]) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._urgent_count -= entry.urgent


def _key_of(update: NodeUpdate | ReplicaUpdate) -> tuple[str, NodeId | ReplicaId]:
    if isinstance(update, ReplicaUpdate):
        return "replica", update.replica_id
    return "node", update.identity.node_id


def _sending_order(
    item: tuple[tuple[str, NodeId | ReplicaId], _Entry],
) -> tuple[bool, int, int]:
    entry = item[1]
    return not entry.urgent, entry.times_sent, -entry.order
