"""Settings of the routing policies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How owners and replicas are chosen.

    Parameters
    ----------
    owners_per_shard
        Nodes that send work to a shard's replicas, 0 to 16; 0: every node sends by itself and
        no sub-request crosses the peer link. Default 1: one queue a shard orders all classes.
    in_flight_per_slot
        Sub-requests kept at a replica for each of its slots, 1 to 4, so that a slot does not
        idle for a network round trip, nor a slow one hold up the others. Default 2.
    ejection_failures
        Failures in a row after which a replica is left out, 1 to 100. Default 3.
    ejection_lost_races
        Hedges in a row that overtook a replica, with no answer of its own between them, after
        which it is left out too, 1 to 100: so one that swallows requests is noticed before
        their deadlines. Default 5.
    ejection_base_seconds, ejection_max_seconds
        First and longest time that a replica is left out. Defaults 0.5 and 10.
    slow_start_seconds
        Time over which a cold replica's share of work grows to its full one. Default 5.
    slow_start_initial_share
        Share that a cold replica starts with, 0 to 1. Default 0.2.
    shedding_hold_seconds
        Time after a refusal for overload in which a shard gets no hedges. Default 0.5.
    latency_weight
        Weight of a new sample in a replica's moving average latency, 0 to 1. Default 0.1.
    health_interval_seconds
        Time between two reads of a replica's health page by each of its owners. Default 1.
    health_timeout_seconds
        Time after which such a read is given up. Default 1.
    """

    owners_per_shard: int = 1
    in_flight_per_slot: float = 2.0
    ejection_failures: int = 3
    ejection_lost_races: int = 5
    ejection_base_seconds: float = 0.5
    ejection_max_seconds: float = 10.0
    slow_start_seconds: float = 5.0
    slow_start_initial_share: float = 0.2
    shedding_hold_seconds: float = 0.5
    latency_weight: float = 0.1
    health_interval_seconds: float = 1.0
    health_timeout_seconds: float = 1.0
