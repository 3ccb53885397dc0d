"""One submission at the node that received it: who was asked, and what the votes amount to."""

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
    """Where a submission stands."""

    COLLECTING_VOTES = "asking"
    GRANTED = "granted"
    NOT_RUN = "not_run"
    """Closed: it did not run and will not, so grants that come late are given back."""
    DONE = "done"
    """Closed: it ran or may have run, and the voters were told."""


@dataclass(slots=True)
class PendingClaim:
    """A submission's claim.

    Parameters
    ----------
    decide_by
        Time until which votes count.
    asked
        The node that was last asked in each zone.
    told
        The nodes that were last told the outcome.
    resend_zones
        The zones that are told again when the timer for it is due; there is one timer at most.
    resend_delay_seconds
        The delay of the next such timer; it doubles each time.
    saw_other_submission
        Whether any vote named another submission.
    asks
        How many times the voters were asked.
    timer_sequence
        Tells the newest timer from earlier ones.
    keep_until
        Time until which a closed claim is kept.
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
    saw_other_submission: bool = False
    outcome: bytes | None = None
    timer_sequence: int = 0
    requests_sent: int = 0
    keep_until: float = 0.0

    def record(self, zone: ZoneName, vote: ClaimVote) -> None:
        """Keep the vote of a zone, unless one from a newer epoch of its assignment is there."""
        present = self.votes.get(zone)
        if present is None or vote.epoch >= present.epoch:
            self.votes[zone] = vote
        if vote.vote is VoteKind.ALREADY_CLAIMED:
            self.saw_other_submission = True

    def known_epochs(self) -> dict[ZoneName, int]:
        """Return the newest epoch of each zone's assignment that any vote speaks of."""
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

        No vote speaks of a newer epoch of their assignment.
        """
        known = self.known_epochs()
        uses_epochs = settings.enabled(Mechanism.CLAIM_ASSIGNMENT_EPOCHS)
        return [
            zone
            for zone, vote in self.votes.items()
            if vote.vote is VoteKind.GRANTED and (vote.epoch >= known[zone] or not uses_epochs)
        ]

    def decision(self, settings: ClaimsSettings) -> ClaimDecisionKind | None:
        """Return what the votes decide, or ``None`` while they do not."""
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
        """Return the votes that name another submission."""
        return [vote for vote in self.votes.values() if vote.vote is VoteKind.ALREADY_CLAIMED]

    def stored_outcome(self) -> bytes | None:
        """Return the outcome of another submission, if a vote brought it."""
        outcomes = (vote.outcome for vote in self.rival_votes() if vote.outcome is not None)
        return next(outcomes, None)

    def is_blocked(self) -> bool:
        """Whether so many zones named another submission that the others are no majority."""
        return len(self.zones) - len(self.rival_votes()) < majority(len(self.zones))

    def must_yield(self) -> bool:
        """Whether a rival has the smaller request id, so that this one gives its grants back."""
        rivals = [vote.holder_request_id for vote in self.rival_votes()]
        return any(rival is not None and rival < self.request_id for rival in rivals)

    def begin_round(self) -> None:
        """Ask anew; votes of earlier rounds do not count any more."""
        self.round_number += 1
        self.votes.clear()

    def discard_refusals(self) -> None:
        """Keep only the grants of this round, to ask the other zones again."""
        self.votes = {
            zone: vote for zone, vote in self.votes.items() if vote.vote is VoteKind.GRANTED
        }
