"""The configuration that simulated nodes follow: two routes over shards, two to single services."""

from collections.abc import Sequence
from dataclasses import replace

from ...model.routing_table import (
    CallerLimits,
    Route,
    RoutingTable,
    UpstreamService,
    WeightedService,
)
from ...model.tenants import TenantDirectory

HOST = "search.example"
SINGLE_SERVICE = "single"
EDIT_SERVICE = "edit"
CONNECTIONS = 26


def routing_table(
    version: int,
    shards: Sequence[str],
    limit_seconds: float,
    sweep_least_share: float,
    tenants: TenantDirectory | None = None,
) -> RoutingTable:
    """Return a configuration over a set of shards; one route is public."""
    names = tuple(shards)
    routes = (
        _sharded("sweep", names, 0.12, sweep_least_share, limit_seconds),
        replace(_sharded("check", names, 0.06, 0.5, limit_seconds), is_public=True),
        _single("fetch", SINGLE_SERVICE, True),
        _single("edit", EDIT_SERVICE, False),
    )
    services = {
        name: UpstreamService(name, CONNECTIONS) for name in (*names, SINGLE_SERVICE, EDIT_SERVICE)
    }
    return RoutingTable(version, routes, services, CallerLimits(), tenants)


def _sharded(
    name: str, shards: tuple[str, ...], objective: float, least: float, limit: float
) -> Route:
    return Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        shards=shards,
        is_repeatable=True,
        max_attempts=2,
        timeout_seconds=limit,
        objective_seconds=objective,
        merged_records=10,
        min_share=least,
    )


def _single(name: str, service: str, is_repeatable: bool) -> Route:
    return Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        services=(WeightedService(service, 1.0),),
        is_repeatable=is_repeatable,
        max_attempts=2,
        timeout_seconds=2.0,
        objective_seconds=0.4,
    )
