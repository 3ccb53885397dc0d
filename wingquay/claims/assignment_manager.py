"""The assignment manager: the only part of claims that uses the platform's store."""

import random
from dataclasses import dataclass
from math import inf

from ..model.failure import Failure
from ..model.identifiers import ZoneName
from ..model.mechanisms import Mechanism
from ..ports.machine import Action, Log
from ..ports.store import (
    CompareAndSwap,
    Read,
    ReadResult,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    SwapResult,
)
from .assignment import (
    Assignment,
    AssignmentStatus,
    LocalAssignments,
    PreviousAssignments,
)
from .assignment_document import AssignmentDocument, document_key, parse_document
from .keys import PARTITIONS
from .settings import ClaimsSettings
from .takeover_timing import TakeoverTiming

OPERATION_PREFIX = "claims"


@dataclass(frozen=True, slots=True)
class _PendingOperation:
    """The store operation in flight; ``proposed`` is the document that a swap writes."""

    operation_id: str
    sent_at: float
    proposed: AssignmentDocument | None


class AssignmentManager:
    """Confirms this node's assignments with the store, and takes over those that it should hold.

    At most one store operation is in flight at a time.
    """

    def __init__(
        self,
        settings: ClaimsSettings,
        assignments: LocalAssignments,
        timing: TakeoverTiming,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._assignments = assignments
        self._timing = timing
        self._random = random_source
        self._zones: tuple[ZoneName, ...] = ()
        self._zones_revision = 0
        self._pending: _PendingOperation | None = None
        self._operation_count = 0
        self._next_operation_at = -inf
        self._confirm_at = -inf

    def set_zones(self, zones: tuple[ZoneName, ...], revision: int) -> None:
        """Use the zones of the deployment, from configuration ``revision``."""
        if zones != self._zones:
            self._confirm_at = -inf
        self._zones = zones
        self._zones_revision = revision

    def tick(self, now: float) -> list[Action]:
        """Read the document if a confirmation or a takeover is due."""
        if self._pending is not None or now < self._next_operation_at or not self._is_ready():
            return []
        if now < self._confirm_at and not self._timing.due_takeovers(now):
            return []
        key = document_key(self._assignments.identity.deployment)
        return self._send(Read(key), None, now)

    def handle_response(self, response: StoreResponse, now: float) -> list[Action]:
        """Handle the result of the operation in flight; other results are ignored."""
        pending = self._pending
        if pending is None or response.operation_id != pending.operation_id:
            return []
        self._pending = None
        was_swap = pending.proposed is not None
        match response.result:
            case ReadResult() as read:
                return self._handle_read(read, pending.sent_at, now)
            case SwapResult(succeeded=True) if pending.proposed is not None:
                actions = self._apply(pending.proposed, pending.sent_at, now)
                if self._vacant_assignments(pending.proposed):
                    self._confirm_at = now
                return actions
            case Failure():
                self._back_off(now)
        if was_swap:
            # Another node may have written first, or the reply was lost: read what took effect.
            self._confirm_at = now
        return []

    def _is_ready(self) -> bool:
        return self._assignments.identity.zone in self._zones and self._timing.has_membership

    def _vacant_assignments(self, document: AssignmentDocument) -> list[Assignment]:
        """Return the assignments to be taken over at once, since no node can offer them."""
        zone = self._assignments.identity.zone
        if document.zones != self._zones:
            return []
        return [
            assignment
            for assignment in self._assignments.with_status(AssignmentStatus.EMPTY)
            if self._timing.should_hold(assignment.partition)
            and document.is_vacant(zone, assignment.partition)
        ]

    def _send(
        self,
        operation: StoreOperation,
        proposed: AssignmentDocument | None,
        now: float,
    ) -> list[Action]:
        self._operation_count += 1
        node_id = self._assignments.identity.node_id
        operation_id = f"{OPERATION_PREFIX}/{node_id}/{self._operation_count}"
        self._pending = _PendingOperation(operation_id, now, proposed)
        return [StoreRequest(operation_id, operation)]

    def _back_off(self, now: float) -> None:
        jitter = self._random.uniform(1.0, 2.0)
        self._next_operation_at = now + self._settings.store_retry_seconds * jitter

    def _handle_read(self, read: ReadResult, sent_at: float, now: float) -> list[Action]:
        stored = read.values[0] if read.values else None
        document = AssignmentDocument(zones=self._zones, zones_revision=self._zones_revision)
        modified_at = 0
        if stored is not None:
            parsed = parse_document(stored.value)
            if parsed is None:
                self._back_off(now)
                return [Log("claims_assignment_document_malformed", "error")]
            document = parsed
            modified_at = stored.modified_at
        actions = self._apply(document, sent_at, now)
        proposed = self._propose(document, now)
        if proposed is None:
            # A takeover may be due although nothing can be written: wait a tick before the next
            # read.
            self._next_operation_at = now + self._settings.tick_seconds
            return actions
        key = document_key(self._assignments.identity.deployment)
        swap = CompareAndSwap(key, modified_at, proposed.to_bytes())
        return actions + self._send(swap, proposed, now)

    def _propose(self, document: AssignmentDocument, now: float) -> AssignmentDocument | None:
        """Return the document to write, or ``None`` if there is nothing to write."""
        identity = self._assignments.identity
        if document.zones != self._zones:
            if document.zones_revision >= self._zones_revision:
                return None
            return document.with_zones(self._zones, self._zones_revision)
        if self._may_create_first_entry(document):
            return document.with_first_holder(identity.zone, identity.node_id)
        new_epochs = {
            assignment.partition: self._next_epoch(document, assignment)
            for assignment in (
                *self._timing.due_takeovers(now),
                *self._vacant_assignments(document),
            )
        }
        if not new_epochs:
            return None
        return document.with_takeover(identity.zone, new_epochs, identity.node_id)

    def _may_create_first_entry(self, document: AssignmentDocument) -> bool:
        zone = self._assignments.identity.zone
        if zone in document.assignments or not document.zones_unchanged:
            return False
        assignments = self._assignments.by_partition
        holds_any = any(self._timing.should_hold(partition) for partition in range(PARTITIONS))
        # If an epoch of this zone is known, the document has lost the zone's entry.
        return holds_any and all(
            assignment.known_epochs.get(zone, 0) == 0 for assignment in assignments
        )

    def _next_epoch(self, document: AssignmentDocument, assignment: Assignment) -> int:
        zone = self._assignments.identity.zone
        return (
            max(document.epoch(zone, assignment.partition), assignment.known_epochs.get(zone, 0))
            + 1
        )

    def _apply(self, document: AssignmentDocument, sent_at: float, now: float) -> list[Action]:
        """Apply the document, which was in the store at some time after ``sent_at``."""
        self._timing.record_document(document)
        self._confirm_at = now + self._settings.assignment_confirm_interval_seconds * (
            self._random.uniform(0.5, 1.0)
        )
        zone = self._assignments.identity.zone
        begun = 0
        lost = 0
        for assignment in self._assignments.by_partition:
            newest = document.epoch(zone, assignment.partition)
            if newest > assignment.epoch:
                begun += self._begin_epoch(document, assignment, sent_at, now)
            elif newest == assignment.epoch:
                assignment.confirmed_at = max(assignment.confirmed_at, sent_at)
            lost += self._assignments.record_epochs(
                assignment, document.assignment_epochs(assignment.partition), now
            )
        if not begun and not lost:
            return []
        fields = (("begun", begun), ("lost", lost))
        return [Log("claims_assignments_changed", fields=fields)]

    def _begin_epoch(
        self, document: AssignmentDocument, assignment: Assignment, sent_at: float, now: float
    ) -> bool:
        """Begin the assignment's newest epoch if this node took it over; return whether it did."""
        identity = self._assignments.identity
        taken_here = document.taker(identity.zone, assignment.partition) == identity.node_id
        if not taken_here or document.zones != self._zones:
            return False
        epoch = document.epoch(identity.zone, assignment.partition)
        assignment.confirmed_at = sent_at
        continues = assignment.zones == document.zones and epoch == assignment.epoch + 1
        if assignment.status is AssignmentStatus.VOTING and continues:
            # The claims arrived by a handover during the takeover: they are complete, and no other
            # node can have voted in between.
            assignment.epoch = epoch
            return True
        self._assignments.record_epochs(
            assignment, document.assignment_epochs(assignment.partition), now
        )
        self._assignments.enter_epoch(assignment, epoch, self._zones)
        assignment.vote_at = now + self._settings.rebuild_wait_seconds
        assignment.schedule_table_requests(now, self._settings.table_retry_seconds)
        if document.previous_zones:
            epochs = {
                zone: epochs[assignment.partition]
                for zone, epochs in document.previous_epochs.items()
            }
            assignment.previous = PreviousAssignments(document.previous_zones, epochs)
        skips_rebuild = not self._settings.enabled(Mechanism.CLAIM_REBUILD)
        if document.is_first_epoch(identity.zone, assignment.partition) or skips_rebuild:
            self._assignments.start_voting(assignment)
        return True
