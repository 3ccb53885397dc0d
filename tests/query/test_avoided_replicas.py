"""Replicas that left keys out before are passed over, unless there are no others."""

import random
from dataclasses import replace

from testtools import TestCase

from tests.query.small_tier import ZONES, configuration
from tests.query.test_class_order import REQUESTER, work
from wingquay.admission.owner_machine import OwnerMachine
from wingquay.admission.settings import AdmissionSettings
from wingquay.model.identifiers import DeploymentName, NodeId, ReplicaId, SubRequestId
from wingquay.model.key_range import FULL_KEY_RANGE
from wingquay.ports.backend import StartAttempt
from wingquay.ports.internal import ConfigurationInForce
from wingquay.ports.peer import NodeIdentity, PeerReceived, SubRequestBatch
from wingquay.routing.settings import RoutingSettings

FIRST, SECOND = ReplicaId("s0r0"), ReplicaId("s0r1")


class AvoidedReplicasTest(TestCase):
    def replicas_asked(self, avoid: tuple[ReplicaId, ...]) -> list[str]:
        identity = NodeIdentity(NodeId("n"), DeploymentName("ro-nord"), ZONES[0], "127.0.0.1", 1)
        owner = OwnerMachine(identity, RoutingSettings(), AdmissionSettings(), random.Random(1))
        owner.handle(ConfigurationInForce(configuration((FULL_KEY_RANGE,), 2)), 0.0)
        sub_request = work("q", "gold", 1).sub_request
        batch = SubRequestBatch(
            tuple(
                replace(sub_request, sub_request_id=SubRequestId(f"q{index}"), avoid=avoid)
                for index in range(6)
            )
        )
        actions = owner.handle(PeerReceived(REQUESTER, batch), 0.0)
        return [action.replica_id for action in actions if isinstance(action, StartAttempt)]

    def test_both_are_asked_when_none_is_avoided(self) -> None:
        self.assertEqual({FIRST, SECOND}, set(self.replicas_asked(())))

    def test_an_avoided_one_is_passed_over(self) -> None:
        self.assertEqual({SECOND}, set(self.replicas_asked((FIRST,))))
        self.assertEqual({FIRST}, set(self.replicas_asked((SECOND,))))

    def test_with_all_avoided_any_is_asked(self) -> None:
        self.assertEqual(6, len(self.replicas_asked((FIRST, SECOND))))
