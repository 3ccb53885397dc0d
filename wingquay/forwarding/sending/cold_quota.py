"""Quota of requests that this node may send to a cold replica.

A replica that has just started, or has lost its cache, fails above the request rate that its
service states. Nodes divide this rate without messages: each takes an equal quota. Where the quota
is below one request a second, some nodes take one request each and the others none. These nodes are
selected by hashing the replica's id with the nodes' keys, so that all nodes select the same ones.
"""

from ..choice.replica_state import ReplicaState
from ..knowledge.presence import NodeCount

WINDOW_SECONDS = 1.0
USED_SHARE = 0.6
"""Fraction of the rate that is divided among the nodes; the rest is a reserve for new nodes that
the others don't count yet."""


class ColdQuota:
    """Divides the request rates of cold replicas among the nodes.

    Parameters
    ----------
    overage, slack
        A cold replica may receive its service's stated rate times ``overage`` plus ``slack``
        requests a second.
    nodes
        The nodes that share the rate.
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
            Requests a second that a cold replica of the service handles; 0: no limit.
        sharing_nodes
            Number of nodes that normally send to the replica.
        """
        if not per_second or not replica.is_cold(now):
            return True
        bound = (per_second * self._overage + self._slack) * USED_SHARE
        quota = int(bound / max(1, sharing_nodes))
        if quota < 1:
            position = self._nodes.hashed_position(self._key, replica.record.replica_id)
            quota = int(position is not None and position < int(bound))
        return replica.cold_sends_since(now - WINDOW_SECONDS) < quota
