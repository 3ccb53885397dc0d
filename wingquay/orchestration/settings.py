"""Settings of all machines of a node."""

from dataclasses import dataclass, field

from ..admission.settings import AdmissionSettings
from ..claims.settings import ClaimsSettings
from ..membership.replica_evidence import ReplicaEvidenceSettings
from ..membership.settings import MembershipSettings
from ..model.mechanisms import Mechanism
from ..query.settings import QuerySettings
from ..routing.settings import RoutingSettings


@dataclass(frozen=True, slots=True)
class StopSettings:
    """How a planned stop goes.

    Parameters
    ----------
    least_seconds
        Shortest time from the request to the exit, in which peers and callers notice. Default 1.
    most_seconds
        Time after which what is still in flight is cut off. Default 30.
    check_seconds
        Time between two looks at what is in flight. Default 0.05.
    """

    least_seconds: float = 1.0
    most_seconds: float = 30.0
    check_seconds: float = 0.05


@dataclass(frozen=True, slots=True)
class NodeMachineSettings:
    """Settings of all machines; ``disabled`` mechanisms are taken out, for tests only."""

    query: QuerySettings = field(default_factory=QuerySettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    replica_evidence: ReplicaEvidenceSettings = field(default_factory=ReplicaEvidenceSettings)
    claims: ClaimsSettings = field(default_factory=ClaimsSettings)
    stop: StopSettings = field(default_factory=StopSettings)
    disabled: frozenset[Mechanism] = frozenset()
