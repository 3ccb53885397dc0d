"""Requests that a node may start when it reaches no owner of the tenant."""

from collections.abc import Callable

from ....model.tenants import Tenant
from .budget import compute_budget
from .limit_settings import LimitSettings
from .sliding_window_counter import SlidingWindowCounter
from .tenant_owners import reserve_rank


class Reserve:
    """Permits one request per tenant and window on a small number of nodes.

    Parameters
    ----------
    node_ids
        Returns the ids of all nodes listed in the store, reachable or not.
    started_at
        Start of this incarnation of the node. The reserve is empty for one window afterwards, since
        the previous incarnation may have used it.
    """

    def __init__(
        self, settings: LimitSettings, node_ids: Callable[[], list[str]], started_at: float
    ) -> None:
        self._settings = settings
        self._node_ids = node_ids
        self._started_at = started_at
        self._used: dict[str, SlidingWindowCounter] = {}

    def take(self, tenant: Tenant, own_id: str, now: float) -> bool:
        """Return whether a request may start, and count it if so."""
        window_seconds = self._settings.window_seconds
        if now < self._started_at + window_seconds:
            return False
        used = self._used.setdefault(tenant.name, SlidingWindowCounter(window_seconds))
        nodes = compute_budget(tenant, self._settings).reserve_nodes
        if used.total(now) or reserve_rank(tenant.name, own_id, self._node_ids()) >= nodes:
            return False
        used.add(1, now)
        return True
