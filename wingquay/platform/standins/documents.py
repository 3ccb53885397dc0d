"""Writes the documents that the operator and replicas keep in the store; nodes read them."""

from typing import Any

import orjson

from ...model.replica_record import ReplicaRecord
from ...model.routing_table import CallerLimits, Route, RoutingTable
from ...model.tenants import Tenant
from ..names import DRAINING, READY, REPEATABLE

NOT_REPEATABLE = "non_idempotent"
MILLISECONDS_PER_SECOND = 1000.0


def configuration_value(table: RoutingTable) -> bytes:
    """Return a configuration as the operator writes it."""
    document: dict[str, Any] = {
        "version": table.version,
        "routes": [_route(route) for route in table.routes],
        "services": [
            {"name": service.name, "maxConnections": service.connection_limit, "healthPath": "/h"}
            for service in table.services.values()
        ],
        "limits": _limits(table.limits),
    }
    if table.tenants is not None:
        document["tenants"] = [_tenant(tenant) for tenant in table.tenants.tenants]
    return orjson.dumps(document)


def replica_value(record: ReplicaRecord, sequence: int) -> bytes:
    """Return the entry of a replica.

    Parameters
    ----------
    sequence
        Number of the write; it rises with each of them.
    """
    document = {
        "service": record.service,
        "address": f"{record.host}:{record.port}",
        "zone": record.zone,
        "version": "v1",
        "capacity": record.slots,
        "state": DRAINING if record.is_draining else READY,
        "warmupLeftMs": round(record.cold_seconds * MILLISECONDS_PER_SECOND),
        "sequence": sequence,
    }
    return orjson.dumps(document if record.born is None else {**document, "born": record.born})


def _route(route: Route) -> dict[str, Any]:
    document: dict[str, Any] = {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "routeType": REPEATABLE if route.is_repeatable else NOT_REPEATABLE,
        "timeoutMs": _milliseconds(route.timeout_seconds),
        "targetLatencyMs": _milliseconds(route.objective_seconds),
        "priority": route.priority,
        "maxAttempts": route.max_attempts,
        "public": route.is_public,
    }
    if route.shards:
        shards = {"fanoutServices": list(route.shards), "topK": route.merged_records}
        return {**document, **shards, "minShardRatio": route.min_share}
    if len(route.services) == 1:
        return {**document, "service": route.services[0].service}
    backends = [{"service": part.service, "weight": part.weight} for part in route.services]
    return {**document, "backends": backends}


def _limits(limits: CallerLimits) -> dict[str, Any]:
    return {
        "maxHeaderBytes": limits.header_bytes,
        "maxBodyBytes": limits.body_bytes,
        "headerTimeoutMs": _milliseconds(limits.request_read_seconds),
        "idleTimeoutMs": _milliseconds(limits.idle_seconds),
    }


def _tenant(tenant: Tenant) -> dict[str, Any]:
    document: dict[str, Any] = {
        "name": tenant.name,
        "apiKeys": list(tenant.keys),
        "ratePerS": tenant.requests_per_second,
        "burst": tenant.burst,
    }
    return document if tenant.priority is None else {**document, "priority": tenant.priority}


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)
