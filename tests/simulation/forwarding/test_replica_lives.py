"""Replicas that start again under their ids: no promise is broken, and what would is caught."""

import random

from testtools import TestCase

from tests.simulation.forwarding.test_soak import (
    FAULTS_OF_A_SOAK,
    LEAST_SERVED_SHARE,
    SOAK,
)
from wingquay.model.replica_record import ReplicaRecord
from wingquay.simulation.forwarding.faults import (
    FAULTS,
    LATER_FAULTS,
    LIFE_FAULTS,
    crashed_keep_ids,
    crashing_request,
    play,
    replicas_born_again,
)
from wingquay.simulation.forwarding.settings import SimulationSettings
from wingquay.simulation.forwarding.simulation import ForwardingSimulation

SHORT = SimulationSettings(seconds=18.0)
ALONE = SimulationSettings(seconds=60.0, single_replicas=1)
SHARED = SimulationSettings(seconds=18.0, shards=6, copies=3, delegate_min_shards=4)


class ReplicaLivesTest(TestCase):
    def test_replicas_that_start_again_break_no_promise(self) -> None:
        for settings in (SHORT, SHARED):
            for seed in range(8):
                result = play(seed, settings, (replicas_born_again,) * 4)
                self.assertEqual((), result.violations, seed)
                self.assertGreater(result.served, result.requests * 0.8, seed)

    def test_requests_that_end_replicas_which_keep_their_ids_break_no_promise(self) -> None:
        for settings in (SHORT, SHARED):
            for seed in range(8):
                result = play(seed, settings, (crashed_keep_ids, *(crashing_request,) * 3))
                self.assertEqual((), result.violations, seed)

    def test_minutes_with_every_fault_break_no_promise(self) -> None:
        drawn = (*FAULTS, *LATER_FAULTS * 3, *LIFE_FAULTS * 6)
        for seed in (9200, 9201, 9202):
            chance = random.Random(f"soak/{seed}")
            faults = tuple(chance.choice(drawn) for _ in range(FAULTS_OF_A_SOAK))
            result = play(seed, SOAK, faults)
            self.assertEqual((), result.violations, seed)
            self.assertGreater(result.served, result.requests * LEAST_SERVED_SHARE, seed)

    def test_a_request_that_ends_one_replica_again_and_again_is_stopped(self) -> None:
        self.assertEqual("", self.violations_of_one_replica())

    def test_that_lives_are_told_apart_is_needed(self) -> None:
        original = ReplicaRecord.__dict__["incarnation"]
        self.addCleanup(setattr, ReplicaRecord, "incarnation", original)
        by_id = property(lambda record: record.replica_id)
        setattr(ReplicaRecord, "incarnation", by_id)  # noqa: B010
        self.assertIn("had ended under it", self.violations_of_one_replica())

    @staticmethod
    def violations_of_one_replica() -> str:
        """Return what is wrong when a service has one replica, which keeps its id."""
        found: list[str] = []
        for seed in range(4):
            simulation = ForwardingSimulation(seed, ALONE, ())
            simulation.keeps_ids = True
            simulation.crashing_targets.add(b"/fetch/deadly")
            chance = random.Random(seed)
            simulation.clock.at(5.0, simulation.callers.repeat, "/fetch/deadly", 14, 3.4, chance)
            found += simulation.run().violations
        return "\n".join(found)
