"""Zones that are cut off in simulated runs: promises hold, and leaving callers serves more."""

import dataclasses
import random

from testtools import TestCase

from wingquay.simulation.forwarding.faults import FAULTS, ZONE_FAULTS, play, zone_cut_off
from wingquay.simulation.forwarding.settings import SimulationSettings

FOUR_ZONES = SimulationSettings(
    nodes=8,
    copies=3,
    shards=8,
    single_replicas=8,
    seconds=16.0,
    requests_per_second=40.0,
    zones=4,
    replica_zones=4,
    sweep_least_share=0.85,
)


class ZoneCutTest(TestCase):
    def test_more_is_served_with_the_decision_than_without(self) -> None:
        shares = {}
        for is_on in (True, False):
            settings = dataclasses.replace(FOUR_ZONES, leaves_when_cut_off=is_on)
            results = [play(seed, settings, (zone_cut_off,)) for seed in range(8)]
            for result in results:
                self.assertEqual((), result.violations, result.seed)
            requests = sum(result.requests for result in results)
            shares[is_on] = sum(result.served for result in results) / requests
        self.assertGreater(shares[True], shares[False] + 0.01)

    def test_promises_hold_through_cuts_and_other_faults(self) -> None:
        settings = dataclasses.replace(FOUR_ZONES, seconds=40.0)
        # In the last one a node of the cut zone goes by a longer time limit than the newest one.
        for seed in (0, 1, 2, 102):
            chance = random.Random(f"cuts/{seed}")
            faults = tuple(chance.choice((*FAULTS, *ZONE_FAULTS * 8)) for _ in range(8))
            result = play(seed, settings, faults)
            self.assertEqual((), result.violations, seed)
