"""Settings of the membership machine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SeedAddress:
    """An address at which a node may listen for peers: an IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and bounds. The defaults are those that docs/design/membership.md measures.

    Parameters
    ----------
    tick_seconds
        How often timers are looked at and urgent gossip is pushed.
    probe_interval_seconds
        How often one other node is probed.
    probe_resend_seconds, probe_indirect_seconds
        After how long without an answer the probe is sent again, and others are asked to probe.
    indirect_probes
        How many others are asked.
    health_maximum
        Greatest score of the local health multiplier (Lifeguard); probe times are multiplied by
        the score plus one.
    suspicion_factor, suspicion_minimum_seconds
        Shortest time from suspicion to death: the factor times the common logarithm of the
        number of nodes times the probe interval, and no less than the minimum.
    suspicion_spread
        The longest time, for a suspicion nobody confirms, as a multiple of the shortest.
    suspicion_confirmations
        How many others must confirm for the shortest time.
    confirming_probes
        About how many nodes probe at once somebody of whose suspicion they hear.
    gossip_fanout
        How many nodes urgent gossip is pushed to each tick.
    gossip_maximum_bytes
        Most bytes of gossip on one message, estimated.
    retransmission_factor
        A piece of gossip is sent this often times the natural logarithm of the number of nodes.
    anti_entropy_seconds, anti_entropy_seconds_per_node
        How often the whole node list of one random other node is fetched: the greater of the
        first, and the second times the number of nodes.
    machine_list_seconds, machine_list_seconds_per_node
        How often the platform's machine list is read, likewise; the second keeps the readings of
        the whole cluster at a constant rate.
    contact_seconds
        How often one address is tried of a node that is believed dead or not known yet.
    join_seconds
        How often addresses are tried while this node knows no other.
    list_request_pause_seconds
        Shortest time between two requests for a node list.
    round_trip_fresh_seconds
        How long an answer to our own probe speaks against gossip that the node is dead.
    pause_threshold_seconds
        From which time without any event this node takes itself to have been paused.
    refute_pause_seconds
        From which length of a pause this node refutes a suspicion that it has not heard of yet.
    forget_dead_seconds
        How long a dead node is remembered, and tried again.
    """

    tick_seconds: float = 0.25
    probe_interval_seconds: float = 1.0
    probe_resend_seconds: float = 0.25
    probe_indirect_seconds: float = 0.5
    indirect_probes: int = 3
    health_maximum: int = 4
    suspicion_factor: float = 2.0
    suspicion_minimum_seconds: float = 2.0
    suspicion_spread: float = 3.0
    suspicion_confirmations: int = 3
    confirming_probes: int = 6
    gossip_fanout: int = 2
    gossip_maximum_bytes: int = 500
    retransmission_factor: float = 2.0
    anti_entropy_seconds: float = 30.0
    anti_entropy_seconds_per_node: float = 0.25
    machine_list_seconds: float = 5.0
    machine_list_seconds_per_node: float = 1.5
    contact_seconds: float = 10.0
    join_seconds: float = 1.0
    list_request_pause_seconds: float = 3.0
    round_trip_fresh_seconds: float = 2.0
    pause_threshold_seconds: float = 0.75
    refute_pause_seconds: float = 2.0
    forget_dead_seconds: float = 3600.0
