"""Opens the link to other nodes.

All nodes share a secret, the cluster's key, which stands in the store: the first node to start
writes it, so whoever may read the store may speak to nodes.
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
    """Learns or makes the cluster's key and asks for the link.

    Parameters
    ----------
    key_name
        The store's key that holds the cluster's key.
    candidate
        The key to write if there is none; random, at least 16 bytes.
    """

    def __init__(self, settings: ForwardingSettings, key_name: str, candidate: bytes) -> None:
        self._settings = settings
        self._key_name = key_name
        self._candidate = candidate
        self._cluster_key: bytes | None = None
        self._is_asked = False
        self._operations = 0

    @property
    def is_asked(self) -> bool:
        """Whether the link has been asked for."""
        return self._is_asked

    def is_wanted_early(self, table: RoutingTable) -> bool:
        """Whether requests need other nodes: for most of their shards, or for a tenant's limit."""
        if table.tenants is not None and table.tenants.is_limited:
            return True
        return widest_route(table) >= self._settings.delegate_min_shards

    def learn(self, cluster_key: bytes) -> None:
        """Take in the key that stands in the store."""
        self._cluster_key = cluster_key

    def handles(self, event: StoreResponse) -> bool:
        """Whether the answer is to one of this machine's requests."""
        return event.operation_id.startswith(OPERATION_PREFIX)

    def step(self) -> list[Action]:
        """Ask for the link, or for the key first."""
        if self._is_asked:
            return []
        if self._cluster_key is not None:
            self._is_asked = True
            return [OpenPeerLink(self._cluster_key)]
        self._operations += 1
        operation = CompareAndSwap(self._key_name, 0, self._candidate)
        return [StoreRequest(self._operation_id, operation, TIMEOUT_SECONDS)]

    def answered(self, result: StoreResult | Failure[StoreFailureKind]) -> list[Action]:
        """Take in the store's answer."""
        if not isinstance(result, SwapResult):
            return []
        if result.succeeded:
            self._cluster_key = self._candidate
        elif result.current is not None:
            self._cluster_key = result.current.value
        return self.step() if self._cluster_key is not None else []

    @property
    def _operation_id(self) -> str:
        return f"{OPERATION_PREFIX}{self._operations}"


def widest_route(table: RoutingTable) -> int:
    """Return the greatest number of shards of a route."""
    return max([len(route.shards) for route in table.routes], default=0)
