"""When a node should take over a seat: at once, or after waiting for an offer of it."""

from math import inf

from wingquay.claims.directory import SeatDirectory
from wingquay.claims.seat import Seat, SeatStatus, SeatTable
from wingquay.claims.seat_document import SeatDocument
from wingquay.claims.settings import ClaimsSettings
from wingquay.model.identifiers import NodeId, ZoneName


class TakeoverTiming:
    """Watches the nodes of this node's zone.

    Nothing here matters for safety: a takeover in spite of a living holder is noticed by its
    epoch. It only costs that holder's memory, which must then be rebuilt.
    """

    def __init__(
        self,
        settings: ClaimsSettings,
        seats: SeatTable,
        directory: SeatDirectory,
    ) -> None:
        self._settings = settings
        self._seats = seats
        self._directory = directory
        self._zones: tuple[ZoneName, ...] = ()
        self._leaving = False
        self._document: SeatDocument | None = None
        self._nodes: frozenset[NodeId] = frozenset()
        self._alone_since = inf
        self._heard_from: set[NodeId] = set()
        self._last_holders: dict[int, NodeId] = {}

    @property
    def knows_nodes(self) -> bool:
        """Whether any view of the membership has come."""
        return bool(self._nodes)

    def set_zones(self, zones: tuple[ZoneName, ...]) -> None:
        """Take in the deployment's zones from the configuration in force."""
        self._zones = zones

    def stop(self) -> None:
        """Want no more seats: the node leaves."""
        self._leaving = True

    def note_document(self, document: SeatDocument) -> None:
        """Take in the seat document as last read."""
        self._document = document

    def hear_from(self, node_id: NodeId) -> None:
        """Note that a node has offered all that it has for this one, if anything."""
        self._heard_from.add(node_id)

    def is_ours(self, partition: int) -> bool:
        """Whether this node should hold the seat."""
        identity = self._seats.identity
        if self._leaving or identity.zone not in self._zones:
            return False
        holder = self._directory.holder(identity.deployment, identity.zone, partition)
        return holder is not None and holder.node_id == identity.node_id

    def review(self, now: float) -> None:
        """Look anew at which seats this node should hold, after the membership changed."""
        identity = self._seats.identity
        nodes = self._directory.node_ids(identity.deployment, identity.zone)
        crashed = {
            node_id for node_id in self._nodes - nodes if not self._directory.is_leaving(node_id)
        }
        self._nodes = nodes
        if self._directory.mates(identity):
            self._alone_since = inf
        elif self._alone_since == inf:
            self._alone_since = now
        for seat in self._seats.seats:
            self._review_seat(seat, crashed, now)

    def _review_seat(self, seat: Seat, crashed: set[NodeId], now: float) -> None:
        identity = self._seats.identity
        holder = self._directory.holder(identity.deployment, identity.zone, seat.partition)
        last_holder = self._last_holders.get(seat.partition)
        if holder is not None:
            self._last_holders[seat.partition] = holder.node_id
            seat.was_anothers = seat.was_anothers or holder.node_id != identity.node_id
        if not self.is_ours(seat.partition):
            seat.takeover_at = inf
        elif seat.takeover_at == inf:
            seat.takeover_at = now + self._delay(last_holder in crashed)

    def _delay(self, holder_crashed: bool) -> float:
        # In a single zone no other voter has a copy: a holder may be wrongly believed lost.
        if holder_crashed and len(self._zones) > 1:
            return self._settings.crash_takeover_delay_seconds
        return self._settings.join_takeover_delay_seconds

    def wanted(self, now: float) -> list[Seat]:
        """Return the seats that are to be taken over now."""
        nobody_offers = self._nobody_offers(now)
        return [
            seat
            for seat in self._seats.seats
            if self.is_ours(seat.partition)
            and self._is_free(seat)
            and now >= seat.accepted_until
            and (now >= seat.takeover_at or (nobody_offers and self._is_orphan(seat)))
        ]

    def _is_free(self, seat: Seat) -> bool:
        """Whether this node is neither holding the seat nor giving it to a node that is there."""
        if seat.status is not SeatStatus.HANDED_OVER:
            return seat.status is SeatStatus.EMPTY
        receiver = None if seat.offer is None else seat.offer.receiver
        mates = self._directory.mates(self._seats.identity)
        return all(node.node_id != receiver for node in mates)

    def _nobody_offers(self, now: float) -> bool:
        """Whether every other node of the zone that is seen has had its say."""
        if len(self._zones) == 1:
            return False
        mates = self._directory.mates(self._seats.identity)
        if not mates:
            return now - self._alone_since >= self._settings.alone_takeover_delay_seconds
        return all(node.node_id in self._heard_from for node in mates)

    def _is_orphan(self, seat: Seat) -> bool:
        """Whether nobody seen since this node started can have held the seat.

        What the others said at the beginning tells nothing of seats that they got later.
        """
        if seat.was_anothers or self._document is None:
            return False
        identity = self._seats.identity
        taker = self._document.taker(identity.zone, seat.partition)
        return all(node.node_id != taker for node in self._directory.mates(identity))
