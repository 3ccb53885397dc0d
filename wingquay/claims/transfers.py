"""Asking other voters for tables: to rebuild a seat, and to hand a seat over."""

from dataclasses import dataclass, field
from math import inf

from wingquay.claims.directory import SeatDirectory
from wingquay.claims.quorum import tables_needed
from wingquay.claims.seat import Seat, SeatStatus, SeatTable, TableSource
from wingquay.claims.settings import ClaimsSettings
from wingquay.model.identifiers import ZoneName
from wingquay.model.mechanisms import Mechanism
from wingquay.ports.machine import Action
from wingquay.ports.peer import NodeIdentity, SendToPeer
from wingquay.ports.peer_claims import ClaimSeatOffer, ClaimTable, ClaimTableRequest


@dataclass(slots=True)
class _Fetch:
    """A table that was asked for.

    Parameters
    ----------
    seat_epoch
        The seat's epoch when it asked: whoever answered knew of this one, not of later ones.
    offer_id
        Set when the seat itself is to pass.
    """

    seat: Seat
    seat_epoch: int
    sender: NodeIdentity
    offer_id: str | None
    ended_epoch: int
    zones: tuple[ZoneName, ...]
    requested_at: float
    ask_again_at: float
    pieces: dict[str, dict[int, ClaimTable]] = field(default_factory=dict)


class TableTransfers:
    """Asks for the tables of seats that this node takes over or is offered."""

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
        self._fetches: dict[str, _Fetch] = {}
        self._transfers = 0

    def set_zones(self, zones: tuple[ZoneName, ...]) -> None:
        """Take in the deployment's zones from the configuration in force."""
        self._zones = zones

    def stop_accepting(self) -> None:
        """Accept no more seats: the node leaves."""
        self._leaving = True

    def on_membership(self, now: float) -> None:
        """Ask at the next tick: other nodes hold seats now."""
        for seat in self._seats.with_status(SeatStatus.REBUILDING):
            seat.ask_tables_soon(now, self._settings.table_retry_seconds)

    def tick(self, now: float) -> list[Action]:
        """Ask for the tables that are missing, and forget what has served its time."""
        actions: list[Action] = []
        for seat in self._seats.with_status(SeatStatus.REBUILDING):
            if now >= seat.vouch_at:
                self._seats.vouch(seat)
            elif now >= seat.ask_tables_at:
                seat.ask_tables_at = now + seat.ask_tables_delay_seconds
                seat.ask_tables_delay_seconds = min(
                    seat.ask_tables_delay_seconds * 2.0,
                    self._settings.table_retry_most_seconds,
                )
                actions += self._ask_for_tables(seat, now)
        self._forget_old(now)
        return actions + self._ask_again_for_seats(now)

    def _forget_old(self, now: float) -> None:
        for seat in self._seats.seats:
            if seat.status is SeatStatus.HANDED_OVER and now >= seat.forget_at:
                seat.become_empty()
            if seat.retired is not None and now >= seat.retired.forget_at:
                self._seats.forget_retired(seat)
        self._drop_old_fetches(now)

    def _ask_for_tables(self, seat: Seat, now: float) -> list[Action]:
        identity = self._seats.identity
        actions: list[Action] = []
        for zone in seat.zones:
            if zone == identity.zone or zone in self._counted_tables(seat):
                continue
            holder = self._directory.holder(identity.deployment, zone, seat.partition)
            if holder is not None:
                actions.append(self._request(seat, holder, None, now))
        return actions + self._ask_for_previous_tables(seat, now)

    def _ask_for_previous_tables(self, seat: Seat, now: float) -> list[Action]:
        """Ask for the tables of the last list of zones; this node's own needs no message."""
        identity = self._seats.identity
        if seat.previous is None:
            return []
        actions: list[Action] = []
        for zone, epoch in sorted(seat.previous.epochs.items()):
            if zone in seat.previous_tables or epoch == 0:
                continue
            holder = self._directory.holder(identity.deployment, zone, seat.partition)
            if holder is not None:
                actions.append(self._request(seat, holder, None, now, epoch))
        return actions

    def _request(
        self,
        seat: Seat,
        sender: NodeIdentity,
        offer_id: str | None,
        now: float,
        ended_epoch: int = 0,
    ) -> SendToPeer:
        self._transfers += 1
        transfer_id = f"{self._seats.identity.node_id}/{self._transfers}"
        zones = self._zones if offer_id is not None else seat.zones
        ask_again_at = now + self._settings.table_retry_seconds if offer_id is not None else inf
        fetch = _Fetch(seat, seat.epoch, sender, offer_id, ended_epoch, zones, now, ask_again_at)
        self._fetches[transfer_id] = fetch
        request = ClaimTableRequest(
            partition=seat.partition,
            transfer_id=transfer_id,
            offer_id=offer_id,
            zones=zones,
            seat_epochs=seat.seat_epochs(),
            ended_epoch=ended_epoch,
        )
        return SendToPeer(sender, request)

    def _ask_again_for_seats(self, now: float) -> list[Action]:
        """Fetch accepted seats once more: their holder votes no more since it gave them."""
        late = [fetch for fetch in self._fetches.values() if now >= fetch.ask_again_at]
        actions: list[Action] = []
        for fetch in late:
            fetch.ask_again_at = inf
            seat = fetch.seat
            is_open = seat.accepted_offer_id == fetch.offer_id and now < seat.accepted_until
            if is_open and seat.status is not SeatStatus.VOUCHING:
                actions.append(self._request(seat, fetch.sender, fetch.offer_id, now))
        return actions

    def _drop_old_fetches(self, now: float) -> None:
        oldest = now - self._settings.handed_over_keep_seconds
        self._fetches = {
            transfer_id: fetch
            for transfer_id, fetch in self._fetches.items()
            if fetch.requested_at >= oldest
        }

    def receive(self, sender: NodeIdentity, table: ClaimTable, now: float) -> list[Action]:
        """Take in a piece of a table; pieces that were not asked for are ignored."""
        fetch = self._fetches.get(table.transfer_id)
        if fetch is None or fetch.sender.node_id != sender.node_id:
            return []
        if table.partition != fetch.seat.partition:
            return []
        pieces = fetch.pieces.setdefault(table.table_id, {})
        pieces[table.piece] = table
        if len(pieces) < table.pieces:
            return []
        del self._fetches[table.transfer_id]
        self._seats.learn(fetch.seat, table.seat_epochs, now)
        whole = tuple(pieces.values())
        if fetch.offer_id is None:
            self._count_table(fetch, whole, now)
        elif table.handed_over:
            self._adopt(fetch, whole, now)
        return []

    def _count_table(self, fetch: _Fetch, pieces: tuple[ClaimTable, ...], now: float) -> None:
        seat = fetch.seat
        table = pieces[0]
        if seat.status is not SeatStatus.REBUILDING or seat.epoch != fetch.seat_epoch:
            return
        if not table.complete:
            return
        _merge(seat, pieces, now)
        zone = fetch.sender.zone
        if not fetch.ended_epoch:
            seat.tables[zone] = TableSource(table.epoch)
        elif seat.previous is not None and seat.previous.epochs.get(zone) == table.epoch:
            seat.previous_tables.add(zone)
        if self._is_rebuilt(seat):
            self._seats.vouch(seat)

    def _is_rebuilt(self, seat: Seat) -> bool:
        if len(self._counted_tables(seat)) >= tables_needed(len(seat.zones)):
            return True
        if seat.previous is None:
            return False
        return len(seat.previous_tables) >= tables_needed(len(seat.previous.zones))

    def _counted_tables(self, seat: Seat) -> list[ZoneName]:
        """Return the zones whose table was read from their newest known epoch."""
        if not self._settings.enabled(Mechanism.CLAIM_SEAT_EPOCHS):
            return list(seat.tables)
        return [
            zone
            for zone, source in seat.tables.items()
            if source.epoch >= seat.known_epochs.get(zone, 0)
        ]

    def _adopt(self, fetch: _Fetch, pieces: tuple[ClaimTable, ...], now: float) -> None:
        """Continue the epoch of the node that handed its seat over."""
        seat = fetch.seat
        table = pieces[0]
        newest = seat.known_epochs.get(self._seats.identity.zone, 0)
        if seat.status is SeatStatus.VOUCHING or table.epoch < max(newest, seat.epoch):
            return
        self._forget_fetches_of(seat)
        self._seats.begin_epoch(seat, table.epoch, fetch.zones)
        _merge(seat, pieces, now)
        # Counted from the request, so that a table that was long under way is not trusted more.
        seat.confirmed_at = fetch.requested_at - table.confirmed_age_seconds
        self._seats.vouch(seat)

    def _forget_fetches_of(self, seat: Seat) -> None:
        # A late copy of the same seat must not be taken after this node has handed it on.
        self._fetches = {
            transfer_id: fetch
            for transfer_id, fetch in self._fetches.items()
            if fetch.seat is not seat
        }

    def accept_offer(
        self,
        sender: NodeIdentity,
        offer: ClaimSeatOffer,
        now: float,
    ) -> list[Action]:
        """Ask for the seats that another node of this zone offers."""
        identity = self._seats.identity
        same_zone = (sender.deployment, sender.zone) == (
            identity.deployment,
            identity.zone,
        )
        if self._leaving or not same_zone:
            return []
        actions: list[Action] = []
        for partition in offer.partitions:
            if not 0 <= partition < len(self._seats.seats):
                continue
            seat = self._seats.seats[partition]
            is_known = seat.accepted_offer_id == offer.offer_id and now < seat.accepted_until
            if seat.status is not SeatStatus.VOUCHING and not is_known:
                seat.accepted_offer_id = offer.offer_id
                seat.accepted_until = now + self._settings.handed_over_keep_seconds
                seat.takeover_at = max(seat.takeover_at, seat.accepted_until)
                actions.append(self._request(seat, sender, offer.offer_id, now))
        return actions


def _merge(seat: Seat, pieces: tuple[ClaimTable, ...], now: float) -> None:
    for piece in pieces:
        for record in piece.records:
            seat.memory.merge(record, now)
