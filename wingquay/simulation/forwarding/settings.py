"""What a simulation of forwarding nodes is made of."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Sizes, rates and bounds; times in seconds.

    Parameters
    ----------
    requests_per_second
        Over all nodes.
    faults
        How many faults strike, at random moments.
    drain_bound_seconds
        After the store took that a replica drains, it must get nothing new later than this.
    evacuation_bound_seconds
        After the store took that a zone is evacuated, it must get nothing later than this.
    configuration_bound_seconds
        After the store took a configuration, it must be in force on every node.
    contact_seconds
        After the end of trouble with a node or with its way to the store, it is held to its bounds
        from then on; the spans do not add up.
    left_bound_seconds
        After a caller left, its work must have stopped on most replicas.
    late_reply_seconds
        How long after its route's time limit a request may still be without a reply.
    zones
        Zones among which nodes are divided.
    replica_zones
        How many of them, from the first on, hold replicas.
    sweep_least_share
        Share of the shards without which an answer to a sweep is no success.
    leaves_when_cut_off
        Whether nodes that have lost all other zones leave callers to those.
    delegate_min_shards
        Shards of a route from which on nodes ask each other for some of them.
    tenants
        Tenants of the configuration, whose keys change with it; 0: callers are not told apart.
    budget_ratio, budget_slack, budget_window_seconds
        Extra arrivals at a service over all nodes in any window.
    """

    nodes: int = 4
    shards: int = 6
    copies: int = 2
    single_replicas: int = 4
    slots: int = 2
    queue_length: int = 12
    seconds: float = 12.0
    requests_per_second: float = 60.0
    faults: int = 4
    network_seconds: float = 0.001
    pause_seconds: float = 0.15
    pause_every_seconds: float = 4.0
    zones: int = 2
    replica_zones: int = 2
    sweep_least_share: float = 0.66
    leaves_when_cut_off: bool = True
    delegate_min_shards: int = 40
    drain_bound_seconds: float = 3.0
    evacuation_bound_seconds: float = 3.0
    configuration_bound_seconds: float = 3.0
    contact_seconds: float = 4.0
    left_bound_seconds: float = 0.5
    late_reply_seconds: float = 0.5
    tenants: int = 0
    budget_ratio: float = 0.2
    budget_slack: float = 56.0
    budget_window_seconds: float = 10.0
