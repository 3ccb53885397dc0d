"""Routes from hosts and path prefixes to services, as one version of the configuration has them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .tenants import TenantDirectory
from .value import value


@value
class WeightedService:
    """A service that takes ``weight`` parts of a route's requests."""

    service: str
    weight: float


@value
class Route:
    """How the requests under one host and path prefix are served.

    Parameters
    ----------
    path_prefix
        Begins and ends with a slash.
    services
        The services among which requests are divided; empty for a route over shards.
    shards
        Services that each hold a part of the index; every request goes to all of them.
    is_repeatable
        Whether a request may run more than once.
    max_attempts
        Most replicas that one request may be sent to (of each shard, for a route over shards).
    timeout_seconds
        Longest time that a request may be held.
    objective_seconds
        Time within which an answer is worth its full price.
    priority
        0 is the most urgent.
    merged_records
        Records in a merged answer.
    min_share
        Share of the shards below which a merged answer is no success.
    is_public
        Whether callers need no key, where the configuration has tenants.
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
        """The names of every service that requests of the route may reach."""
        return self.shards or tuple(part.service for part in self.services)


@value
class UpstreamService:
    """What is known of a service besides its replicas.

    Parameters
    ----------
    connection_limit
        Most connections that one replica takes, from all callers together.
    cold_requests_per_second
        Requests that a cold replica handles, from all callers together; 0: they are not bounded.
    """

    name: str
    connection_limit: int
    cold_requests_per_second: float = 0.0


@value
class CallerLimits:
    """What a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    request_read_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of routes, services and limits, indexed for look-up.

    Parameters
    ----------
    version
        Rises from one configuration to the next.
    tenants
        Who may call; ``None``: the configuration tells callers not apart.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, UpstreamService]
    limits: CallerLimits
    tenants: TenantDirectory | None = None
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        object.__setattr__(self, "_by_host", by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
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
