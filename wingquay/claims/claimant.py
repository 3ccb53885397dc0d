"""The claimant: requests votes for unrepeatable requests of this node and reports the outcomes."""

import random
from dataclasses import dataclass

from ..model.configuration import Configuration
from ..model.identifiers import DeploymentName, NodeId, RequestId, ZoneName
from ..ports.internal import (
    ClaimDecided,
    ClaimDecisionKind,
    ClaimFinished,
    ClaimWanted,
    Notify,
)
from ..ports.machine import Action, Count, Event, Schedule
from ..ports.peer import NodeIdentity, SendToPeer
from ..ports.peer_claims import ClaimOutcome, ClaimRequest, ClaimVote, VoteKind
from .directory import AssignmentDirectory
from .keys import claim_key, partition_of, request_digest
from .settings import ClaimsSettings
from .submitted_claim import ClaimStage, SubmittedClaim

SHORT_INTERVAL_VOTE_REQUESTS = 4
"""Number of vote requests sent at the short interval before the interval doubles."""

MAX_DOUBLINGS = 6


@dataclass(frozen=True, slots=True)
class VoteRequestDue(Event):
    """The timer for the next vote request of a submission has expired.

    Stale unless ``timer_sequence`` is the submission's current one.
    """

    request_id: RequestId
    timer_sequence: int


@dataclass(frozen=True, slots=True)
class OutcomeResendDue(Event):
    """The timer for resending an outcome that may have been lost with a connection has expired."""

    request_id: RequestId


class Claimant:
    """The claims of all submissions that this node received.

    A submission collects the votes of the zones. If a majority grants it, the request may run, and
    its outcome is sent to the voters afterwards; otherwise the grants are released.
    """

    def __init__(
        self,
        settings: ClaimsSettings,
        directory: AssignmentDirectory,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._random = random_source
        self._configuration = Configuration()
        self._claims: dict[RequestId, SubmittedClaim] = {}
        self._deployments: dict[RequestId, DeploymentName] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Use ``configuration`` from now on."""
        self._configuration = configuration

    def begin(self, event: ClaimWanted, now: float) -> list[Action]:
        """Request the votes for a new submission."""
        request = event.request
        service = self._configuration.service(request.service)
        zones = () if service is None else deployment_zones(self._configuration, service.deployment)
        if service is None or not zones or request.idempotency_key is None:
            return _notify(request.request_id, ClaimDecisionKind.UNDECIDED, None)
        key = claim_key(request.caller, request.service, request.idempotency_key)
        claim = SubmittedClaim(
            claim_key=key,
            request_digest=request_digest(request),
            request_id=request.request_id,
            zones=zones,
            partition=partition_of(key),
            decide_by=now + event.decide_within_seconds * self._settings.decide_share,
        )
        self._claims[request.request_id] = claim
        self._deployments[request.request_id] = service.deployment
        return self._request_votes(claim, now)

    def handle_vote(self, sender: NodeIdentity, vote: ClaimVote, now: float) -> list[Action]:
        """Record a vote, and decide the submission if the votes suffice."""
        claim = self._claims.get(vote.request_id)
        if claim is None or sender.deployment != self._deployments[vote.request_id]:
            return []
        current = (
            claim.stage is ClaimStage.COLLECTING_VOTES and vote.round_number == claim.round_number
        )
        if not current:
            return self._release_late_grant(claim, sender, vote)
        if sender.zone not in claim.zones:
            return []
        claim.record(sender.zone, vote)
        if now > claim.decide_by:
            return self._give_up(claim, now)
        decision = claim.decision(self._settings)
        if decision is not None:
            return self._decide(claim, decision, now)
        if claim.is_blocked() and claim.must_yield():
            return self._yield_to_rival(claim, now)
        return []

    def vote_request_due(self, event: VoteRequestDue, now: float) -> list[Action]:
        """Give up, yield to a rival submission, or request the missing votes again."""
        claim = self._claims.get(event.request_id)
        if claim is None or claim.stage is not ClaimStage.COLLECTING_VOTES:
            return []
        if event.timer_sequence != claim.timer_sequence:
            return []
        if now >= claim.decide_by:
            return self._give_up(claim, now)
        if not claim.must_yield():
            return self._request_votes(claim, now)
        return self._yield_to_rival(claim, now)

    def _yield_to_rival(self, claim: SubmittedClaim, now: float) -> list[Action]:
        """Release the grants, and start a new round after a delay that leaves the rival time."""
        actions = self._send_outcome(claim, self._outcome_recipients(claim), None)
        claim.begin_round()
        delay = self._settings.ask_retry_seconds * 2.0 ** min(claim.round_number, MAX_DOUBLINGS)
        return actions + self._schedule_vote_request(claim, now, delay)

    def finish(self, event: ClaimFinished, now: float) -> list[Action]:
        """Send the outcome of a granted request to the voters."""
        claim = self._claims.get(event.request_id)
        if claim is None or claim.stage is not ClaimStage.GRANTED:
            return []
        self._close(claim, ClaimStage.NOT_RUN if event.outcome is None else ClaimStage.DONE, now)
        claim.outcome = event.outcome
        return self._send_outcome(claim, self._outcome_recipients(claim), event.outcome)

    def link_broken(self, node_id: NodeId, now: float) -> list[Action]:
        """Schedule resending of the outcomes that the peer ``node_id`` may not have received.

        Each resend timer of a claim doubles the delay of its next one.
        """
        actions: list[Action] = []
        for claim in self._claims.values():
            zones = {node.zone for node in claim.last_recipients if node.node_id == node_id}
            if not zones or claim.stage not in (ClaimStage.NOT_RUN, ClaimStage.DONE):
                continue
            if not claim.resend_zones:
                due = OutcomeResendDue(claim.request_id)
                actions.append(Schedule(now + claim.resend_delay_seconds, due))
                claim.resend_delay_seconds *= 2.0
            claim.resend_zones |= zones
        return actions

    def resend_due(self, event: OutcomeResendDue) -> list[Action]:
        """Resend the outcome to the current voters of the zones that may not have received it."""
        claim = self._claims.get(event.request_id)
        if claim is None:
            return []
        zones, claim.resend_zones = claim.resend_zones, set()
        holders = self._holders(claim)
        nodes = tuple(node for node in holders.values() if node.zone in zones)
        return self._send_outcome(claim, nodes, claim.outcome)

    def tick(self, now: float) -> None:
        """Forget closed submissions once their keep time is over."""
        closed = [
            claim.request_id
            for claim in self._claims.values()
            if claim.stage in (ClaimStage.NOT_RUN, ClaimStage.DONE) and now >= claim.keep_until
        ]
        for request_id in closed:
            del self._claims[request_id]
            del self._deployments[request_id]

    def _request_votes(self, claim: SubmittedClaim, now: float) -> list[Action]:
        assignment_epochs = claim.assignment_epochs()
        granted = claim.granted_zones(self._settings)
        request = ClaimRequest(
            claim_key=claim.claim_key,
            request_digest=claim.request_digest,
            request_id=claim.request_id,
            round_number=claim.round_number,
            zones=claim.zones,
            assignment_epochs=assignment_epochs,
        )
        claim.discard_refusals()
        actions: list[Action] = []
        for zone, holder in self._holders(claim).items():
            if zone not in granted:
                claim.requested_nodes[zone] = holder
                actions.append(SendToPeer(holder, request))
        claim.vote_requests_sent += 1
        doublings = min(
            max(claim.vote_requests_sent - SHORT_INTERVAL_VOTE_REQUESTS, 0), MAX_DOUBLINGS
        )
        delay = self._settings.ask_retry_seconds * 2.0**doublings
        return actions + self._schedule_vote_request(claim, now, delay)

    def _schedule_vote_request(
        self, claim: SubmittedClaim, now: float, delay: float
    ) -> list[Action]:
        claim.timer_sequence += 1
        due = VoteRequestDue(claim.request_id, claim.timer_sequence)
        jittered = delay * self._random.uniform(0.5, 1.0)
        return [Schedule(min(now + jittered, claim.decide_by), due)]

    def _holders(self, claim: SubmittedClaim) -> dict[ZoneName, NodeIdentity]:
        deployment = self._deployments[claim.request_id]
        holders: dict[ZoneName, NodeIdentity] = {}
        for zone in claim.zones:
            holder = self._directory.designated_holder(deployment, zone, claim.partition)
            if holder is not None:
                holders[zone] = holder
        return holders

    def _outcome_recipients(self, claim: SubmittedClaim) -> tuple[NodeIdentity, ...]:
        """Return the nodes that may store the submission: the voters requested before and now."""
        nodes = {node.node_id: node for node in claim.requested_nodes.values()}
        nodes.update((node.node_id, node) for node in self._holders(claim).values())
        return tuple(nodes.values())

    def _give_up(self, claim: SubmittedClaim, now: float) -> list[Action]:
        kind = ClaimDecisionKind.IN_PROGRESS if claim.saw_rival else ClaimDecisionKind.UNDECIDED
        return self._decide(claim, kind, now)

    def _decide(
        self,
        claim: SubmittedClaim,
        decision: ClaimDecisionKind,
        now: float,
    ) -> list[Action]:
        counted = Count("wingquay_claims_decided_total", labels=(("decision", decision.value),))
        outcome = None
        actions: list[Action] = [counted]
        if decision is ClaimDecisionKind.GRANTED:
            claim.stage = ClaimStage.GRANTED
        else:
            self._close(claim, ClaimStage.NOT_RUN, now)
            actions += self._send_outcome(claim, self._outcome_recipients(claim), None)
        if decision is ClaimDecisionKind.ALREADY_DONE:
            outcome = claim.stored_outcome()
        return actions + _notify(claim.request_id, decision, outcome)

    def _close(self, claim: SubmittedClaim, stage: ClaimStage, now: float) -> None:
        claim.stage = stage
        claim.keep_until = now + self._settings.closed_keep_seconds

    def _release_late_grant(
        self,
        claim: SubmittedClaim,
        sender: NodeIdentity,
        vote: ClaimVote,
    ) -> list[Action]:
        """Release a grant of an earlier round or of a submission that will not run."""
        if vote.vote is not VoteKind.GRANTED:
            return []
        earlier_round = vote.round_number < claim.round_number
        if claim.stage is not ClaimStage.NOT_RUN and not earlier_round:
            return []
        return [SendToPeer(sender, _outcome(claim, vote.round_number, None))]

    def _send_outcome(
        self,
        claim: SubmittedClaim,
        nodes: tuple[NodeIdentity, ...],
        outcome: bytes | None,
    ) -> list[Action]:
        claim.last_recipients = nodes
        message = _outcome(claim, claim.round_number, outcome)
        return [SendToPeer(node, message) for node in nodes]


def deployment_zones(
    configuration: Configuration,
    name: DeploymentName,
) -> tuple[ZoneName, ...]:
    """Return the sorted zones of a deployment; empty if it is unknown."""
    for deployment in configuration.deployments:
        if deployment.name == name:
            return tuple(sorted(deployment.zones))
    return ()


def _outcome(claim: SubmittedClaim, round_number: int, outcome: bytes | None) -> ClaimOutcome:
    return ClaimOutcome(
        claim_key=claim.claim_key,
        request_digest=claim.request_digest,
        request_id=claim.request_id,
        round_number=round_number,
        outcome=outcome,
    )


def _notify(
    request_id: RequestId,
    decision: ClaimDecisionKind,
    outcome: bytes | None,
) -> list[Action]:
    return [Notify(ClaimDecided(request_id, decision, outcome))]
