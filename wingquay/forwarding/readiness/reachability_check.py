"""State of the zones and of the current reachability check."""

from dataclasses import dataclass, field

from ...ports.peer_link import NodeIdentity


@dataclass(slots=True)
class ZoneState:
    """Reachability of one zone."""

    failures: int = 0
    """Failed probes since the zone's last answer."""
    answered_at: float = float("-inf")
    zone_peer_evidence_at: float = float("-inf")
    """When a neighbour last reported that it had reached the zone before and does not now."""
    next_replica: int | None = None


@dataclass(slots=True)
class ReachabilityCheck:
    """A reachability check in progress."""

    begun_at: float
    may_query_nodes: bool = True
    """Whether other nodes may still be queried in this round."""
    connected_zone_peer: str = ""
    connected_reported_at: float = float("-inf")
    querying_nodes: dict[str, NodeIdentity] = field(default_factory=dict)
