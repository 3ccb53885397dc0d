"""A longer run under many faults, one after the other and together."""

import random

from testtools import TestCase

from wingquay.simulation.forwarding.faults import FAULTS, play
from wingquay.simulation.forwarding.settings import SimulationSettings

SOAK = SimulationSettings(
    nodes=8,
    copies=3,
    shards=10,
    seconds=60.0,
    requests_per_second=40.0,
    delegate_least_shards=4,
)
FAULTS_OF_A_SOAK = 20
SEED = 11


class SoakTest(TestCase):
    def test_nodes_that_share_work_keep_their_promises_through_a_minute_of_faults(self) -> None:
        chance = random.Random(f"soak/{SEED}")
        faults = tuple(chance.choice(FAULTS) for _ in range(FAULTS_OF_A_SOAK))
        result = play(SEED, SOAK, faults)
        self.assertEqual((), result.violations)
        self.assertGreater(result.served, result.requests * 0.9)
