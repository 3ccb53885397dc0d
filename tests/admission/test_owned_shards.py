"""An owner reads health pages and reports load of its own shards alone."""

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


def owner(place, present):
    machine = OwnerMachine(
        node_identity(place, 1), RoutingSettings(), AdmissionSettings(), random.Random(place)
    )
    machine.handle(members(present), 0.0)
    return machine


def members(places):
    return MembershipChanged(tuple(node_identity(place, 1) for place in places), ())


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

    def test_each_replica_is_read_by_one_owner_of_its_own_deployment(self):
        found = []
        for place in range(NODES):
            machine = owner(place, range(NODES))
            own = probed(machine.handle(ConfigurationInForce(self.configuration), 0.0))
            deployment = node_identity(place, 1).deployment
            self.assertEqual([], [name for name in own if f"lookup-{deployment}" not in name])
            found += own
        self.assertEqual(self.replicas, sorted(found))

    def test_what_a_lost_owner_read_is_read_by_others(self):
        lost = 0
        survivors = [place for place in range(NODES) if place != lost]
        found = []
        for place in survivors:
            machine = owner(place, range(NODES))
            machine.handle(ConfigurationInForce(self.configuration), 0.0)
            machine.handle(members(survivors), 1.0)
            found += [
                replica.replica_id
                for shard_state in machine._owned_shards()
                for replica in shard_state.shard.replicas
            ]
        self.assertEqual(self.replicas, sorted(found))

    def test_load_is_reported_of_owned_services_alone(self):
        machine = owner(0, range(NODES))
        machine.handle(ConfigurationInForce(self.configuration), 0.0)
        self.assertEqual(["lookup-east"], [load.service for load in machine.service_loads()])
