"""A node's seat for one partition: whether it vouches, since when, and in which epoch."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from wingquay.claims.keys import PARTITIONS
from wingquay.claims.memory import MemoryUse, PartitionMemory
from wingquay.claims.settings import ClaimsSettings
from wingquay.model.identifiers import NodeId, ZoneName
from wingquay.model.mechanisms import Mechanism
from wingquay.ports.peer import NodeIdentity
from wingquay.ports.peer_claims import SeatEpoch


class SeatStatus(Enum):
    """What a node can say about a partition."""

    EMPTY = "empty"
    """Nothing: it never held the seat, or lost it."""
    REBUILDING = "rebuilding"
    """It took the seat over and gathers what earlier holders had granted."""
    VOUCHING = "vouching"
    """Its memory holds every claim that this zone's votes helped to grant."""
    HANDED_OVER = "handed_over"
    """Its memory went to another node, which may fetch the same once more."""


@dataclass(frozen=True, slots=True)
class SeatOffer:
    """The offer of a seat that is open to one node."""

    offer_id: str
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class TableSource:
    """From which epoch of a zone's seat a complete table was read."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PreviousSeats:
    """The seats of a partition under the list of zones before; nobody votes from them any more."""

    zones: tuple[ZoneName, ...]
    epochs: dict[ZoneName, int]


@dataclass(frozen=True, slots=True)
class RetiredMemory:
    """A complete memory of an epoch that has ended, kept for those that rebuild from it."""

    epoch: int
    memory: PartitionMemory
    forget_at: float


@dataclass(slots=True)
class Seat:
    """One partition's seat at this node.

    Parameters
    ----------
    epoch
        The epoch of the memory that this node has, or had last.
    zones
        The zones whose majority decided when the epoch began.
    known_epochs
        The newest epoch of each zone's seat that this node has heard of.
    confirmed_at
        When the store was last asked and said that ``epoch`` is the newest of this zone.
    vouch_at
        When everything granted by earlier holders is forgotten anyway.
    takeover_at
        When the seat may be taken over; infinite while this node does not want it.
    was_anothers
        Whether this node has seen another that should hold the seat.
    ask_tables_at, ask_tables_delay_seconds
        When tables are next asked for, and how long after that again.
    offer
        The offer of this seat to another node.
    accepted_offer_id, accepted_until
        Another node's offer of its seat, and how long this node tries to fetch it.
    tables
        The complete tables that were read since ``epoch`` began.
    previous, previous_tables
        The seats under the last list of zones, while this epoch is the first under the new one,
        and the zones whose table of then was read.
    retired
        This node's own memory of an epoch that has ended.
    """

    partition: int
    memory: PartitionMemory
    status: SeatStatus = SeatStatus.EMPTY
    epoch: int = 0
    zones: tuple[ZoneName, ...] = ()
    known_epochs: dict[ZoneName, int] = field(default_factory=dict)
    confirmed_at: float = -inf
    vouch_at: float = inf
    takeover_at: float = inf
    was_anothers: bool = False
    ask_tables_at: float = -inf
    ask_tables_delay_seconds: float = 0.0
    forget_at: float = inf
    offer: SeatOffer | None = None
    accepted_offer_id: str | None = None
    accepted_until: float = -inf
    tables: dict[ZoneName, TableSource] = field(default_factory=dict)
    previous: PreviousSeats | None = None
    previous_tables: set[ZoneName] = field(default_factory=set)
    retired: RetiredMemory | None = None

    def seat_epochs(self) -> tuple[SeatEpoch, ...]:
        """Return the newest known epochs, ordered by zone."""
        return tuple(SeatEpoch(zone, epoch) for zone, epoch in sorted(self.known_epochs.items()))

    def learn(self, seat_epochs: Iterable[SeatEpoch]) -> None:
        """Take in epochs that another process has heard of."""
        for entry in seat_epochs:
            known = self.known_epochs.get(entry.zone, 0)
            self.known_epochs[entry.zone] = max(known, entry.epoch)

    def ask_tables_soon(self, now: float, delay_seconds: float) -> None:
        """Ask for tables at once, then after ``delay_seconds``, then ever less often."""
        self.ask_tables_at = now
        self.ask_tables_delay_seconds = delay_seconds

    def become_empty(self) -> None:
        """Stop answering for the partition and forget its claims."""
        self.status = SeatStatus.EMPTY
        self.memory.clear()
        self.tables.clear()
        self.previous = None
        self.previous_tables.clear()
        self.offer = None
        self.vouch_at = inf
        self.forget_at = inf


class SeatTable:
    """All seats of one node.

    Parameters
    ----------
    identity
        The node.
    """

    def __init__(self, settings: ClaimsSettings, identity: NodeIdentity) -> None:
        self._settings = settings
        self.identity = identity
        self.use = MemoryUse()
        self.seats = [
            Seat(partition, PartitionMemory(settings, self.use)) for partition in range(PARTITIONS)
        ]

    def with_status(self, status: SeatStatus) -> list[Seat]:
        """Return the seats that are in ``status``."""
        return [seat for seat in self.seats if seat.status is status]

    def learn(self, seat: Seat, seat_epochs: Iterable[SeatEpoch], now: float) -> bool:
        """Take in epochs; return whether the seat turned out to be another node's."""
        seat.learn(seat_epochs)
        newest = seat.known_epochs.get(self.identity.zone, 0)
        held = seat.status in (SeatStatus.REBUILDING, SeatStatus.VOUCHING)
        if not held or newest <= seat.epoch:
            return False
        if not self._settings.enabled(Mechanism.CLAIM_SEAT_EPOCHS):
            return False
        if seat.status is SeatStatus.VOUCHING:
            self._retire(seat, now)
        seat.become_empty()
        if seat.takeover_at < inf:
            seat.takeover_at = now + self._settings.join_takeover_delay_seconds
        return True

    def _retire(self, seat: Seat, now: float) -> None:
        self.forget_retired(seat)
        forget_at = now + self._settings.retired_keep_seconds
        seat.retired = RetiredMemory(seat.epoch, seat.memory, forget_at)
        seat.memory = PartitionMemory(self._settings, self.use)

    def forget_retired(self, seat: Seat) -> None:
        """Drop the memory of an epoch that has ended."""
        if seat.retired is not None:
            seat.retired.memory.clear()
            seat.retired = None

    def can_vouch(self, seat: Seat, zones: tuple[ZoneName, ...], now: float) -> bool:
        """Whether the seat's memory is complete for a majority of ``zones``."""
        if seat.status is not SeatStatus.VOUCHING or seat.zones != zones:
            return False
        if not self._settings.enabled(Mechanism.CLAIM_PAUSE_DETECTION):
            return True
        return now - seat.confirmed_at <= self._settings.seat_validity_seconds

    def begin_epoch(self, seat: Seat, epoch: int, zones: tuple[ZoneName, ...]) -> None:
        """Start anew with an empty memory in an epoch that the store has confirmed."""
        seat.become_empty()
        seat.status = SeatStatus.REBUILDING
        seat.epoch = epoch
        seat.zones = zones
        seat.learn((SeatEpoch(self.identity.zone, epoch),))

    def vouch(self, seat: Seat) -> None:
        """Begin to answer for the partition."""
        seat.status = SeatStatus.VOUCHING
        seat.accepted_until = -inf
        seat.tables.clear()
        seat.offer = None
        seat.vouch_at = inf
