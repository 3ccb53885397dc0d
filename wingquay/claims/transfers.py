"""Fetches tables from other voters, to rebuild an assignment or to receive a handover."""

from dataclasses import dataclass, field
from math import inf

from ..model.identifiers import ZoneName
from ..model.mechanisms import Mechanism
from ..ports.machine import Action
from ..ports.peer import NodeIdentity, SendToPeer
from ..ports.peer_claims import ClaimAssignmentOffer, ClaimTable, ClaimTableRequest
from .assignment import Assignment, AssignmentStatus, LocalAssignments, TableSource
from .directory import AssignmentDirectory
from .quorum import tables_needed
from .settings import ClaimsSettings


@dataclass(slots=True)
class _Fetch:
    """A table request that has not been answered completely.

    Parameters
    ----------
    assignment_epoch
        The assignment's epoch at the time of the request. The answering node may have voted since
        without having received any later epoch.
    source
        The node from which the table is requested.
    offer_id
        Set if the assignment itself is to be handed over.
    ended_epoch
        The ended epoch whose table is requested; 0 for the current one.
    retry_at
        When an unanswered request for a handover is sent again; infinite for other requests.
    pieces
        The received pieces by table id and piece number.
    """

    assignment: Assignment
    assignment_epoch: int
    source: NodeIdentity
    offer_id: str | None
    ended_epoch: int
    zones: tuple[ZoneName, ...]
    requested_at: float
    retry_at: float
    pieces: dict[str, dict[int, ClaimTable]] = field(default_factory=dict)


class TableTransfers:
    """Requests the tables of assignments that this node takes over or is offered."""

    def __init__(
        self,
        settings: ClaimsSettings,
        assignments: LocalAssignments,
        directory: AssignmentDirectory,
    ) -> None:
        self._settings = settings
        self._assignments = assignments
        self._directory = directory
        self._zones: tuple[ZoneName, ...] = ()
        self._leaving = False
        self._fetches: dict[str, _Fetch] = {}
        self._transfer_count = 0

    def set_zones(self, zones: tuple[ZoneName, ...]) -> None:
        """Use the zones of the deployment from the configuration in force."""
        self._zones = zones

    def begin_leaving(self) -> None:
        """Accept no more assignments."""
        self._leaving = True

    def membership_changed(self, now: float) -> None:
        """Request missing tables at the next tick, since other nodes may hold assignments now."""
        for assignment in self._assignments.with_status(AssignmentStatus.REBUILDING):
            assignment.schedule_table_requests(now, self._settings.table_retry_seconds)

    def tick(self, now: float) -> list[Action]:
        """Request the missing tables, and drop what has expired.

        An assignment whose earlier claims have all expired starts voting without tables.
        """
        actions: list[Action] = []
        for assignment in self._assignments.with_status(AssignmentStatus.REBUILDING):
            if now >= assignment.vote_at:
                self._assignments.start_voting(assignment)
            elif now >= assignment.request_tables_at:
                assignment.request_tables_at = now + assignment.request_tables_delay_seconds
                assignment.request_tables_delay_seconds = min(
                    assignment.request_tables_delay_seconds * 2.0,
                    self._settings.table_retry_most_seconds,
                )
                actions += self._request_tables(assignment, now)
        self._drop_expired(now)
        return actions + self._retry_handovers(now)

    def _drop_expired(self, now: float) -> None:
        for assignment in self._assignments.by_partition:
            if assignment.status is AssignmentStatus.HANDED_OVER and now >= assignment.forget_at:
                assignment.reset()
            if assignment.retired is not None and now >= assignment.retired.forget_at:
                self._assignments.forget_retired(assignment)
        self._drop_old_fetches(now)

    def _request_tables(self, assignment: Assignment, now: float) -> list[Action]:
        identity = self._assignments.identity
        actions: list[Action] = []
        for zone in assignment.zones:
            if zone == identity.zone or zone in self._zones_with_current_table(assignment):
                continue
            holder = self._directory.designated_holder(
                identity.deployment, zone, assignment.partition
            )
            if holder is not None:
                actions.append(self._request(assignment, holder, None, now))
        return actions + self._request_previous_tables(assignment, now)

    def _request_previous_tables(self, assignment: Assignment, now: float) -> list[Action]:
        """Request the tables of the previous list of zones, including this zone's own."""
        identity = self._assignments.identity
        if assignment.previous is None:
            return []
        actions: list[Action] = []
        for zone, epoch in sorted(assignment.previous.epochs.items()):
            if zone in assignment.previous_tables or epoch == 0:
                continue
            holder = self._directory.designated_holder(
                identity.deployment, zone, assignment.partition
            )
            if holder is not None:
                actions.append(self._request(assignment, holder, None, now, epoch))
        return actions

    def _request(
        self,
        assignment: Assignment,
        source: NodeIdentity,
        offer_id: str | None,
        now: float,
        ended_epoch: int = 0,
    ) -> SendToPeer:
        self._transfer_count += 1
        transfer_id = f"{self._assignments.identity.node_id}/{self._transfer_count}"
        zones = self._zones if offer_id is not None else assignment.zones
        retry_at = now + self._settings.table_retry_seconds if offer_id is not None else inf
        fetch = _Fetch(
            assignment, assignment.epoch, source, offer_id, ended_epoch, zones, now, retry_at
        )
        self._fetches[transfer_id] = fetch
        request = ClaimTableRequest(
            partition=assignment.partition,
            transfer_id=transfer_id,
            offer_id=offer_id,
            zones=zones,
            assignment_epochs=assignment.assignment_epochs(),
            ended_epoch=ended_epoch,
        )
        return SendToPeer(source, request)

    def _retry_handovers(self, now: float) -> list[Action]:
        """Request accepted assignments again if no answer has come.

        The previous holder stops voting when it answers, so a lost answer would leave the claim
        partition without a voter in this zone.
        """
        due = [fetch for fetch in self._fetches.values() if now >= fetch.retry_at]
        actions: list[Action] = []
        for fetch in due:
            fetch.retry_at = inf
            assignment = fetch.assignment
            is_open = (
                assignment.accepted_offer_id == fetch.offer_id and now < assignment.accepted_until
            )
            if is_open and assignment.status is not AssignmentStatus.VOTING:
                actions.append(self._request(assignment, fetch.source, fetch.offer_id, now))
        return actions

    def _drop_old_fetches(self, now: float) -> None:
        oldest = now - self._settings.handed_over_keep_seconds
        self._fetches = {
            transfer_id: fetch
            for transfer_id, fetch in self._fetches.items()
            if fetch.requested_at >= oldest
        }

    def handle_table(self, sender: NodeIdentity, table: ClaimTable, now: float) -> list[Action]:
        """Handle a piece of a table; pieces that were not requested are ignored."""
        fetch = self._fetches.get(table.transfer_id)
        if fetch is None or fetch.source.node_id != sender.node_id:
            return []
        if table.partition != fetch.assignment.partition:
            return []
        pieces = fetch.pieces.setdefault(table.table_id, {})
        pieces[table.piece] = table
        if len(pieces) < table.pieces:
            return []
        del self._fetches[table.transfer_id]
        self._assignments.record_epochs(fetch.assignment, table.assignment_epochs, now)
        all_pieces = tuple(pieces.values())
        if fetch.offer_id is None:
            self._record_table(fetch, all_pieces, now)
        elif table.handed_over:
            self._complete_handover(fetch, all_pieces, now)
        return []

    def _record_table(self, fetch: _Fetch, pieces: tuple[ClaimTable, ...], now: float) -> None:
        assignment = fetch.assignment
        table = pieces[0]
        if (
            assignment.status is not AssignmentStatus.REBUILDING
            or assignment.epoch != fetch.assignment_epoch
        ):
            return
        if not table.complete:
            return
        _merge(assignment, pieces, now)
        zone = fetch.source.zone
        if not fetch.ended_epoch:
            assignment.table_sources[zone] = TableSource(table.epoch)
        elif (
            assignment.previous is not None and assignment.previous.epochs.get(zone) == table.epoch
        ):
            assignment.previous_tables.add(zone)
        if self._is_rebuilt(assignment):
            self._assignments.start_voting(assignment)

    def _is_rebuilt(self, assignment: Assignment) -> bool:
        if len(self._zones_with_current_table(assignment)) >= tables_needed(len(assignment.zones)):
            return True
        if assignment.previous is None:
            return False
        return len(assignment.previous_tables) >= tables_needed(len(assignment.previous.zones))

    def _zones_with_current_table(self, assignment: Assignment) -> list[ZoneName]:
        """Return the zones whose table was read from their newest known epoch."""
        if not self._settings.enabled(Mechanism.CLAIM_ASSIGNMENT_EPOCHS):
            return list(assignment.table_sources)
        return [
            zone
            for zone, source in assignment.table_sources.items()
            if source.epoch >= assignment.known_epochs.get(zone, 0)
        ]

    def _complete_handover(self, fetch: _Fetch, pieces: tuple[ClaimTable, ...], now: float) -> None:
        """Continue the epoch of the node that handed its assignment over."""
        assignment = fetch.assignment
        table = pieces[0]
        newest = assignment.known_epochs.get(self._assignments.identity.zone, 0)
        if assignment.status is AssignmentStatus.VOTING or table.epoch < max(
            newest, assignment.epoch
        ):
            return
        self._drop_fetches_of(assignment)
        self._assignments.enter_epoch(assignment, table.epoch, fetch.zones)
        _merge(assignment, pieces, now)
        # Counted from the request time, so that time in transit does not make the confirmation look
        # newer.
        assignment.confirmed_at = fetch.requested_at - table.confirmed_age_seconds
        self._assignments.start_voting(assignment)

    def _drop_fetches_of(self, assignment: Assignment) -> None:
        # A late copy of the same assignment must not be applied after this node has handed it on.
        self._fetches = {
            transfer_id: fetch
            for transfer_id, fetch in self._fetches.items()
            if fetch.assignment is not assignment
        }

    def accept_offer(
        self,
        sender: NodeIdentity,
        offer: ClaimAssignmentOffer,
        now: float,
    ) -> list[Action]:
        """Request the assignments that another node of this zone offers."""
        identity = self._assignments.identity
        same_zone = (sender.deployment, sender.zone) == (
            identity.deployment,
            identity.zone,
        )
        if self._leaving or not same_zone:
            return []
        actions: list[Action] = []
        for partition in offer.partitions:
            if not 0 <= partition < len(self._assignments.by_partition):
                continue
            assignment = self._assignments.by_partition[partition]
            is_accepted = (
                assignment.accepted_offer_id == offer.offer_id and now < assignment.accepted_until
            )
            if assignment.status is not AssignmentStatus.VOTING and not is_accepted:
                assignment.accepted_offer_id = offer.offer_id
                assignment.accepted_until = now + self._settings.handed_over_keep_seconds
                assignment.takeover_at = max(assignment.takeover_at, assignment.accepted_until)
                actions.append(self._request(assignment, sender, offer.offer_id, now))
        return actions


def _merge(assignment: Assignment, pieces: tuple[ClaimTable, ...], now: float) -> None:
    for piece in pieces:
        for record in piece.records:
            assignment.memory.merge(record, now)
