"""Kinds of requests that clients send, and the configuration that routes them."""

import random
from enum import Enum

import attrs

from wingquay.model.routing_table import Route, RoutingTable, UpstreamService, WeightedService
from wingquay.model.tenants import Tenant, TenantDirectory

from .settings import CALLER_LIMITS, HOST, SoakSettings

CONNECTION_LIMIT = 110
KEYS = 2
"""Keys that each tenant holds at a time."""
ADDED_PREFIX = "/added/"


class Kind(Enum):
    """A kind of request."""

    SWEEP = "sweep"
    """All shards, much work."""
    CHECK = "check"
    """All shards, little work."""
    FETCH = "fetch"
    """One replica; may run again."""
    EDIT = "edit"
    """One replica; may run only once."""
    ADDED = "added"
    """One replica, on a route that comes and goes."""


@attrs.frozen
class Shape:
    """What the requests of a kind are like.

    Parameters
    ----------
    weight
        Share of the requests, in proportion.
    work_ms
        Least and greatest work at a replica.
    """

    weight: float
    work_ms: tuple[int, int]
    deadline_seconds: float
    objective_seconds: float
    is_repeatable: bool = True


SHAPES = {
    Kind.SWEEP: Shape(3.0, (5, 60), 1.5, 0.25),
    Kind.CHECK: Shape(3.0, (2, 15), 0.8, 0.1),
    Kind.FETCH: Shape(4.0, (10, 1_400), 5.0, 0.8),
    Kind.EDIT: Shape(4.0, (10, 150), 5.0, 0.5, is_repeatable=False),
    Kind.ADDED: Shape(0.5, (2, 15), 2.0, 0.4),
}
SERVICES = {
    Kind.FETCH: ("desk-a", "desk-b"),
    Kind.EDIT: ("intake-a", "intake-b"),
    Kind.ADDED: ("desk-a", "desk-b"),
}
"""Services between which the routes of kinds with one replica are moved."""


def prefix_of(kind: Kind) -> str:
    """Return the path prefix of a kind."""
    return f"/{kind.value}/"


def kind_of(path: str) -> Kind | None:
    """Return the kind of a request by its path."""
    word = path.split("/", 2)[1] if path.count("/") > 1 else ""
    return next((kind for kind in Kind if kind.value == word), None)


def shard_names(settings: SoakSettings) -> tuple[str, ...]:
    """Return the services that are the shards."""
    return tuple(f"shard-{number}" for number in range(settings.shards))


class TableMaker:
    """Makes the configurations that the operator publishes, one after the other.

    Parameters
    ----------
    chance
        Draws what changes.
    """

    def __init__(self, settings: SoakSettings, chance: random.Random) -> None:
        self._settings = settings
        self._random = chance
        self._version = 0
        self._services = {kind: names[0] for kind, names in SERVICES.items()}
        self._timeout_factor = 0.8
        self._has_added = False
        self._body_bytes = CALLER_LIMITS.body_bytes
        self._made_keys = 0
        self._tenants: dict[str, Tenant] = {}
        if settings.has_tenants:
            rates = {"small": (0.0, 0.0), "large": (0.0, 0.0), "limited": (4.0, 6.0)}
            for name, (rate, burst) in rates.items():
                keys = tuple(self._new_key() for _ in range(KEYS))
                self._tenants[name] = Tenant(name, keys, None, rate, burst)

    @property
    def tenants(self) -> tuple[Tenant, ...]:
        """The tenants of the latest configuration."""
        return tuple(self._tenants.values())

    def move_route(self) -> None:
        """Move the route of a kind to its other service."""
        kind = self._random.choice(list(SERVICES))
        first, second = SERVICES[kind]
        self._services[kind] = second if self._services[kind] == first else first

    def change_timeouts(self) -> None:
        """Make all time limits a little longer or shorter."""
        self._timeout_factor = self._random.uniform(0.5, 1.3)

    def change_route(self) -> None:
        """Add the route that comes and goes, or take it away."""
        self._has_added = not self._has_added

    def change_body_limit(self) -> None:
        """Change the greatest body; requests of clients stay below all values."""
        self._body_bytes = self._random.choice((32_768, 65_536, 131_072))

    def change_keys(self) -> None:
        """Take a key away from each tenant, and give it another one."""
        for name, tenant in self._tenants.items():
            keys = (*tenant.keys[1:], self._new_key())
            self._tenants[name] = with_keys(tenant, keys)

    def next_table(self) -> RoutingTable:
        """Return the next configuration."""
        self._version += self._random.randint(1, 3)
        routes = tuple(self._route(kind) for kind in Kind if self._is_routed(kind))
        names = {name for route in routes for name in route.all_services}
        services = {name: UpstreamService(name, CONNECTION_LIMIT) for name in sorted(names)}
        limits = type(CALLER_LIMITS)(
            CALLER_LIMITS.header_bytes,
            self._body_bytes,
            CALLER_LIMITS.request_read_seconds,
            CALLER_LIMITS.idle_seconds,
        )
        tenants = TenantDirectory(self.tenants) if self._tenants else None
        return RoutingTable(self._version, routes, services, limits, tenants)

    def _is_routed(self, kind: Kind) -> bool:
        return kind is not Kind.ADDED or self._has_added

    def _route(self, kind: Kind) -> Route:
        shape = SHAPES[kind]
        shards = shard_names(self._settings) if kind in (Kind.SWEEP, Kind.CHECK) else ()
        services = () if shards else (WeightedService(self._services[kind], 1.0),)
        return Route(
            name=kind.value,
            host=HOST,
            path_prefix=prefix_of(kind),
            services=services,
            shards=shards,
            is_repeatable=shape.is_repeatable,
            max_attempts=2,
            timeout_seconds=round(
                shape.deadline_seconds * self._settings.deadline_factor * self._timeout_factor, 3
            ),
            objective_seconds=shape.objective_seconds,
            priority=list(Kind).index(kind),
            merged_records=8 if shards else 0,
            min_share=0.66 if shards else 1.0,
            is_public=kind is Kind.CHECK,
        )

    def _new_key(self) -> str:
        self._made_keys += 1
        return f"key-{self._settings.seed}-{self._made_keys}-{self._random.getrandbits(32):x}"


def with_keys(tenant: Tenant, keys: tuple[str, ...]) -> Tenant:
    """Return a tenant with other keys."""
    return Tenant(tenant.name, keys, tenant.priority, tenant.requests_per_second, tenant.burst)
