"""Events by which the machines of one node tell each other what they decided."""

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
    """Hand ``event`` to the other machines of this node at once."""

    event: Event


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A configuration, newer than any before it, is in force on this node."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class NewerRevisionReported(Event):
    """A node said by gossip that it has a configuration newer than this node's."""

    sender: NodeIdentity
    revision: Revision


@dataclass(frozen=True, slots=True)
class KindLoad:
    """What this node lately saw of a request kind; latencies in seconds."""

    service: ServiceName
    kind: RequestKindName
    requests_per_second: float
    p50_seconds: float
    p99_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Share of a service's slots in use, 0 to 1 and above when work waits."""

    service: ServiceName
    utilization: float


@dataclass(frozen=True, slots=True)
class LoadObserved(Event):
    """The load that this node sees now, for the outlook in plans; sent every few seconds."""

    kinds: tuple[KindLoad, ...] = ()
    services: tuple[ServiceLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipChanged(Event):
    """The nodes that may be asked, this one included, ordered by node id.

    ``leaving`` nodes finish what they have and get nothing new; suspects are still in
    ``available``.
    """

    available: tuple[NodeIdentity, ...]
    leaving: tuple[NodeIdentity, ...]


@dataclass(frozen=True, slots=True)
class ReplicaStateChanged(Event):
    """What this node now believes of a replica, from its own evidence or from gossip."""

    replica_id: ReplicaId
    state: ReplicaState
    held: HeldVersions | None = None


@dataclass(frozen=True, slots=True)
class ReplicaObserved(Event):
    """Evidence of this node's own about a replica, for the membership machine to spread."""

    replica_id: ReplicaId
    state: ReplicaState | None
    held: HeldVersions | None = None


@dataclass(frozen=True, slots=True)
class LeavingStarted(Event):
    """The planned stop of this node has begun."""


@dataclass(frozen=True, slots=True)
class WorkDrained(Event):
    """The query and admission machines have nothing in flight any more."""


class ClaimDecisionKind(Enum):
    """Whether an unrepeatable request may be run."""

    GRANTED = "granted"
    ALREADY_DONE = "already_done"
    """It ran before; ``outcome`` is the stored answer."""
    IN_PROGRESS = "in_progress"
    """Another submission of it holds the claim and its end is not known (yet)."""
    UNDECIDED = "cannot_tell"
    """Too few voters can vote for their memory; this submission did not run."""
    KEY_REUSED = "key_reused"
    """The key was used before for a request with other content."""


@dataclass(frozen=True, slots=True)
class ClaimWanted(Event):
    """The query machine asks whether it may run an unrepeatable request."""

    request: QueryRequest
    decide_within_seconds: float


@dataclass(frozen=True, slots=True)
class ClaimDecided(Event):
    """The claims machine's decision."""

    request_id: RequestId
    decision: ClaimDecisionKind
    outcome: bytes | None = None


@dataclass(frozen=True, slots=True)
class ClaimFinished(Event):
    """The query machine tells what came of a granted request (``None``: it did not run)."""

    request_id: RequestId
    outcome: bytes | None
