"""Reads the operator's configuration document into a routing table."""

from collections.abc import Mapping
from typing import Any

import orjson

from ..forwarding.forwarding_node import FormatFailureKind
from ..model.failure import Failure
from ..model.routing_table import (
    CallerLimits,
    Route,
    RoutingTable,
    UpstreamService,
    WeightedService,
)
from .field_refused import FieldRefusedError
from .names import REPEATABLE
from .tenants_document import read_tenants

MILLISECONDS_PER_SECOND = 1000.0
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_OBJECTIVE_MS = 1_000
DEFAULT_CONNECTIONS = 24

Document = Mapping[str, Any]


def parse_configuration(value: bytes) -> RoutingTable | Failure[FormatFailureKind]:
    """Return the routing table of a stored document, or why it cannot be read."""
    try:
        document = orjson.loads(value)
        return RoutingTable(
            version=int(document["version"]),
            routes=tuple(_route(route) for route in document.get("routes", ())),
            services={
                service["name"]: _service(service) for service in document.get("services", ())
            },
            limits=_limits(document.get("limits") or {}),
            tenants=read_tenants(document),
        )
    except FieldRefusedError as error:
        return Failure(FormatFailureKind.MALFORMED, str(error))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(FormatFailureKind.MALFORMED, f"{type(error).__name__}: {error}")


def _route(document: Document) -> Route:
    return Route(
        name=str(document["name"]),
        host=str(document["host"]),
        path_prefix=str(document["pathPrefix"]),
        services=_weighted_services(document),
        shards=tuple(document.get("fanoutServices") or ()),
        is_repeatable=document.get("routeType") == REPEATABLE,
        max_attempts=max(1, int(document.get("maxAttempts") or 1)),
        timeout_seconds=_seconds(document.get("timeoutMs"), DEFAULT_TIMEOUT_MS),
        objective_seconds=_seconds(document.get("targetLatencyMs"), DEFAULT_OBJECTIVE_MS),
        priority=int(document.get("priority") or 0),
        merged_records=int(document.get("topK") or 0),
        min_share=float(document.get("minShardRatio") or 0.0),
        is_public=_is_public(document),
    )


def _is_public(document: Document) -> bool:
    given = document.get("public")
    if given is None:
        return False
    if not isinstance(given, bool):
        name = f"public of route {document['name']!r}"
        raise FieldRefusedError(name, repr(given), "true or false")
    return given


def _weighted_services(document: Document) -> tuple[WeightedService, ...]:
    parts = document.get("backends")
    if parts:
        return tuple(WeightedService(str(part["service"]), float(part["weight"])) for part in parts)
    service = document.get("service")
    return (WeightedService(str(service), 1.0),) if service else ()


def _service(document: Document) -> UpstreamService:
    connections = int(document.get("maxConnections") or DEFAULT_CONNECTIONS)
    cold = float(document.get("warmupPerS") or 0.0)
    return UpstreamService(str(document["name"]), connections, cold)


def _limits(document: Document) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(document.get("maxHeaderBytes") or usual.header_bytes),
        body_bytes=int(document.get("maxBodyBytes") or usual.body_bytes),
        request_read_seconds=_seconds(
            document.get("headerTimeoutMs"), usual.request_read_seconds * MILLISECONDS_PER_SECOND
        ),
        idle_seconds=_seconds(
            document.get("idleTimeoutMs"), usual.idle_seconds * MILLISECONDS_PER_SECOND
        ),
    )


def _seconds(milliseconds: float | None, default_milliseconds: float) -> float:
    return float(milliseconds or default_milliseconds) / MILLISECONDS_PER_SECOND
