"""Sizes, rates and bounds of a soak."""

import attrs

from wingquay.model.routing_table import CallerLimits

CALLER_LIMITS = CallerLimits(16_384, 65_536, 3.0, 6.0)
HOST = "search.example"
HOSTS_PER_BLOCK = 200
FIRST_HOST = 11


@attrs.frozen
class Bounds:
    """What the platform promises and asks, as in the settings that it gives a node.

    Parameters
    ----------
    contact_seconds
        A node is held to bounds on time once it was undisturbed for so long.
    drain_seconds, configuration_seconds
        Times after which a leaving replica gets nothing more, and a configuration is in force.
    grace_seconds
        Time between SIGTERM and SIGKILL.
    loss_slack_seconds
        A request that was cut sooner after its last byte was sent counts as not read.
    retry_ratio, retry_slack, retry_window_seconds
        Extra arrivals at a service that all nodes together may cause in a window.
    quota_window_seconds, quota_overage, quota_slack
        What a tenant's limit allows in a window.
    revocation_seconds
        Time after which a key that was taken away runs nothing any more, at any node; ``None``: no
        such bound is stated, and keys go by the configuration.
    """

    contact_seconds: float = 4.0
    drain_seconds: float = 3.0
    configuration_seconds: float = 3.0
    grace_seconds: float = 6.0
    loss_slack_seconds: float = 0.2
    retry_ratio: float = 0.2
    retry_slack: float = 56.0
    retry_window_seconds: float = 10.0
    quota_window_seconds: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    revocation_seconds: float | None = 4.0


@attrs.frozen
class SoakSettings:
    """One run.

    Parameters
    ----------
    seed
        Draws everything that chance decides.
    profile
        Name of the profile that the sizes and bounds were drawn from; empty: none.
    seconds
        How long faults are begun.
    nodes, zones
        Node processes, which stand in the zones in turn.
    shards, copies
        Shards of the wide routes, and replicas of each.
    single_replicas, intake_replicas
        Replicas of each service with one replica a request; those for requests that may run only
        once are few, so that they are full in a burst.
    clients
        Clients in all; each sends one request at a time.
    pause_seconds
        Mean time between two requests of a client that does not rest.
    fault_gap_seconds
        Mean time between the begins of two faults; they overlap.
    faults
        Names of the faults to draw from; empty: all.
    has_tenants
        Whether callers need keys, and tenants have limits.
    deadline_factor
        By how much the deadlines and time limits of requests are longer than usual.
    leave_share
        Share of the requests whose clients leave before they are answered.
    lead_seconds, settle_seconds
        Calm traffic before the first fault and after the last one.
    """

    seed: int = 1
    profile: str = ""
    seconds: float = 25.0
    nodes: int = 8
    zones: int = 3
    shards: int = 6
    copies: int = 2
    single_replicas: int = 8
    intake_replicas: int = 2
    clients: int = 64
    pause_seconds: float = 0.4
    fault_gap_seconds: float = 1.0
    faults: tuple[str, ...] = ()
    has_tenants: bool = False
    deadline_factor: float = 1.0
    leave_share: float = 0.05
    lead_seconds: float = 1.5
    settle_seconds: float = 2.0
    bounds: Bounds = attrs.field(factory=Bounds)

    @property
    def zone_names(self) -> tuple[str, ...]:
        """The names of the zones."""
        return tuple(f"zone-{number}" for number in range(self.zones))


def loopback_host(number: int) -> str:
    """Return the loopback address of that number."""
    block, host = divmod(number, HOSTS_PER_BLOCK)
    return f"127.0.{block}.{FIRST_HOST + host}"
