"""Opens the link to other nodes.

All nodes authenticate with a shared secret, the cluster key. The first node to start writes it to
the store, so every node that can read the store can connect.
"""

from ...model.failure import Failure
from ...model.routing_table import RoutingTable
from ...ports.machine import Action
from ...ports.peer_link import OpenPeerLink
from ...ports.store import (
    CompareAndSwap,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    StoreResult,
    SwapResult,
)
from ..settings import ForwardingSettings

OPERATION_PREFIX = "cluster-key-"
TIMEOUT_SECONDS = 2.0


class PeerSetup:
    """Reads or creates the cluster key, then requests the link.

    Parameters
    ----------
    key_name
        The name of the cluster key in the store.
    new_cluster_key
        The key to write if there is none; random, at least 16 bytes.
    """

    def __init__(self, settings: ForwardingSettings, key_name: str, new_cluster_key: bytes) -> None:
        self._settings = settings
        self._key_name = key_name
        self._new_cluster_key = new_cluster_key
        self._cluster_key: bytes | None = None
        self._is_requested = False
        self._operations = 0

    @property
    def is_requested(self) -> bool:
        """Whether the link was requested."""
        return self._is_requested

    def needs_early_link(self, table: RoutingTable) -> bool:
        """Whether requests depend on other nodes, for delegation or for a tenant's limit."""
        if table.tenants is not None and table.tenants.is_limited:
            return True
        return count_max_shards(table) >= self._settings.delegate_min_shards

    def set_cluster_key(self, cluster_key: bytes) -> None:
        """Record the cluster key found in the store."""
        self._cluster_key = cluster_key

    def handles(self, event: StoreResponse) -> bool:
        """Whether a store response answers a request of this class."""
        return event.operation_id.startswith(OPERATION_PREFIX)

    def request_link(self) -> list[Action]:
        """Request the link, or first write the cluster key if it is unknown."""
        if self._is_requested:
            return []
        if self._cluster_key is not None:
            self._is_requested = True
            return [OpenPeerLink(self._cluster_key)]
        self._operations += 1
        operation = CompareAndSwap(self._key_name, 0, self._new_cluster_key)
        return [StoreRequest(self._operation_id, operation, TIMEOUT_SECONDS)]

    def rewrite_cluster_key(self) -> list[Action]:
        """Write the cluster key that is in use again, unless another node has written one."""
        if self._cluster_key is None:
            return []
        self._operations += 1
        operation = CompareAndSwap(self._key_name, 0, self._cluster_key)
        return [StoreRequest(self._operation_id, operation, TIMEOUT_SECONDS)]

    def handle_result(self, result: StoreResult | Failure[StoreFailureKind]) -> list[Action]:
        """Handle the result of writing the cluster key."""
        if not isinstance(result, SwapResult):
            return []
        if result.succeeded:
            self._cluster_key = self._new_cluster_key
        elif result.current is not None:
            self._cluster_key = result.current.value
        return self.request_link() if self._cluster_key is not None else []

    @property
    def _operation_id(self) -> str:
        return f"{OPERATION_PREFIX}{self._operations}"


def count_max_shards(table: RoutingTable) -> int:
    """Return the maximum number of shards of a route."""
    return max([len(route.shards) for route in table.routes], default=0)
