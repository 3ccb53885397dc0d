"""Nodes whose machines are suspended for seconds, alone, one after the other and in an outage."""

from testtools import TestCase

from wingquay.simulation.forwarding.faults import (
    configuration_storm,
    crashing_request,
    node_suspended,
    replica_drains,
    reshard,
    store_down,
    zone_evacuated,
)
from wingquay.simulation.forwarding.settings import SimulationSettings
from wingquay.simulation.forwarding.simulation import ForwardingSimulation, SimulatedFault

SETTINGS = SimulationSettings(
    nodes=6, copies=3, shards=8, seconds=40.0, requests_per_second=30.0, delegate_min_shards=4
)
WITH_EACH: tuple[tuple[SimulatedFault, ...], ...] = (
    (),
    (store_down,) * 3,
    (replica_drains,) * 6,
    (reshard,) * 2,
    (configuration_storm, zone_evacuated),
    (crashing_request,) * 2,
)


class SuspensionTest(TestCase):
    def test_every_promise_is_kept_by_nodes_that_are_suspended(self) -> None:
        for seed, others in enumerate(WITH_EACH):
            simulation = ForwardingSimulation(seed, SETTINGS, (*(node_suspended,) * 5, *others))
            self.assertEqual((), simulation.run().violations, seed)
            self.assertNotEqual({}, simulation.oracle.suspended, seed)

    def test_a_node_adopts_what_changed_meanwhile_as_it_wakes(self) -> None:
        for seconds in (1.0, 3.0, 8.0, 30.0):
            newest, adopted = self.versions_after(seconds)
            self.assertEqual(newest, adopted, seconds)

    def versions_after(self, seconds: float) -> tuple[int, int]:
        """Return the newest version, and that by which a node goes that has just woken."""
        simulation = ForwardingSimulation(1, SETTINGS, ())
        clock = simulation.clock
        versions: list[tuple[int, int]] = []

        def look() -> None:
            newest = simulation.oracle.tables[-1][1].version
            versions.append((newest, simulation.nodes[0].configuration_version))

        clock.at(6.0, simulation.suspend_node, 0, seconds)
        clock.at(6.5, simulation.change_configuration)
        clock.at(6.0 + seconds + 0.1, look)
        simulation.run()
        return versions[0]
