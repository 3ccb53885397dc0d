"""The node that received an unrepeatable request: asks the voters, tells them the outcome."""

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
from .pending_claim import ClaimStage, PendingClaim
from .settings import ClaimsSettings

QUICK_ASKS = 4
"""Times that a submission asks at short intervals before the intervals double."""

MOST_DOUBLINGS = 6


@dataclass(frozen=True, slots=True)
class ClaimAskDue(Event):
    """It is time to look at a submission's votes, and to ask again what is missing."""

    request_id: RequestId
    ask_sequence: int


@dataclass(frozen=True, slots=True)
class ClaimTellDue(Event):
    """An outcome may have been lost with a connection: tell it again."""

    request_id: RequestId


class Claimant:
    """All submissions of this node."""

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
        self._claims: dict[RequestId, PendingClaim] = {}
        self._deployments: dict[RequestId, DeploymentName] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Take in the configuration in force."""
        self._configuration = configuration

    def begin(self, event: ClaimWanted, now: float) -> list[Action]:
        """Ask the voters about a new submission."""
        request = event.request
        service = self._configuration.service(request.service)
        zones = () if service is None else deployment_zones(self._configuration, service.deployment)
        if service is None or not zones or request.idempotency_key is None:
            return _notify(request.request_id, ClaimDecisionKind.UNDECIDED, None)
        key = claim_key(request.caller, request.service, request.idempotency_key)
        claim = PendingClaim(
            claim_key=key,
            request_digest=request_digest(request),
            request_id=request.request_id,
            zones=zones,
            partition=partition_of(key),
            decide_by=now + event.decide_within_seconds * self._settings.decide_share,
        )
        self._claims[request.request_id] = claim
        self._deployments[request.request_id] = service.deployment
        return self._ask(claim, now)

    def receive(self, sender: NodeIdentity, vote: ClaimVote, now: float) -> list[Action]:
        """Take in a vote."""
        claim = self._claims.get(vote.request_id)
        if claim is None or sender.deployment != self._deployments[vote.request_id]:
            return []
        current = claim.stage is ClaimStage.ASKING and vote.round_number == claim.round_number
        if not current:
            return self._answer_late(claim, sender, vote)
        if sender.zone not in claim.zones:
            return []
        claim.record(sender.zone, vote)
        if now > claim.decide_by:
            return self._give_up(claim, now)
        decision = claim.decision(self._settings)
        if decision is not None:
            return self._decide(claim, decision, now)
        if claim.is_blocked() and claim.gives_way():
            return self._give_way(claim, now)
        return []

    def ask_due(self, event: ClaimAskDue, now: float) -> list[Action]:
        """Give up, give way to a rival, or ask again."""
        claim = self._claims.get(event.request_id)
        if claim is None or claim.stage is not ClaimStage.ASKING:
            return []
        if event.ask_sequence != claim.ask_sequence:
            return []
        if now >= claim.decide_by:
            return self._give_up(claim, now)
        if not claim.gives_way():
            return self._ask(claim, now)
        return self._give_way(claim, now)

    def _give_way(self, claim: PendingClaim, now: float) -> list[Action]:
        """Give the grants back, and ask again once the rival has had time to."""
        actions = self._tell(claim, self._listeners(claim), None)
        claim.begin_round()
        delay = self._settings.ask_retry_seconds * 2.0 ** min(claim.round_number, MOST_DOUBLINGS)
        return actions + self._schedule_ask(claim, now, delay)

    def finish(self, event: ClaimFinished, now: float) -> list[Action]:
        """Tell the voters what came of a granted request."""
        claim = self._claims.get(event.request_id)
        if claim is None or claim.stage is not ClaimStage.GRANTED:
            return []
        self._close(claim, ClaimStage.NOT_RUN if event.outcome is None else ClaimStage.DONE, now)
        claim.outcome = event.outcome
        return self._tell(claim, self._listeners(claim), event.outcome)

    def link_broken(self, node_id: NodeId, now: float) -> list[Action]:
        """Tell again what this node may not have received."""
        actions: list[Action] = []
        for claim in self._claims.values():
            zones = {node.zone for node in claim.told if node.node_id == node_id}
            if not zones or claim.stage not in (ClaimStage.NOT_RUN, ClaimStage.DONE):
                continue
            if not claim.tell_again:
                due = ClaimTellDue(claim.request_id)
                actions.append(Schedule(now + claim.tell_delay_seconds, due))
                claim.tell_delay_seconds *= 2.0
            claim.tell_again |= zones
        return actions

    def tell_due(self, event: ClaimTellDue) -> list[Action]:
        """Tell the present voters of the zones that may not know the outcome."""
        claim = self._claims.get(event.request_id)
        if claim is None:
            return []
        zones, claim.tell_again = claim.tell_again, set()
        present = self._holders(claim)
        nodes = tuple(node for node in present.values() if node.zone in zones)
        return self._tell(claim, nodes, claim.outcome)

    def tick(self, now: float) -> None:
        """Forget submissions that were closed long ago."""
        over = [
            claim.request_id
            for claim in self._claims.values()
            if claim.stage in (ClaimStage.NOT_RUN, ClaimStage.DONE) and now >= claim.keep_until
        ]
        for request_id in over:
            del self._claims[request_id]
            del self._deployments[request_id]

    def _ask(self, claim: PendingClaim, now: float) -> list[Action]:
        assignment_epochs = claim.assignment_epochs()
        counted = claim.granted_zones(self._settings)
        request = ClaimRequest(
            claim_key=claim.claim_key,
            request_digest=claim.request_digest,
            request_id=claim.request_id,
            round_number=claim.round_number,
            zones=claim.zones,
            assignment_epochs=assignment_epochs,
        )
        claim.forget_refusals()
        actions: list[Action] = []
        for zone, holder in self._holders(claim).items():
            if zone not in counted:
                claim.asked[zone] = holder
                actions.append(SendToPeer(holder, request))
        claim.asks += 1
        doublings = min(max(claim.asks - QUICK_ASKS, 0), MOST_DOUBLINGS)
        delay = self._settings.ask_retry_seconds * 2.0**doublings
        return actions + self._schedule_ask(claim, now, delay)

    def _schedule_ask(self, claim: PendingClaim, now: float, delay: float) -> list[Action]:
        claim.ask_sequence += 1
        due = ClaimAskDue(claim.request_id, claim.ask_sequence)
        jittered = delay * self._random.uniform(0.5, 1.0)
        return [Schedule(min(now + jittered, claim.decide_by), due)]

    def _holders(self, claim: PendingClaim) -> dict[ZoneName, NodeIdentity]:
        deployment = self._deployments[claim.request_id]
        holders: dict[ZoneName, NodeIdentity] = {}
        for zone in claim.zones:
            holder = self._directory.holder(deployment, zone, claim.partition)
            if holder is not None:
                holders[zone] = holder
        return holders

    def _listeners(self, claim: PendingClaim) -> tuple[NodeIdentity, ...]:
        """Return who may remember the submission: the voters asked, and those of now."""
        nodes = {node.node_id: node for node in claim.asked.values()}
        nodes.update((node.node_id, node) for node in self._holders(claim).values())
        return tuple(nodes.values())

    def _give_up(self, claim: PendingClaim, now: float) -> list[Action]:
        kind = ClaimDecisionKind.IN_PROGRESS if claim.met_holder else ClaimDecisionKind.UNDECIDED
        return self._decide(claim, kind, now)

    def _decide(
        self,
        claim: PendingClaim,
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
            actions += self._tell(claim, self._listeners(claim), None)
        if decision is ClaimDecisionKind.ALREADY_DONE:
            outcome = claim.stored_outcome()
        return actions + _notify(claim.request_id, decision, outcome)

    def _close(self, claim: PendingClaim, stage: ClaimStage, now: float) -> None:
        claim.stage = stage
        claim.keep_until = now + self._settings.closed_keep_seconds

    def _answer_late(
        self,
        claim: PendingClaim,
        sender: NodeIdentity,
        vote: ClaimVote,
    ) -> list[Action]:
        """Give back a grant of an earlier round or of a submission that will not run."""
        if vote.vote is not VoteKind.GRANTED:
            return []
        earlier_round = vote.round_number < claim.round_number
        if claim.stage is not ClaimStage.NOT_RUN and not earlier_round:
            return []
        return [SendToPeer(sender, _outcome(claim, vote.round_number, None))]

    def _tell(
        self,
        claim: PendingClaim,
        nodes: tuple[NodeIdentity, ...],
        outcome: bytes | None,
    ) -> list[Action]:
        claim.told = nodes
        message = _outcome(claim, claim.round_number, outcome)
        return [SendToPeer(node, message) for node in nodes]


def deployment_zones(
    configuration: Configuration,
    name: DeploymentName,
) -> tuple[ZoneName, ...]:
    """Return the sorted zones of a deployment; none if it is unknown."""
    for deployment in configuration.deployments:
        if deployment.name == name:
            return tuple(sorted(deployment.zones))
    return ()


def _outcome(claim: PendingClaim, round_number: int, outcome: bytes | None) -> ClaimOutcome:
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
