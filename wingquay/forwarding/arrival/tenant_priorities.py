"""Routes with the priority of the tenant that calls.

A route is made anew once for each priority and configuration, not for each request: that would take
more time than the whole rest of the way from a known key to the first sending.
"""

from dataclasses import replace

from ...model.routing_table import Route, RoutingTable
from ...model.tenants import Tenant


class TenantPriorities:
    """Puts a tenant's priority in the place of the route's."""

    def __init__(self) -> None:
        self._version = -1
        self._routes: dict[tuple[str, str, int], Route] = {}

    def apply(self, route: Route, tenant: Tenant, table: RoutingTable) -> Route:
        """Return the route as the tenant's requests take it."""
        priority = tenant.priority
        if priority is None or priority == route.priority:
            return route
        if table.version != self._version:
            self._version = table.version
            self._routes.clear()
        key = (route.host, route.path_prefix, priority)
        known = self._routes.get(key)
        if known is None:
            known = replace(route, priority=priority)
            self._routes[key] = known
        return known
