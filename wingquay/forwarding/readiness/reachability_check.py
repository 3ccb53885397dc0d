"""State of the zones and of the current reachability check."""

from dataclasses import dataclass, field

from ...ports.peer_link import NodeIdentity


@dataclass(slots=True)
class ZoneState:
    """Reachability of one zone."""

    failures: int = 0
    """Failed probes since the zone's last answer or the start of the check."""
    answered_at: float = float("-inf")
    zone_peer_evidence_at: float = float("-inf")
    """When another node of the own zone last reported that it had reached the zone before, but not
    now."""
    next_replica: int | None = None


@dataclass(slots=True)
class ReachabilityCheck:
    """A reachability check in progress."""

    begun_at: float
    may_query_nodes: bool = True
    """Whether other nodes may still be queried in this round."""
    connected_zone_peer: str = ""
    """A node of the own zone that reported to reach another zone; empty: none."""
    connected_reported_at: float = float("-inf")
    querying_nodes: dict[str, NodeIdentity] = field(default_factory=dict)
    """Nodes of the own zone to notify when another zone answers, by node id."""
