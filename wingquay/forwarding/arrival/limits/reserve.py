"""Requests that a node lets run without asking anybody, when it reaches no owner of the tenant."""

from collections.abc import Callable

from ....model.tenants import Tenant
from .budget import compute_budget
from .limit_settings import LimitSettings
from .sliding_window_counter import SlidingWindowCounter
from .tenant_owners import reserve_rank


class Reserve:
    """Lets one request of a tenant run in a window, on a few nodes.

    Parameters
    ----------
    names
        Returns the ids of all nodes of the store, reachable or not.
    started_at
        When this life of the node began: what its last one let run is not known for a window.
    """

    def __init__(
        self, settings: LimitSettings, names: Callable[[], list[str]], started_at: float
    ) -> None:
        self._settings = settings
        self._names = names
        self._started_at = started_at
        self._used: dict[str, SlidingWindowCounter] = {}

    def take(self, tenant: Tenant, own_id: str, now: float) -> bool:
        """Let a request run if the node is one of the few and has its one left."""
        window_seconds = self._settings.window_seconds
        if now < self._started_at + window_seconds:
            return False
        used = self._used.setdefault(tenant.name, SlidingWindowCounter(window_seconds))
        nodes = compute_budget(tenant, self._settings).reserve_nodes
        if used.total(now) or reserve_rank(tenant.name, own_id, self._names()) >= nodes:
            return False
        used.add(1, now)
        return True
