"""Routes with the priority of the calling tenant.

Such a route is built once per priority and configuration and then cached, since building it for
each request would be slow.
"""

from dataclasses import replace

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant


class TenantPriorities:
    """Replaces the priority of a route by that of the calling tenant."""

    def __init__(self) -> None:
        self._version = -1
        self._routes: dict[tuple[str, str, int], Route] = {}

    def apply(self, route: Route, tenant: Tenant, table: RoutingTable) -> Route:
        """Return the route with the tenant's priority, if the tenant has one."""
        priority = tenant.priority
        if priority is None or priority == route.priority:
            return route
        if table.version != self._version:
            self._version = table.version
            self._routes.clear()
        key = (route.host, route.path_prefix, priority)
        cached = self._routes.get(key)
        if cached is None:
            cached = replace(route, priority=priority)
            self._routes[key] = cached
        return cached
