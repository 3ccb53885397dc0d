"""Stateful fuzzing: no order of faults runs a key twice, and claims work again afterwards."""

import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from testtools import TestCase

from tests.claims.claims_cluster import ClaimsCluster
from tests.claims.faults import STEPS, WEIGHTS, take_random_steps
from wingquay.ports.internal import ClaimDecisionKind

SEEDS = st.integers(min_value=0, max_value=2**32)
STEP_NAMES = tuple(name for name in STEPS for _ in range(WEIGHTS.get(name, 1)))


class ClaimsFuzz(RuleBasedStateMachine):
    """Draws random steps; Hypothesis shrinks a failing sequence."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = ClaimsCluster(1, 1)

    @initialize(
        zone_count=st.integers(min_value=1, max_value=4),
        nodes_per_zone=st.integers(min_value=1, max_value=2),
        seed=SEEDS,
        settles=st.booleans(),
    )
    def begin(self, zone_count: int, nodes_per_zone: int, seed: int, settles: bool) -> None:
        self.cluster = ClaimsCluster(zone_count, nodes_per_zone, seed)
        if settles:
            self.cluster.settle()

    @rule(name=st.sampled_from(STEP_NAMES), seed=SEEDS)
    def step(self, name: str, seed: int) -> None:
        STEPS[name](self.cluster, random.Random(seed))

    @invariant()
    def no_key_ran_twice(self) -> None:
        assert self.cluster.violations == []

    @invariant()
    def memory_is_accounted_for(self) -> None:
        for node in self.cluster.running():
            report = node.machine.report()
            assert report.records >= 0
            assert report.outcome_bytes >= 0

    def teardown(self) -> None:
        """End all faults; once the rebuild wait is over, a new key must be granted."""
        cluster = self.cluster
        if cluster.violations:
            return
        cluster.heal()
        for zone in cluster.zones:
            if not any(not node.leaving for node in cluster.running(zone)):
                cluster.start_node(zone)
        cluster.send_membership()
        cluster.advance(cluster.settings.rebuild_wait_seconds + 180.0)
        submission = cluster.submit(cluster.running()[0], "new")
        cluster.advance(3.0)
        assert submission.decision is ClaimDecisionKind.GRANTED, submission
        assert cluster.violations == []


FUZZ_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.timeout(300)
class TestClaimsFuzz(ClaimsFuzz.TestCase):  # type: ignore[name-defined, misc]
    settings = FUZZ_SETTINGS


class RandomSteps(TestCase):
    """Sequences from fixed seeds that are longer than those that Hypothesis draws."""

    def test_no_key_runs_twice(self) -> None:
        for seed in range(8):
            cluster = ClaimsCluster(1 + seed % 4, 1 + seed // 4 % 2, seed)
            cluster.settle()
            steps = take_random_steps(cluster, random.Random(seed), 60)
            self.assertEqual([], cluster.violations, (seed, steps))
