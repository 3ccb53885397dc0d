"""The claims machine of one node: dispatches events to the voter, claimant and assignments."""

import random
from dataclasses import dataclass
from typing import ClassVar

from ..model.configuration import Configuration
from ..model.identifiers import ZoneName
from ..ports.internal import (
    ClaimFinished,
    ClaimWanted,
    ConfigurationInForce,
    LeavingStarted,
    MembershipChanged,
)
from ..ports.machine import Action, Event, Schedule, Start
from ..ports.peer import NodeIdentity, PeerLinkBroken, PeerMessage, PeerReceived, SendToPeer
from ..ports.peer_claims import (
    ClaimAssignmentOffer,
    ClaimOutcome,
    ClaimRequest,
    ClaimTable,
    ClaimTableRequest,
    ClaimVote,
)
from ..ports.store import StoreResponse
from .assignment import AssignmentStatus, LocalAssignments
from .assignment_manager import AssignmentManager
from .claimant import (
    Claimant,
    OutcomeResendDue,
    VoteRequestDue,
    deployment_zones,
)
from .directory import AssignmentDirectory
from .keys import PARTITIONS
from .offers import AssignmentOffers
from .settings import ClaimsSettings
from .table_sender import TableSender
from .takeover_timing import TakeoverTiming
from .transfers import TableTransfers
from .voter import Voter


@dataclass(frozen=True, slots=True)
class ClaimsTick(Event):
    """The periodic timer of the claims machine has expired."""


@dataclass(frozen=True, slots=True)
class ClaimsReport:
    """Figures for the metrics page and for benchmarks."""

    records: int
    outcome_bytes: int
    assignments_voting: int
    assignments_rebuilding: int


class ClaimsMachine:
    """Decides whether unrepeatable requests may run, and votes on those of other nodes.

    Parameters
    ----------
    identity
        This node; it holds assignments of its own deployment and zone.
    random_source
        Source of jitter, seeded by the caller.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (
        Start,
        ClaimsTick,
        ClaimWanted,
        ClaimFinished,
        VoteRequestDue,
        OutcomeResendDue,
        PeerLinkBroken,
        StoreResponse,
        MembershipChanged,
        ConfigurationInForce,
        LeavingStarted,
    )
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        ClaimRequest,
        ClaimVote,
        ClaimOutcome,
        ClaimAssignmentOffer,
        ClaimTableRequest,
        ClaimTable,
    )

    def __init__(
        self,
        settings: ClaimsSettings,
        identity: NodeIdentity,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._directory = AssignmentDirectory()
        self._assignments = LocalAssignments(settings, identity)
        self._voter = Voter(self._assignments)
        self._sender = TableSender(settings, self._assignments)
        self._offers = AssignmentOffers(settings, self._assignments, self._directory)
        self._transfers = TableTransfers(settings, self._assignments, self._directory)
        self._timing = TakeoverTiming(settings, self._assignments, self._directory)
        self._manager = AssignmentManager(settings, self._assignments, self._timing, random_source)
        self._claimant = Claimant(settings, self._directory, random_source)
        self._next_expiry_partition = 0

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle ``event`` at time ``now`` (seconds); events of other machines are ignored."""
        match event:
            case PeerReceived():
                return self._receive(event, now)
            case ClaimsTick():
                return self._tick(now)
            case ClaimWanted():
                return self._claimant.begin(event, now)
            case ClaimFinished():
                return self._claimant.finish(event, now)
            case VoteRequestDue():
                return self._claimant.vote_request_due(event, now)
            case OutcomeResendDue():
                return self._claimant.resend_due(event)
            case _:
                return self._handle_infrequent(event, now)

    @property
    def assignments_to_hand_over(self) -> int:
        """Number of assignments that their next holder has not fetched yet.

        A planned stop waits until it is 0.
        """
        return self._offers.assignments_to_hand_over()

    def designated_holder(self, zone: ZoneName, partition: int) -> NodeIdentity | None:
        """Return the node to which this node would send a vote request for ``zone``."""
        return self._directory.designated_holder(self._identity.deployment, zone, partition)

    def report(self) -> ClaimsReport:
        """Return the number of stored claims and of assignments by status."""
        return ClaimsReport(
            records=self._assignments.usage.records,
            outcome_bytes=self._assignments.usage.outcome_bytes,
            assignments_voting=len(self._assignments.with_status(AssignmentStatus.VOTING)),
            assignments_rebuilding=len(self._assignments.with_status(AssignmentStatus.REBUILDING)),
        )

    def _handle_infrequent(self, event: Event, now: float) -> list[Action]:
        match event:
            case Start():
                return [self._next_tick(now)]
            case PeerLinkBroken():
                self._offers.link_broken(event.node_id)
                return self._claimant.link_broken(event.node_id, now)
            case StoreResponse():
                # After a failed swap, read again at once instead of at the next tick.
                return self._manager.handle_response(event, now) + self._manager.tick(now)
            case MembershipChanged():
                self._directory.update(event.available, event.leaving)
                self._timing.reevaluate(now)
                self._transfers.membership_changed(now)
                self._offers.membership_changed()
                return self._manager.tick(now)
            case ConfigurationInForce():
                self._apply_configuration(event.configuration, now)
                return self._manager.tick(now)
            case LeavingStarted():
                self._timing.begin_leaving()
                self._transfers.begin_leaving()
                self._offers.begin_leaving()
                return self._offers.tick(now)
        return []

    def _apply_configuration(self, configuration: Configuration, now: float) -> None:
        zones = deployment_zones(configuration, self._identity.deployment)
        self._claimant.set_configuration(configuration)
        self._transfers.set_zones(zones)
        self._timing.set_zones(zones)
        self._manager.set_zones(zones, configuration.revision)
        self._timing.reevaluate(now)

    def _receive(self, event: PeerReceived, now: float) -> list[Action]:
        sender = event.sender
        match event.message:
            case ClaimRequest() as request:
                return [SendToPeer(sender, self._voter.vote(request, now))]
            case ClaimVote() as vote:
                return self._claimant.handle_vote(sender, vote, now)
            case ClaimOutcome() as outcome:
                self._voter.record_outcome(outcome, now)
                return []
            case ClaimAssignmentOffer() as offer:
                self._timing.record_offer_from(sender.node_id)
                return self._transfers.accept_offer(sender, offer, now)
            case ClaimTableRequest() as request:
                return self._sender.send_table(sender, request, now)
            case ClaimTable() as table:
                return self._transfers.handle_table(sender, table, now)
            case _:
                return []

    def _tick(self, now: float) -> list[Action]:
        self._assignments.by_partition[self._next_expiry_partition].memory.expire(now)
        self._next_expiry_partition = (self._next_expiry_partition + 1) % PARTITIONS
        self._claimant.tick(now)
        return [
            *self._transfers.tick(now),
            *self._offers.tick(now),
            *self._manager.tick(now),
            self._next_tick(now),
        ]

    def _next_tick(self, now: float) -> Schedule:
        return Schedule(now + self._settings.tick_seconds, ClaimsTick())
