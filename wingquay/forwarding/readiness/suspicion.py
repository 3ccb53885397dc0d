"""What a node knows of zones, and of its present doubt which of them are in reach."""

from dataclasses import dataclass, field

from ...ports.peer_link import NodeIdentity


@dataclass(slots=True)
class KnownZone:
    """What is known of a zone."""

    failures: int = 0
    """Tries that failed since it answered last."""
    heard_at: float = float("-inf")
    vouched_at: float = float("-inf")
    """When another node last said that it has reached the zone before, and does not now."""
    next_replica: int | None = None


@dataclass(slots=True)
class Doubt:
    """One time in which it is looked into what is in reach."""

    begun_at: float
    may_ask: bool = True
    """Whether other nodes are yet to be asked in this round."""
    contradicted_by: str = ""
    contradicted_at: float = float("-inf")
    askers: dict[str, NodeIdentity] = field(default_factory=dict)
