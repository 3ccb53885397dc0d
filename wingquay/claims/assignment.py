"""A node's assignment for one partition: whether it votes, since when, and in which epoch."""

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
    """What a node can say about a partition."""

    EMPTY = "empty"
    """Nothing: it never held the assignment, or lost it."""
    REBUILDING = "rebuilding"
    """It took the assignment over and gathers what earlier holders had granted."""
    VOTING = "voting"
    """Its memory holds every claim that this zone's votes helped to grant."""
    HANDED_OVER = "handed_over"
    """Its memory went to another node, which may fetch the same once more."""


@dataclass(frozen=True, slots=True)
class AssignmentOffer:
    """The offer of an assignment that is open to one node."""

    offer_id: str
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class TableSource:
    """From which epoch of a zone's assignment a complete table was read."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PreviousAssignments:
    """The assignments of a partition under the list of zones before.

    Nobody votes from them any more.
    """

    zones: tuple[ZoneName, ...]
    epochs: dict[ZoneName, int]


@dataclass(frozen=True, slots=True)
class RetiredMemory:
    """A complete memory of an epoch that has ended, kept for those that rebuild from it."""

    epoch: int
    memory: PartitionMemory
    forget_at: float


@dataclass(slots=True)
class Assignment:
    """One partition's assignment at this node.

    Parameters
    ----------
    epoch
        The epoch of the memory that this node has, or had last.
    zones
        The zones whose majority decided when the epoch began.
    known_epochs
        The newest epoch of each zone's assignment that this node has heard of.
    confirmed_at
        When the store was last asked and said that ``epoch`` is the newest of this zone.
    vote_at
        When everything granted by earlier holders is forgotten anyway.
    takeover_at
        When the assignment may be taken over; infinite while this node does not want it.
    was_anothers
        Whether this node has seen another that should hold the assignment.
    ask_tables_at, ask_tables_delay_seconds
        When tables are next asked for, and how long after that again.
    offer
        The offer of this assignment to another node.
    accepted_offer_id, accepted_until
        Another node's offer of its assignment, and how long this node tries to fetch it.
    tables
        The complete tables that were read since ``epoch`` began.
    previous, previous_tables
        The assignments under the last list of zones, while this epoch is the first under the new
        one, and the zones whose table of then was read.
    retired
        This node's own memory of an epoch that has ended.
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
    was_anothers: bool = False
    ask_tables_at: float = -inf
    ask_tables_delay_seconds: float = 0.0
    forget_at: float = inf
    offer: AssignmentOffer | None = None
    accepted_offer_id: str | None = None
    accepted_until: float = -inf
    tables: dict[ZoneName, TableSource] = field(default_factory=dict)
    previous: PreviousAssignments | None = None
    previous_tables: set[ZoneName] = field(default_factory=set)
    retired: RetiredMemory | None = None

    def assignment_epochs(self) -> tuple[AssignmentEpoch, ...]:
        """Return the newest known epochs, ordered by zone."""
        return tuple(
            AssignmentEpoch(zone, epoch) for zone, epoch in sorted(self.known_epochs.items())
        )

    def learn(self, assignment_epochs: Iterable[AssignmentEpoch]) -> None:
        """Take in epochs that another process has heard of."""
        for entry in assignment_epochs:
            known = self.known_epochs.get(entry.zone, 0)
            self.known_epochs[entry.zone] = max(known, entry.epoch)

    def ask_tables_soon(self, now: float, delay_seconds: float) -> None:
        """Ask for tables at once, then after ``delay_seconds``, then ever less often."""
        self.ask_tables_at = now
        self.ask_tables_delay_seconds = delay_seconds

    def become_empty(self) -> None:
        """Stop answering for the partition and forget its claims."""
        self.status = AssignmentStatus.EMPTY
        self.memory.clear()
        self.tables.clear()
        self.previous = None
        self.previous_tables.clear()
        self.offer = None
        self.vote_at = inf
        self.forget_at = inf


class AssignmentTable:
    """All assignments of one node.

    Parameters
    ----------
    identity
        The node.
    """

    def __init__(self, settings: ClaimsSettings, identity: NodeIdentity) -> None:
        self._settings = settings
        self.identity = identity
        self.use = MemoryUsage()
        self.assignments = [
            Assignment(partition, PartitionMemory(settings, self.use))
            for partition in range(PARTITIONS)
        ]

    def with_status(self, status: AssignmentStatus) -> list[Assignment]:
        """Return the assignments that are in ``status``."""
        return [assignment for assignment in self.assignments if assignment.status is status]

    def learn(
        self, assignment: Assignment, assignment_epochs: Iterable[AssignmentEpoch], now: float
    ) -> bool:
        """Take in epochs; return whether the assignment turned out to be another node's."""
        assignment.learn(assignment_epochs)
        newest = assignment.known_epochs.get(self.identity.zone, 0)
        held = assignment.status in (AssignmentStatus.REBUILDING, AssignmentStatus.VOTING)
        if not held or newest <= assignment.epoch:
            return False
        if not self._settings.enabled(Mechanism.CLAIM_ASSIGNMENT_EPOCHS):
            return False
        if assignment.status is AssignmentStatus.VOTING:
            self._retire(assignment, now)
        assignment.become_empty()
        if assignment.takeover_at < inf:
            assignment.takeover_at = now + self._settings.join_takeover_delay_seconds
        return True

    def _retire(self, assignment: Assignment, now: float) -> None:
        self.forget_retired(assignment)
        forget_at = now + self._settings.retired_keep_seconds
        assignment.retired = RetiredMemory(assignment.epoch, assignment.memory, forget_at)
        assignment.memory = PartitionMemory(self._settings, self.use)

    def forget_retired(self, assignment: Assignment) -> None:
        """Drop the memory of an epoch that has ended."""
        if assignment.retired is not None:
            assignment.retired.memory.clear()
            assignment.retired = None

    def can_vote(self, assignment: Assignment, zones: tuple[ZoneName, ...], now: float) -> bool:
        """Whether the assignment's memory is complete for a majority of ``zones``."""
        if assignment.status is not AssignmentStatus.VOTING or assignment.zones != zones:
            return False
        if not self._settings.enabled(Mechanism.CLAIM_PAUSE_DETECTION):
            return True
        return now - assignment.confirmed_at <= self._settings.assignment_validity_seconds

    def begin_epoch(self, assignment: Assignment, epoch: int, zones: tuple[ZoneName, ...]) -> None:
        """Start anew with an empty memory in an epoch that the store has confirmed."""
        assignment.become_empty()
        assignment.status = AssignmentStatus.REBUILDING
        assignment.epoch = epoch
        assignment.zones = zones
        assignment.learn((AssignmentEpoch(self.identity.zone, epoch),))

    def vote(self, assignment: Assignment) -> None:
        """Begin to answer for the partition."""
        assignment.status = AssignmentStatus.VOTING
        assignment.accepted_until = -inf
        assignment.tables.clear()
        assignment.offer = None
        assignment.vote_at = inf
