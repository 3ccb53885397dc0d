"""Replicas to avoid are not chosen unless all replicas are to be avoided."""

import random
from dataclasses import replace

from testtools import TestCase

from tests.query.small_tier import ZONES, configuration
from tests.query.test_class_order import REQUESTER, work_item
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
    def chosen_replicas(self, avoid: tuple[ReplicaId, ...]) -> list[str]:
        identity = NodeIdentity(NodeId("n"), DeploymentName("ro-nord"), ZONES[0], "127.0.0.1", 1)
        owner = OwnerMachine(identity, RoutingSettings(), AdmissionSettings(), random.Random(1))
        owner.handle(ConfigurationInForce(configuration((FULL_KEY_RANGE,), 2)), 0.0)
        sub_request = work_item("q", "gold", 1).sub_request
        batch = SubRequestBatch(
            tuple(
                replace(sub_request, sub_request_id=SubRequestId(f"q{index}"), avoid=avoid)
                for index in range(6)
            )
        )
        actions = owner.handle(PeerReceived(REQUESTER, batch), 0.0)
        return [action.replica_id for action in actions if isinstance(action, StartAttempt)]

    def test_both_replicas_are_chosen_if_none_is_avoided(self) -> None:
        self.assertEqual({FIRST, SECOND}, set(self.chosen_replicas(())))

    def test_an_avoided_replica_is_not_chosen(self) -> None:
        self.assertEqual({SECOND}, set(self.chosen_replicas((FIRST,))))
        self.assertEqual({FIRST}, set(self.chosen_replicas((SECOND,))))

    def test_the_list_is_ignored_if_all_replicas_are_avoided(self) -> None:
        self.assertEqual(6, len(self.chosen_replicas((FIRST, SECOND))))
