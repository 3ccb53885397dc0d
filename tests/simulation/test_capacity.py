"""Hollow nodes: one seed gives one run, and every figure is there at a small size."""

import testtools

from wingquay.commands import capacity as capacity_command
from wingquay.model.identifiers import Revision
from wingquay.ports.peer import Gossip, NodeListRequest, Ping
from wingquay.simulation.capacity.layout import all_zones, initial_configuration, node_identity
from wingquay.simulation.capacity.report import make_report, report_text
from wingquay.simulation.capacity.run import run
from wingquay.simulation.capacity.settings import CapacitySettings, check
from wingquay.simulation.capacity.wire import Wire

NODES = 8
REPLICAS = 24


def settings(**changes):
    given = {"nodes": NODES, "replicas": REPLICAS, "seconds": 3.0, "changes": 2}
    return CapacitySettings(**{**given, **changes})


class TestCapacity(testtools.TestCase):
    def test_the_report_has_every_figure(self):
        report = make_report(run(settings()))
        self.assertEqual(2, report["changes"]["confirmed"])
        self.assertEqual(0, report["changes"]["not_landed"])
        self.assertGreater(report["config_in_force_seconds"]["max"], 0.0)
        self.assertLess(report["config_in_force_seconds"]["max"], 4.0)
        self.assertEqual((0, 0), (report["false_suspicions"], report["false_deaths"]))
        for name in ("control_core_percent", "control_bytes_per_second", "memory_mb"):
            self.assertGreater(report[name]["median"], 0.0)
            self.assertGreaterEqual(report[name]["worst"], report[name]["median"])
        self.assertIn("store_requests_per_second", report_text(report))

    def test_one_seed_gives_one_run(self):
        digests = [run(settings(seed=seed)).digest for seed in (1, 1, 2)]
        self.assertEqual(digests[0], digests[1])
        self.assertNotEqual(digests[0], digests[2])

    def test_what_is_read_of_replicas_does_not_grow_with_the_nodes(self):
        pages = []
        for nodes in (NODES, 2 * NODES):
            ordinary = run(settings(nodes=nodes, changes=0)).ordinary
            pages.append(sum(meter.messages["ReplicaProbed"] for meter in ordinary.meters) / 2)
        self.assertEqual([REPLICAS * 3, REPLICAS * 3], pages)

    def test_crashes_are_known_and_a_cut_zone_and_a_lost_fleet_come_back(self):
        report = make_report(run(settings(churn=1, zone_cut_seconds=20.0, restart_all=True)))
        self.assertLess(report["churn"]["known_everywhere_seconds"]["max"], 30.0)
        self.assertIsNotNone(report["zone_cut"]["all_known_again_seconds"])
        self.assertIsNotNone(report["restart_all"]["all_configured_seconds"])
        self.assertIsNotNone(report["restart_all"]["nearly_all_known_seconds"])


class TestLayout(testtools.TestCase):
    def test_nodes_and_replicas_are_spread_over_two_regions_with_four_zones(self):
        self.assertEqual(8, len(all_zones()))
        zones = [node_identity(place, 1).zone for place in range(16)]
        self.assertEqual({zone: 2 for zone in all_zones()}, {z: zones.count(z) for z in zones})
        configuration = initial_configuration(REPLICAS + 1)
        shards = [shard for service in configuration.services for shard in service.shards]
        self.assertEqual(REPLICAS + 1, sum(len(shard.replicas) for shard in shards))

    def test_sizes_out_of_range_are_refused(self):
        for wrong in ({"nodes": 1}, {"replicas": 0}, {"seconds": 0.0}, {"churn": NODES}):
            self.assertIsNotNone(check(settings(**wrong)), wrong)
        self.assertIsNone(check(settings()))
        self.assertEqual(2, capacity_command.command(nodes=0))


class TestWire(testtools.TestCase):
    def test_what_is_sealed_opens_again(self):
        wire = Wire(b"a key of the tests, long enough")
        sender = node_identity(0, 1)
        for message in (Ping(1, Gossip(Revision(3))), NodeListRequest()):
            self.assertEqual(message, wire.open(wire.seal(sender, message)))
