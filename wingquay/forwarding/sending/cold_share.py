"""How many requests this node may send to a cold replica, so that the sum over all nodes holds.

A replica that has just started, or has lost its cache, falls over at more requests a second than
its service states. No message between nodes divides that bound: each takes an even share, and where
a share is less than one request a second, as many nodes as requests are allowed take one each.
Which nodes these are follows from the replica's id and the nodes' names, so that each replica is
warmed by other nodes and all of them agree.
"""

from ..choice.replica_state import ReplicaState
from ..knowledge.presence import NodeCount

WINDOW_SECONDS = 1.0
USED_SHARE = 0.6
"""Part of the bound that is divided: a fleet that has just grown by half takes a third more than
its part until the nodes that were there have seen the others."""


class ColdShare:
    """Divides the bounds of cold replicas.

    Parameters
    ----------
    overage, slack
        A cold replica may get its service's requests a second, times the first, plus the second.
    nodes
        The nodes that share the bound.
    key
        This node's key.
    """

    def __init__(self, overage: float, slack: float, nodes: NodeCount, key: str) -> None:
        self._overage = overage
        self._slack = slack
        self._nodes = nodes
        self._key = key

    def may_send(
        self, replica: ReplicaState, per_second: float, sharing_nodes: int, now: float
    ) -> bool:
        """Whether this node may send one more request to a replica now.

        Parameters
        ----------
        per_second
            Requests a second that the service's cold replicas handle; 0: they are not bounded.
        sharing_nodes
            How many nodes usually ask the replica.
        """
        if not per_second or not replica.is_cold(now):
            return True
        bound = (per_second * self._overage + self._slack) * USED_SHARE
        share = int(bound / max(1, sharing_nodes))
        if share < 1:
            rank = self._nodes.hashed_position(self._key, replica.record.replica_id)
            share = int(rank is not None and rank < int(bound))
        return replica.sent_since(now - WINDOW_SECONDS) < share
