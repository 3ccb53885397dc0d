"""An owner probes the replicas and reports the load of its own shards only."""

import random

import testtools

from tests.admission.two_regions import initial_configuration, node_identity
from wingquay.admission.owner_machine import OwnerMachine
from wingquay.admission.settings import AdmissionSettings
from wingquay.ports.backend import ProbeReplica
from wingquay.ports.internal import ConfigurationInForce, MembershipChanged
from wingquay.routing.settings import RoutingSettings

NODES = 8
REPLICAS = 48


def owner(index, present):
    machine = OwnerMachine(
        node_identity(index, 1), RoutingSettings(), AdmissionSettings(), random.Random(index)
    )
    machine.handle(members(present), 0.0)
    return machine


def members(indexes):
    return MembershipChanged(tuple(node_identity(index, 1) for index in indexes), ())


def probed(actions):
    return [action.replica_id for action in actions if isinstance(action, ProbeReplica)]


class TestOwnedShards(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = initial_configuration(REPLICAS)
        self.replicas = sorted(
            replica.replica_id
            for service in self.configuration.services
            for shard in service.shards
            for replica in shard.replicas
        )

    def test_each_replica_is_probed_by_one_owner_in_its_deployment(self):
        found = []
        for index in range(NODES):
            machine = owner(index, range(NODES))
            own = probed(machine.handle(ConfigurationInForce(self.configuration), 0.0))
            deployment = node_identity(index, 1).deployment
            self.assertEqual([], [name for name in own if f"lookup-{deployment}" not in name])
            found += own
        self.assertEqual(self.replicas, sorted(found))

    def test_shards_of_a_lost_owner_pass_to_the_survivors(self):
        lost = 0
        survivors = [index for index in range(NODES) if index != lost]
        found = []
        for index in survivors:
            machine = owner(index, range(NODES))
            machine.handle(ConfigurationInForce(self.configuration), 0.0)
            machine.handle(members(survivors), 1.0)
            found += [
                replica.replica_id
                for shard_state in machine._owned_shards()
                for replica in shard_state.shard.replicas
            ]
        self.assertEqual(self.replicas, sorted(found))

    def test_load_is_reported_for_owned_services_only(self):
        machine = owner(0, range(NODES))
        machine.handle(ConfigurationInForce(self.configuration), 0.0)
        self.assertEqual(["lookup-east"], [load.service for load in machine.service_loads()])
