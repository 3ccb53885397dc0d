"""The claim of one submission at the node that received it, with the votes collected so far."""

from dataclasses import dataclass, field
from enum import Enum

from ..model.identifiers import RequestId, ZoneName
from ..model.mechanisms import Mechanism
from ..ports.internal import ClaimDecisionKind
from ..ports.peer import NodeIdentity
from ..ports.peer_claims import AssignmentEpoch, ClaimVote, VoteKind
from .quorum import majority
from .settings import ClaimsSettings

INITIAL_RESEND_DELAY_SECONDS = 1.0


class ClaimStage(Enum):
    """The stage of a submission's claim."""

    COLLECTING_VOTES = "collecting_votes"
    GRANTED = "granted"
    NOT_RUN = "not_run"
    """Closed: the request did not run and will not; grants that arrive late are released."""
    DONE = "done"
    """Closed: the request ran or may have run; the outcome was sent to the voters."""


@dataclass(slots=True)
class SubmittedClaim:
    """The claim of one submission.

    A rival is another submission of the same claim key.

    Parameters
    ----------
    zones
        The zones whose majority decides.
    decide_by
        Time (seconds) until which votes count.
    round_number
        Incremented when the grants are released to a rival; votes of other rounds do not count.
    requested_nodes
        The node that was last sent a vote request, by zone.
    last_recipients
        The nodes to which the outcome was last sent.
    resend_zones
        The zones to which the outcome is sent again when the resend timer expires; there is at most
        one such timer.
    resend_delay_seconds
        The delay of the next resend timer; it doubles each time.
    saw_rival
        Whether any vote has named a rival.
    timer_sequence
        Number of the newest request timer; earlier timers are stale.
    vote_requests_sent
        How many times votes were requested.
    keep_until
        Time (seconds) until which a closed claim is kept.
    """

    claim_key: str
    request_digest: str
    request_id: RequestId
    zones: tuple[ZoneName, ...]
    partition: int
    decide_by: float
    stage: ClaimStage = ClaimStage.COLLECTING_VOTES
    round_number: int = 1
    votes: dict[ZoneName, ClaimVote] = field(default_factory=dict)
    requested_nodes: dict[ZoneName, NodeIdentity] = field(default_factory=dict)
    last_recipients: tuple[NodeIdentity, ...] = ()
    resend_zones: set[ZoneName] = field(default_factory=set)
    resend_delay_seconds: float = INITIAL_RESEND_DELAY_SECONDS
    saw_rival: bool = False
    outcome: bytes | None = None
    timer_sequence: int = 0
    vote_requests_sent: int = 0
    keep_until: float = 0.0

    def record(self, zone: ZoneName, vote: ClaimVote) -> None:
        """Record the vote of a zone, unless it is from an older epoch than the stored one."""
        present = self.votes.get(zone)
        if present is None or vote.epoch >= present.epoch:
            self.votes[zone] = vote
        if vote.vote is VoteKind.ALREADY_CLAIMED:
            self.saw_rival = True

    def known_epochs(self) -> dict[ZoneName, int]:
        """Return the newest epoch of each zone's assignment that any stored vote reports."""
        known: dict[ZoneName, int] = {}
        for zone, vote in self.votes.items():
            known[zone] = max(known.get(zone, 0), vote.epoch)
            for entry in vote.assignment_epochs:
                known[entry.zone] = max(known.get(entry.zone, 0), entry.epoch)
        return known

    def assignment_epochs(self) -> tuple[AssignmentEpoch, ...]:
        """Return the newest known epochs, ordered by zone."""
        return tuple(
            AssignmentEpoch(zone, epoch) for zone, epoch in sorted(self.known_epochs().items())
        )

    def granted_zones(self, settings: ClaimsSettings) -> list[ZoneName]:
        """Return the zones whose grant counts.

        A grant counts unless a vote that is still stored reports a newer epoch of the zone's
        assignment.
        """
        known = self.known_epochs()
        uses_epochs = settings.enabled(Mechanism.CLAIM_ASSIGNMENT_EPOCHS)
        return [
            zone
            for zone, vote in self.votes.items()
            if vote.vote is VoteKind.GRANTED and (vote.epoch >= known[zone] or not uses_epochs)
        ]

    def decision(self, settings: ClaimsSettings) -> ClaimDecisionKind | None:
        """Return the decision, or ``None`` while the votes do not suffice for one."""
        needed = majority(len(self.zones))
        if not settings.enabled(Mechanism.CLAIM_QUORUM):
            needed = 1
        if len(self.granted_zones(settings)) >= needed:
            return ClaimDecisionKind.GRANTED
        rival_votes = self.rival_votes()
        if any(vote.holder_request_digest != self.request_digest for vote in rival_votes):
            return ClaimDecisionKind.KEY_REUSED
        if any(vote.outcome is not None for vote in rival_votes):
            return ClaimDecisionKind.ALREADY_DONE
        return None

    def rival_votes(self) -> list[ClaimVote]:
        """Return the votes that name a rival."""
        return [vote for vote in self.votes.values() if vote.vote is VoteKind.ALREADY_CLAIMED]

    def stored_outcome(self) -> bytes | None:
        """Return the outcome of a rival, or ``None`` if no vote includes one."""
        outcomes = (vote.outcome for vote in self.rival_votes() if vote.outcome is not None)
        return next(outcomes, None)

    def is_blocked(self) -> bool:
        """Whether the zones that have not named a rival are too few for a majority."""
        return len(self.zones) - len(self.rival_votes()) < majority(len(self.zones))

    def must_yield(self) -> bool:
        """Whether a rival has a smaller request id; this submission then releases its grants."""
        rivals = [vote.holder_request_id for vote in self.rival_votes()]
        return any(rival is not None and rival < self.request_id for rival in rivals)

    def begin_round(self) -> None:
        """Start a new round without votes."""
        self.round_number += 1
        self.votes.clear()

    def discard_refusals(self) -> None:
        """Keep only the grants of this round, so that the other zones are requested again."""
        self.votes = {
            zone: vote for zone, vote in self.votes.items() if vote.vote is VoteKind.GRANTED
        }
