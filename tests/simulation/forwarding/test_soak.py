"""A longer run under many faults, one after the other and together."""

import random

from testtools import TestCase

from wingquay.simulation.forwarding.faults import (
    FAULTS,
    LATER_FAULTS,
    SimulatedFault,
    play,
)
from wingquay.simulation.forwarding.settings import SimulationSettings

SOAK = SimulationSettings(
    nodes=8,
    copies=3,
    shards=10,
    seconds=60.0,
    requests_per_second=40.0,
    delegate_min_shards=4,
)
FAULTS_OF_A_SOAK = 20
LEAST_SERVED_SHARE = 0.9


class SoakTest(TestCase):
    """A minute of virtual time each, with a fault every three seconds, so that they overlap."""

    def soak(self, seed: int, drawn: tuple[SimulatedFault, ...] = FAULTS) -> None:
        """Play one minute and check every promise."""
        chance = random.Random(f"soak/{seed}")
        faults = tuple(chance.choice(drawn) for _ in range(FAULTS_OF_A_SOAK))
        result = play(seed, SOAK, faults)
        self.assertEqual((), result.violations, seed)
        self.assertGreater(result.served, result.requests * LEAST_SERVED_SHARE, seed)

    def test_nodes_that_share_work_keep_their_promises_through_a_minute_of_faults(self) -> None:
        self.soak(11)

    def test_a_second_minute(self) -> None:
        self.soak(12)

    def test_a_third_minute(self) -> None:
        self.soak(13)

    def test_a_fourth_minute(self) -> None:
        self.soak(14)

    def test_minutes_with_requests_that_end_replicas_and_suspended_nodes(self) -> None:
        drawn = (*FAULTS, *LATER_FAULTS * 4)
        # In the last one a node adopts seven versions as it wakes, of which it logs five.
        for seed in (9300, 9306, 9427):
            self.soak(seed, drawn)

    def test_the_minute_of_seed_70033(self) -> None:
        """A request that was late between two nodes must not run on a third replica.

        Sequence: a replica's entry has lapsed in an outage of the store, so the asking node knows
        two of three replicas; it delegates a shard to a node whose messages are held up, and asks
        both replicas itself. The delegated request arrives 2.8 s late, when the third replica is
        back, and runs there.
        """
        self.soak(70033)

    def test_the_minute_of_seed_8015(self) -> None:
        """A merged answer is compared with what just its parts' signatures stand for.

        Symptom: an answer merged from 8 of 12 parts lacked two records of one of them.

        Sequence: a node asks a replica of a shard itself after another node, which it had asked for
        that shard, was silent; that one asks the same replica 70 ms later. Both attempts are the
        665th of their nodes. The answer is merged from the first; the second is answered after.

        Cause: the model's replica signed both alike, so that the oracle's book of the first answer
        was overwritten by the second. The nodes had merged what their parts brought.

        What settled it: the same signature, `shard-80-5-96:request-538:665`, told by two nodes.
        """
        self.soak(8015)
