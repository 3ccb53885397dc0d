"""An unrepeatable request must not be reported as not run before its claim is decided."""

import random

from testtools import TestCase

from tests.query.small_tier import CALLER, SERVICE, ZONES, configuration
from wingquay.model.answer import Answer, Outcome
from wingquay.model.identifiers import DeploymentName, NodeId, RequestId, RequestKindName
from wingquay.model.key_range import FULL_KEY_RANGE
from wingquay.model.request import QueryRequest
from wingquay.ports.caller import AnswerCaller, CallerRequest
from wingquay.ports.internal import (
    ClaimDecided,
    ClaimDecisionKind,
    ClaimFinished,
    ClaimWanted,
    ConfigurationInForce,
    LeavingStarted,
    Notify,
)
from wingquay.ports.machine import Action
from wingquay.ports.peer import NodeIdentity
from wingquay.query.answer_codec import encode_answer
from wingquay.query.coordinator import Coordinator
from wingquay.query.owner_selector import OwnerSelector
from wingquay.query.settings import QuerySettings

REQUEST_ID = RequestId("edit-again")
REQUEST = QueryRequest(
    REQUEST_ID,
    CALLER,
    SERVICE,
    RequestKindName("tower-sweep"),
    (FULL_KEY_RANGE,),
    repeatable=False,
    idempotency_key="edit",
)


def answers(actions: list[Action]) -> list[Answer]:
    return [action.answer for action in actions if isinstance(action, AnswerCaller)]


class UnrepeatableTest(TestCase):
    """Requests to a node that refuses all requests because it is stopping."""

    def setUp(self) -> None:
        super().setUp()
        identity = NodeIdentity(NodeId("n"), DeploymentName("ro-nord"), ZONES[0], "127.0.0.1", 7000)
        owner_selector = OwnerSelector(identity, 0, random.Random(1))
        self.coordinator = Coordinator(identity, QuerySettings(), owner_selector)

    def send_request_while_stopping(self) -> list[Action]:
        in_force = ConfigurationInForce(configuration((FULL_KEY_RANGE,), 1))
        self.coordinator.handle(in_force, 0.0)
        self.coordinator.handle(LeavingStarted(), 0.0)
        return self.coordinator.handle(CallerRequest(REQUEST), 100.0)

    def decide(self, decision: ClaimDecisionKind, outcome: bytes | None = None) -> list[Action]:
        return self.coordinator.handle(ClaimDecided(REQUEST_ID, decision, outcome), 100.1)

    def test_a_refusal_waits_for_the_claim_decision(self) -> None:
        actions = self.send_request_while_stopping()
        self.assertEqual([], answers(actions))
        wanted = [a for a in actions if isinstance(a, Notify) and isinstance(a.event, ClaimWanted)]
        self.assertEqual(1, len(wanted))

    def test_a_repeat_of_a_finished_request_gets_its_stored_answer(self) -> None:
        self.send_request_while_stopping()
        stored = encode_answer(Answer(RequestId("edit"), Outcome.COMPLETE))
        answered = answers(self.decide(ClaimDecisionKind.ALREADY_DONE, stored))
        self.assertEqual([Outcome.COMPLETE], [answer.outcome for answer in answered])

    def test_a_granted_claim_of_a_refused_request_is_released(self) -> None:
        self.send_request_while_stopping()
        actions = self.decide(ClaimDecisionKind.GRANTED)
        self.assertEqual([Outcome.REFUSED_NOT_RUN], [a.outcome for a in answers(actions)])
        self.assertIn(Notify(ClaimFinished(REQUEST_ID, None)), actions)

    def test_without_a_configuration_the_outcome_is_unknown(self) -> None:
        answered = answers(self.coordinator.handle(CallerRequest(REQUEST), 0.0))
        self.assertEqual([Outcome.UNKNOWN], [answer.outcome for answer in answered])
