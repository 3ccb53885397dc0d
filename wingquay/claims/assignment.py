"""The assignments of this node, each with its status, epoch and claims."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from ..model.identifiers import NodeId, ZoneName
from ..model.mechanisms import Mechanism
from ..ports.peer import NodeIdentity
from ..ports.peer_claims import AssignmentEpoch
from .keys import PARTITIONS
from .memory import MemoryUsage, PartitionMemory
from .settings import ClaimsSettings


class AssignmentStatus(Enum):
    """What this node can do for a claim partition."""

    EMPTY = "empty"
    """The node never held the assignment or has lost it; it has no claims of the partition."""
    REBUILDING = "rebuilding"
    """The node took the assignment over and collects the claims that earlier holders granted."""
    VOTING = "voting"
    """The node stores every claim that was granted with a vote of this zone, and votes."""
    HANDED_OVER = "handed_over"
    """The node passed its claims to another node, which may still fetch them again."""


@dataclass(frozen=True, slots=True)
class AssignmentOffer:
    """An open offer of an assignment to one node."""

    offer_id: str
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class TableSource:
    """The epoch of a zone's assignment from which a complete table was read."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PreviousAssignments:
    """The assignments of a claim partition under the previous list of zones.

    No node votes with them any more.
    """

    zones: tuple[ZoneName, ...]
    epochs: dict[ZoneName, int]


@dataclass(frozen=True, slots=True)
class RetiredMemory:
    """The complete claims of an ended epoch, kept until ``forget_at`` for nodes that rebuild."""

    epoch: int
    memory: PartitionMemory
    forget_at: float


@dataclass(slots=True)
class Assignment:
    """The state of one assignment at this node.

    An assignment makes one node of a zone the voter for one claim partition. Times are in
    seconds on this node's clock; an infinite time means that nothing is scheduled.

    Parameters
    ----------
    epoch
        The epoch of the claims that this node has or had last.
    zones
        The zones whose majority decided when the epoch began.
    known_epochs
        The newest known epoch of each zone's assignment.
    confirmed_at
        When the last store operation that confirmed ``epoch`` as the newest of this zone was sent.
    vote_at
        When every claim granted by earlier holders has expired, so that this node may vote without
        having their tables.
    takeover_at
        When this node may take the assignment over; infinite while it should not hold it.
    seen_other_designated
        Whether another node was the designated holder at any time since this node started.
    request_tables_at, request_tables_delay_seconds
        When tables are next requested, and the delay until the request after that.
    forget_at
        When the claims of a handed-over assignment are dropped.
    offer
        The offer of this assignment to another node.
    accepted_offer_id, accepted_until
        The accepted offer of another node, and how long this node tries to fetch the assignment.
    table_sources
        The zones whose complete table was read since ``epoch`` began.
    previous, previous_tables
        The assignments under the previous list of zones, and the zones whose table of that time was
        read. Set only during the first epoch under a new list of zones.
    retired
        The claims that this node stored in an ended epoch.
    """

    partition: int
    memory: PartitionMemory
    status: AssignmentStatus = AssignmentStatus.EMPTY
    epoch: int = 0
    zones: tuple[ZoneName, ...] = ()
    known_epochs: dict[ZoneName, int] = field(default_factory=dict)
    confirmed_at: float = -inf
    vote_at: float = inf
    takeover_at: float = inf
    seen_other_designated: bool = False
    request_tables_at: float = -inf
    request_tables_delay_seconds: float = 0.0
    forget_at: float = inf
    offer: AssignmentOffer | None = None
    accepted_offer_id: str | None = None
    accepted_until: float = -inf
    table_sources: dict[ZoneName, TableSource] = field(default_factory=dict)
    previous: PreviousAssignments | None = None
    previous_tables: set[ZoneName] = field(default_factory=set)
    retired: RetiredMemory | None = None

    def assignment_epochs(self) -> tuple[AssignmentEpoch, ...]:
        """Return the newest known epochs, ordered by zone."""
        return tuple(
            AssignmentEpoch(zone, epoch) for zone, epoch in sorted(self.known_epochs.items())
        )

    def record_epochs(self, assignment_epochs: Iterable[AssignmentEpoch]) -> None:
        """Record epochs received from another process; older ones have no effect."""
        for entry in assignment_epochs:
            known = self.known_epochs.get(entry.zone, 0)
            self.known_epochs[entry.zone] = max(known, entry.epoch)

    def schedule_table_requests(self, now: float, delay_seconds: float) -> None:
        """Request tables at the next tick, then after ``delay_seconds``, doubled each time."""
        self.request_tables_at = now
        self.request_tables_delay_seconds = delay_seconds

    def reset(self) -> None:
        """Drop all claims of the partition and stop voting."""
        self.status = AssignmentStatus.EMPTY
        self.memory.clear()
        self.table_sources.clear()
        self.previous = None
        self.previous_tables.clear()
        self.offer = None
        self.vote_at = inf
        self.forget_at = inf


class LocalAssignments:
    """All assignments of one node, by claim partition.

    Parameters
    ----------
    identity
        This node.
    """

    def __init__(self, settings: ClaimsSettings, identity: NodeIdentity) -> None:
        self._settings = settings
        self.identity = identity
        self.usage = MemoryUsage()
        self.by_partition = [
            Assignment(partition, PartitionMemory(settings, self.usage))
            for partition in range(PARTITIONS)
        ]

    def with_status(self, status: AssignmentStatus) -> list[Assignment]:
        """Return the assignments that are in ``status``."""
        return [assignment for assignment in self.by_partition if assignment.status is status]

    def record_epochs(
        self, assignment: Assignment, assignment_epochs: Iterable[AssignmentEpoch], now: float
    ) -> bool:
        """Record epochs; if they show a newer epoch of this zone, end the assignment here.

        Returns whether it was ended. Its claims are then retired if they were complete, else
        dropped.
        """
        assignment.record_epochs(assignment_epochs)
        newest = assignment.known_epochs.get(self.identity.zone, 0)
        held = assignment.status in (AssignmentStatus.REBUILDING, AssignmentStatus.VOTING)
        if not held or newest <= assignment.epoch:
            return False
        if not self._settings.enabled(Mechanism.CLAIM_ASSIGNMENT_EPOCHS):
            return False
        if assignment.status is AssignmentStatus.VOTING:
            self._retire(assignment, now)
        assignment.reset()
        if assignment.takeover_at < inf:
            assignment.takeover_at = now + self._settings.join_takeover_delay_seconds
        return True

    def _retire(self, assignment: Assignment, now: float) -> None:
        self.forget_retired(assignment)
        forget_at = now + self._settings.retired_keep_seconds
        assignment.retired = RetiredMemory(assignment.epoch, assignment.memory, forget_at)
        assignment.memory = PartitionMemory(self._settings, self.usage)

    def forget_retired(self, assignment: Assignment) -> None:
        """Drop the claims of an ended epoch."""
        if assignment.retired is not None:
            assignment.retired.memory.clear()
            assignment.retired = None

    def can_vote(self, assignment: Assignment, zones: tuple[ZoneName, ...], now: float) -> bool:
        """Whether this node may vote under ``zones``.

        Its claims must be complete, the list of zones the same as when the epoch began, and the
        last confirmation by the store not older than ``assignment_validity_seconds``.
        """
        if assignment.status is not AssignmentStatus.VOTING or assignment.zones != zones:
            return False
        if not self._settings.enabled(Mechanism.CLAIM_PAUSE_DETECTION):
            return True
        return now - assignment.confirmed_at <= self._settings.assignment_validity_seconds

    def enter_epoch(self, assignment: Assignment, epoch: int, zones: tuple[ZoneName, ...]) -> None:
        """Set the assignment to ``epoch``, rebuilding and without any claims."""
        assignment.reset()
        assignment.status = AssignmentStatus.REBUILDING
        assignment.epoch = epoch
        assignment.zones = zones
        assignment.record_epochs((AssignmentEpoch(self.identity.zone, epoch),))

    def start_voting(self, assignment: Assignment) -> None:
        """Start to vote for the claim partition."""
        assignment.status = AssignmentStatus.VOTING
        assignment.accepted_until = -inf
        assignment.table_sources.clear()
        assignment.offer = None
        assignment.vote_at = inf
