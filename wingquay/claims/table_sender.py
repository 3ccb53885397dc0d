"""Sends tables, which contain the claims of one claim partition, to other voters."""

from collections.abc import Iterator

from ..ports.machine import Action
from ..ports.peer import NodeIdentity, SendToPeer
from ..ports.peer_claims import ClaimRecord, ClaimTable, ClaimTableRequest
from .assignment import (
    Assignment,
    AssignmentOffer,
    AssignmentStatus,
    LocalAssignments,
)
from .memory import PartitionMemory
from .settings import ClaimsSettings

MAX_CONFIRMED_AGE_SECONDS = 1e9  # sent if never confirmed: the age is infinite


class TableSender:
    """Answers requests for tables with the claims on which this node's votes are based."""

    def __init__(self, settings: ClaimsSettings, assignments: LocalAssignments) -> None:
        self._settings = settings
        self._assignments = assignments
        self._tables_sent = 0

    def send_table(
        self,
        requester: NodeIdentity,
        request: ClaimTableRequest,
        now: float,
    ) -> list[Action]:
        """Answer a request for a table, or for the assignment itself if it was offered.

        If the assignment is requested, this node stops voting and hands it over; a request with an
        unknown offer is not answered.
        """
        if not 0 <= request.partition < len(self._assignments.by_partition):
            return []
        assignment = self._assignments.by_partition[request.partition]
        self._assignments.record_epochs(assignment, request.assignment_epochs, now)
        if request.ended_epoch:
            return self._send_retired(requester, request, assignment, now)
        if request.offer_id is None:
            complete = self._assignments.can_vote(assignment, request.zones, now)
            return self._table_messages(
                requester, request, assignment.memory if complete else None, assignment.epoch, now
            )
        offered = assignment.offer == AssignmentOffer(request.offer_id, requester.node_id)
        same_zones = assignment.zones == request.zones
        if not offered or not same_zones:
            return []
        if assignment.status is AssignmentStatus.VOTING:
            assignment.status = AssignmentStatus.HANDED_OVER
            assignment.forget_at = now + self._settings.handed_over_keep_seconds
        if assignment.status is not AssignmentStatus.HANDED_OVER:
            return []
        return self._table_messages(requester, request, assignment.memory, assignment.epoch, now)

    def _send_retired(
        self,
        requester: NodeIdentity,
        request: ClaimTableRequest,
        assignment: Assignment,
        now: float,
    ) -> list[Action]:
        retired = assignment.retired
        if retired is None or retired.epoch != request.ended_epoch:
            return self._table_messages(requester, request, None, 0, now)
        return self._table_messages(requester, request, retired.memory, retired.epoch, now)

    def _table_messages(
        self,
        requester: NodeIdentity,
        request: ClaimTableRequest,
        memory: PartitionMemory | None,
        epoch: int,
        now: float,
    ) -> list[Action]:
        """Return the table as messages; without ``memory``, one message marked as incomplete."""
        assignment = self._assignments.by_partition[request.partition]
        self._tables_sent += 1
        table_id = f"{self._assignments.identity.node_id}/{self._tables_sent}"
        records = [] if memory is None else memory.records(now)
        groups = list(self._groups(records)) or [[]]
        return [
            SendToPeer(
                requester,
                ClaimTable(
                    partition=assignment.partition,
                    transfer_id=request.transfer_id,
                    complete=memory is not None,
                    handed_over=request.offer_id is not None,
                    epoch=epoch,
                    assignment_epochs=assignment.assignment_epochs(),
                    confirmed_age_seconds=min(
                        now - assignment.confirmed_at, MAX_CONFIRMED_AGE_SECONDS
                    ),
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
