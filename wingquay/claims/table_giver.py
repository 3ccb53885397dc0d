"""Giving tables of claims to other voters."""

from collections.abc import Iterator

from wingquay.claims.memory import PartitionMemory
from wingquay.claims.seat import Seat, SeatOffer, SeatStatus, SeatTable
from wingquay.claims.settings import ClaimsSettings
from wingquay.ports.machine import Action
from wingquay.ports.peer import NodeIdentity, SendToPeer
from wingquay.ports.peer_claims import ClaimRecord, ClaimTable, ClaimTableRequest

NEVER_CONFIRMED_SECONDS = 1e9


class TableGiver:
    """Answers requests for tables; whoever gets one learns what this node's votes rest on."""

    def __init__(self, settings: ClaimsSettings, seats: SeatTable) -> None:
        self._settings = settings
        self._seats = seats
        self._tables_given = 0

    def give(
        self,
        asker: NodeIdentity,
        request: ClaimTableRequest,
        now: float,
    ) -> list[Action]:
        """Answer a request for a table, or for the seat itself if it was offered."""
        if not 0 <= request.partition < len(self._seats.seats):
            return []
        seat = self._seats.seats[request.partition]
        self._seats.learn(seat, request.seat_epochs, now)
        if request.ended_epoch:
            return self._give_retired(asker, request, seat, now)
        if request.offer_id is None:
            complete = self._seats.can_vouch(seat, request.zones, now)
            return self._pieces(asker, request, seat.memory if complete else None, seat.epoch, now)
        offered = seat.offer == SeatOffer(request.offer_id, asker.node_id)
        same_zones = seat.zones == request.zones
        if not offered or not same_zones:
            return []
        if seat.status is SeatStatus.VOUCHING:
            seat.status = SeatStatus.HANDED_OVER
            seat.forget_at = now + self._settings.handed_over_keep_seconds
        if seat.status is not SeatStatus.HANDED_OVER:
            return []
        return self._pieces(asker, request, seat.memory, seat.epoch, now)

    def _give_retired(
        self,
        asker: NodeIdentity,
        request: ClaimTableRequest,
        seat: Seat,
        now: float,
    ) -> list[Action]:
        retired = seat.retired
        if retired is None or retired.epoch != request.ended_epoch:
            return self._pieces(asker, request, None, 0, now)
        return self._pieces(asker, request, retired.memory, retired.epoch, now)

    def _pieces(
        self,
        asker: NodeIdentity,
        request: ClaimTableRequest,
        memory: PartitionMemory | None,
        epoch: int,
        now: float,
    ) -> list[Action]:
        """Return the table as messages; without ``memory`` it is said not to be complete."""
        seat = self._seats.seats[request.partition]
        self._tables_given += 1
        table_id = f"{self._seats.identity.node_id}/{self._tables_given}"
        records = [] if memory is None else memory.records(now)
        groups = list(self._groups(records)) or [[]]
        return [
            SendToPeer(
                asker,
                ClaimTable(
                    partition=seat.partition,
                    transfer_id=request.transfer_id,
                    complete=memory is not None,
                    handed_over=request.offer_id is not None,
                    epoch=epoch,
                    seat_epochs=seat.seat_epochs(),
                    confirmed_age_seconds=min(now - seat.confirmed_at, NEVER_CONFIRMED_SECONDS),
                    table_id=table_id,
                    records=tuple(group),
                    piece=piece,
                    pieces=len(groups),
                ),
            )
            for piece, group in enumerate(groups)
        ]

    def _groups(self, records: list[ClaimRecord]) -> Iterator[list[ClaimRecord]]:
        group: list[ClaimRecord] = []
        group_bytes = 0
        for record in records:
            group.append(record)
            group_bytes += len(record.outcome or b"")
            full = len(group) >= self._settings.table_piece_records
            if full or group_bytes >= self._settings.table_piece_bytes:
                yield group
                group, group_bytes = [], 0
        if group:
            yield group
