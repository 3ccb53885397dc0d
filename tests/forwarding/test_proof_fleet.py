"""No node serves a revoked key past the bound, whatever faults occur."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from testtools import TestCase

from tests.forwarding.proof_fleet import Fleet, FleetNode
from tests.forwarding.test_configuration_proof import BOUND_SECONDS, strict_settings
from wingquay.forwarding.knowledge.follower_settings import FollowerSettings
from wingquay.forwarding.knowledge.proof_poll_times import ProofPollMode
from wingquay.simulation.forwarding.store import LOOK

NODES = 3
NUMBERS = st.integers(0, NODES - 1)
SECONDS = st.floats(0.05, 9.0)
LAGS = st.sampled_from([0.0, 0.7, 2.5, 6.0, 9.0])
MAX_AGE_SECONDS = 3.2
"""The proof age at which a node polls by itself."""
RECOVERY_SECONDS = 12.0
"""Time in which all nodes exchange proofs and poll again after the last fault."""


def age_seconds(node: FleetNode) -> float:
    """Return the age of a node's proof."""
    return node.machine._proof_manager.age_seconds(node.now)


def overdue_nodes(fleet: Fleet) -> list[tuple[int, int]]:
    """Return the nodes that serve keys by a version past the bound, with the version."""
    due = fleet.required_version(BOUND_SECONDS)
    return [
        (node.number, node.machine.configuration_version)
        for node in fleet.nodes
        if node.is_awake and node.is_proven and node.machine.configuration_version < due
    ]


class RevocationHistory(RuleBasedStateMachine):
    """Revokes keys while nodes, links and the store fail in any order."""

    @initialize(mode=st.sampled_from(ProofPollMode), seconds=SECONDS)
    def start(self, mode: ProofPollMode, seconds: float) -> None:
        self.fleet = Fleet(strict_settings(mode), NODES)
        self.advance(seconds)

    def check(self) -> None:
        late = overdue_nodes(self.fleet)
        assert not late, (self.fleet.clock.now, self.fleet.acknowledged_at, late)

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        self.fleet.run(seconds, self.check)

    @rule()
    def revoke_key(self) -> None:
        self.fleet.configure()

    @rule(seconds=SECONDS)
    def store_outage(self, seconds: float) -> None:
        self.fleet.store.take_down(seconds)

    @rule(seconds=SECONDS)
    def store_holds_polls_too_long(self, seconds: float) -> None:
        self.fleet.store.deaf_until = self.fleet.clock.now + seconds

    @rule(seconds=SECONDS)
    def store_is_slow(self, seconds: float) -> None:
        self.fleet.store.slow_until = self.fleet.clock.now + seconds

    @rule(seconds=SECONDS)
    def store_rejects_polls(self, seconds: float) -> None:
        self.fleet.busy_until = self.fleet.clock.now + seconds

    @rule()
    def store_drops_history(self) -> None:
        self.fleet.store.forget_history()

    @rule(number=NUMBERS, seconds=SECONDS)
    def node_loses_the_store(self, number: int, seconds: float) -> None:
        self.fleet.store.cut_off_node(number, seconds)

    @rule(number=NUMBERS, seconds=SECONDS, lag_seconds=LAGS)
    def node_depends_on_updates(self, number: int, seconds: float, lag_seconds: float) -> None:
        self.fleet.store.cut_off_node(number, 2.0 * seconds)
        self.fleet.nodes[number].link_lag_seconds = lag_seconds
        self.advance(seconds)
        self.fleet.configure()
        self.advance(seconds)

    @rule(number=NUMBERS)
    def node_loses_its_links(self, number: int) -> None:
        self.fleet.links.cut.add(number)

    @rule(number=NUMBERS)
    def node_regains_its_links(self, number: int) -> None:
        self.fleet.links.heal(number)

    @rule(number=NUMBERS, seconds=LAGS)
    def messages_of_nodes_are_delayed(self, number: int, seconds: float) -> None:
        self.fleet.nodes[number].link_lag_seconds = seconds

    @rule(number=NUMBERS, seconds=LAGS)
    def answers_of_the_store_are_delayed(self, number: int, seconds: float) -> None:
        self.fleet.nodes[number].store_lag_seconds = seconds

    @rule(number=NUMBERS, seconds=SECONDS)
    def node_is_suspended(self, number: int, seconds: float) -> None:
        if self.fleet.nodes[number].is_awake:
            self.fleet.nodes[number].suspend(seconds)

    @rule(number=NUMBERS)
    def node_restarts(self, number: int) -> None:
        self.fleet.restart(number)

    @rule()
    def all_nodes_restart(self) -> None:
        for number in range(NODES):
            self.fleet.restart(number)

    @rule()
    def all_faults_end(self) -> None:
        fleet = self.fleet
        ended_at = [fleet.clock.now, fleet.busy_until, fleet.store.down_until]
        ended_at += [fleet.store.deaf_until, fleet.store.slow_until, *fleet.store.cut_off.values()]
        for node in fleet.nodes:
            ended_at.append(node.suspended_until)
            node.link_lag_seconds = node.store_lag_seconds = 0.0
            fleet.links.heal(node.number)
        self.advance(max(ended_at) - fleet.clock.now + RECOVERY_SECONDS)
        assert all(node.is_proven for node in fleet.nodes)
        assert {node.machine.configuration_version for node in fleet.nodes} == {fleet.version}


RevocationHistoryTest = RevocationHistory.TestCase
RevocationHistoryTest.settings = settings(max_examples=200, stateful_step_count=25)


class StartTest(TestCase):
    def test_node_started_in_a_store_outage_serves_by_proofs_of_others(self) -> None:
        for mode in ProofPollMode:
            fleet = Fleet(strict_settings(mode), 12)
            fleet.run(10.0, lambda: None)
            fleet.store.cut_off_node(3, 20.0)
            fleet.restart(3)
            # The copy arrives when the node's own read fails; then the link opens and it requests
            # proofs.
            self.run_checked(fleet, 2.5)
            for _ in range(15):
                fleet.configure()
                self.run_checked(fleet, 1.0)
                self.assertTrue(fleet.nodes[3].is_proven)

    def run_checked(self, fleet: Fleet, seconds: float) -> None:
        fleet.run(seconds, lambda: self.assertEqual([], overdue_nodes(fleet)))

    def test_nodes_that_start_together_are_proven_by_their_listings(self) -> None:
        for mode in ProofPollMode:
            fleet = Fleet(strict_settings(mode), 12)
            for _ in range(2):
                fleet.run(0.2, lambda: None)
                self.assertTrue(all(node.is_proven for node in fleet.nodes))
                for node in list(fleet.nodes):
                    fleet.restart(node.number)
                self.assertFalse(any(node.is_proven for node in fleet.nodes))


class NoFaultsTest(TestCase):
    """70 nodes in four zones without faults, while keys are revoked from time to time."""

    def run_fleet(self, follower: FollowerSettings) -> Fleet:
        fleet = Fleet(follower, 70, 4)
        fleet.run(5.0, lambda: None)
        for _ in range(4):
            fleet.configure()
            fleet.run(13.0, lambda: self.check(fleet))
        return fleet

    def check(self, fleet: Fleet) -> None:
        if fleet.follower.proof_poll_times is not None:
            self.assertTrue(max(age_seconds(node) for node in fleet.nodes) < MAX_AGE_SECONDS)
            self.assertEqual([], overdue_nodes(fleet))

    def test_proofs_stay_fresh_with_few_polls(self) -> None:
        polls = {
            "none": self.run_fleet(
                dataclasses.replace(strict_settings(), proof_poll_times=None)
            ).store.calls[LOOK]
        }
        for mode in ProofPollMode:
            fleet = self.run_fleet(strict_settings(mode))
            polls[mode.value] = fleet.store.calls[LOOK]
            messages = [line.message for node in fleet.nodes for line in node.logs]
            self.assertNotIn("configuration_unproven", messages)
        self.assertTrue(polls["short"] < polls["none"] < polls["held"], polls)
        self.assertTrue(polls["held"] < 1.5 * polls["none"], polls)
