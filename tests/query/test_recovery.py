"""A tier with stragglers recovers by itself from an overload far above its capacity."""

import random
from dataclasses import replace

from testtools import TestCase

from tests.query.small_tier import SmallTier
from wingquay.model.key_range import KeyRange
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.simulation.models.backend_model import BackendModel

STRAGGLER_SHARE = 0.02
PINGS = 60
BURST = 600


class RecoveryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tier = SmallTier(NodeMachineSettings(), shard_count=2)
        for replica_id, backend in self.tier.backends.items():
            settings = backend.settings
            service_time = replace(settings.service_time, straggler_share=STRAGGLER_SHARE)
            settings = replace(settings, service_time=service_time)
            source = random.Random(replica_id)
            self.tier.backends[replica_id] = BackendModel(settings, source, self.tier.dataset)
        self.tier.run_until(2.0)

    def sorted_ping_latencies(self, name: str) -> list[float]:
        """Return the latencies of pings sent 0.2 s apart, in ascending order."""
        latencies: list[float] = []
        for index in range(PINGS):
            sent_at = self.tier.now
            self.tier.send_request(
                "n0", f"{name}{index}", "outage-ping", (KeyRange.from_key("village-0001"),)
            )
            self.tier.run_until(sent_at + 0.2)
            latencies.append(self.tier.answered_at[f"{name}{index}"] - sent_at)
        return sorted(latencies)

    def test_pings_are_as_fast_after_a_burst_as_before(self) -> None:
        self.sorted_ping_latencies("warm")
        before = self.sorted_ping_latencies("before")
        for index in range(BURST):
            self.tier.send_request("n0", f"sweep{index}", deadline_seconds=3.0)
        self.tier.run_until(self.tier.now + 4.0)
        after = self.sorted_ping_latencies("after")
        p90_index = int(PINGS * 0.9)
        self.assertLess(after[p90_index], before[p90_index] * 1.5)
        self.assertEqual(0, self.tier.nodes["n0"].in_flight())
        self.assertEqual(0, self.tier.nodes["n1"].in_flight())
