"""Routes from hosts and path prefixes to services, in one version of the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .tenants import TenantDirectory
from .value import value


@value
class WeightedService:
    """A service that receives a share of a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@value
class Route:
    """How requests under one host and path prefix are served.

    Parameters
    ----------
    path_prefix
        Starts and ends with a slash.
    services
        Services that share the requests; empty for a sharded route.
    shards
        Names of the services that serve as the route's shards. Every request is sent to all of
        them.
    is_repeatable
        Whether a request may run more than once.
    max_attempts
        Maximum number of replicas that may receive a request (per shard, for a sharded route).
    timeout_seconds
        Time after which a request is answered with a timeout.
    objective_seconds
        Latency objective: later answers are worth less.
    priority
        0 is the most urgent.
    merged_records
        Number of records in a merged answer.
    min_share
        Fraction of the shards, 0 to 1, that a successful merged answer must include.
    is_public
        Whether callers need no key even though the configuration has tenants.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    is_repeatable: bool = False
    max_attempts: int = 1
    timeout_seconds: float = 30.0
    objective_seconds: float = 1.0
    priority: int = 0
    merged_records: int = 0
    min_share: float = 1.0
    is_public: bool = False

    @property
    def all_services(self) -> tuple[str, ...]:
        """The names of all services that requests of the route may reach."""
        return self.shards or tuple(part.service for part in self.services)


@value
class UpstreamService:
    """Properties of a service in the routing table, without its replicas.

    Parameters
    ----------
    connection_limit
        Maximum number of connections that a replica accepts, from all callers together.
    cold_requests_per_second
        Maximum request rate of a cold replica, from all callers together; 0: unlimited.
    """

    name: str
    connection_limit: int
    cold_requests_per_second: float = 0.0


@value
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    request_read_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of routes, services and limits, indexed for lookup.

    Parameters
    ----------
    version
        Increases from one configuration to the next.
    tenants
        The tenants that may call; ``None``: the configuration has no tenants.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, UpstreamService]
    limits: CallerLimits
    tenants: TenantDirectory | None = None
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host and path prefix."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        object.__setattr__(self, "_by_host", by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or ``None``."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
