"""Events by which the state machines of one node notify each other."""

from dataclasses import dataclass
from enum import Enum

from ..model.answer import HeldVersions
from ..model.configuration import Configuration
from ..model.identifiers import (
    ReplicaId,
    RequestId,
    RequestKindName,
    Revision,
    ServiceName,
)
from ..model.request import QueryRequest
from .machine import Action, Event
from .peer import NodeIdentity, ReplicaState


@dataclass(frozen=True, slots=True)
class Notify(Action):
    """Deliver ``event`` to the other state machines of this node at once."""

    event: Event


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A newer configuration is in force on this node; ``InForceConfiguration`` holds it."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class NewerRevisionReported(Event):
    """Another node reported by gossip that it has a newer configuration than this node."""

    sender: NodeIdentity
    revision: Revision


@dataclass(frozen=True, slots=True)
class KindLoad:
    """Recent load of a request kind on this node; latencies in seconds."""

    service: ServiceName
    kind: RequestKindName
    requests_per_second: float
    p50_seconds: float
    p99_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Fraction of a service's slots in use; above 1 when requests are queued."""

    service: ServiceName
    utilization: float


@dataclass(frozen=True, slots=True)
class LoadObserved(Event):
    """Current load on this node, the basis of forecasts in plans; sent every few seconds."""

    kinds: tuple[KindLoad, ...] = ()
    services: tuple[ServiceLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipChanged(Event):
    """The nodes that may receive messages, this one included, ordered by node id.

    Parameters
    ----------
    available
        Nodes that accept new work, suspected ones included.
    leaving
        Nodes that finish their open work and accept no new work.
    """

    available: tuple[NodeIdentity, ...]
    leaving: tuple[NodeIdentity, ...]


@dataclass(frozen=True, slots=True)
class ReplicaStateChanged(Event):
    """The state of a replica in this node's view, from its own observations or from gossip."""

    replica_id: ReplicaId
    state: ReplicaState
    held: HeldVersions | None = None


@dataclass(frozen=True, slots=True)
class ReplicaObserved(Event):
    """An observation of a replica by this node, to be spread by the membership machine."""

    replica_id: ReplicaId
    state: ReplicaState | None
    held: HeldVersions | None = None


@dataclass(frozen=True, slots=True)
class LeavingStarted(Event):
    """The planned stop of this node has begun."""


@dataclass(frozen=True, slots=True)
class WorkDrained(Event):
    """The query and admission machines have no requests in flight any more."""


class ClaimDecisionKind(Enum):
    """Whether an unrepeatable request may be run."""

    GRANTED = "granted"
    ALREADY_DONE = "already_done"
    """The request ran before; ``outcome`` is the stored answer."""
    IN_PROGRESS = "in_progress"
    """Another submission of the request holds the claim, and its outcome is unknown."""
    UNDECIDED = "cannot_tell"
    """Too few voters with complete claim records replied; this submission did not run."""
    KEY_REUSED = "key_reused"
    """The idempotency key was used before for a request with different content."""


@dataclass(frozen=True, slots=True)
class ClaimWanted(Event):
    """The query machine requests permission to run an unrepeatable request."""

    request: QueryRequest
    decide_within_seconds: float


@dataclass(frozen=True, slots=True)
class ClaimDecided(Event):
    """The decision of the claims machine on a ``ClaimWanted``."""

    request_id: RequestId
    decision: ClaimDecisionKind
    outcome: bytes | None = None


@dataclass(frozen=True, slots=True)
class ClaimFinished(Event):
    """Outcome of a granted request, from the query machine (``None``: it did not run)."""

    request_id: RequestId
    outcome: bytes | None
