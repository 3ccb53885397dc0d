"""Requests that a node lets run without asking anybody, when it reaches no owner of the tenant."""

from collections.abc import Callable

from ....model.tenants import Tenant
from .budget import budget_of
from .limit_settings import LimitSettings
from .owners import reserve_rank
from .sliding_count import SlidingCount


class Reserve:
    """Lets one request of a tenant run in a window, on a few nodes.

    Parameters
    ----------
    names
        Returns the ids of all nodes of the store, reachable or not.
    born_at
        When this life of the node began: what its last one let run is not known for a window.
    """

    def __init__(
        self, settings: LimitSettings, names: Callable[[], list[str]], born_at: float
    ) -> None:
        self._settings = settings
        self._names = names
        self._born_at = born_at
        self._used: dict[str, SlidingCount] = {}

    def take(self, tenant: Tenant, own_id: str, now: float) -> bool:
        """Let a request run if the node is one of the few and has its one left."""
        window_seconds = self._settings.window_seconds
        if now < self._born_at + window_seconds:
            return False
        used = self._used.setdefault(tenant.name, SlidingCount(window_seconds))
        nodes = budget_of(tenant, self._settings).reserves
        if used.total(now) or reserve_rank(tenant.name, own_id, self._names()) >= nodes:
            return False
        used.add(1, now)
        return True
