"""No node of several serves a key for longer than the bound, whatever happens between them."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from testtools import TestCase

from tests.forwarding.proof_fleet import Fleet, FleetNode
from tests.forwarding.test_configuration_proof import BOUND_SECONDS, strict
from wingquay.forwarding.knowledge.follower_settings import FollowerSettings
from wingquay.forwarding.knowledge.proof_poll_times import ProofPollMode

NODES = 3
NUMBERS = st.integers(0, NODES - 1)
SECONDS = st.floats(0.05, 9.0)
LAGS = st.sampled_from([0.0, 0.7, 2.5, 6.0, 9.0])
CALM_AGE_SECONDS = 3.2
"""A look of a node's own is due then; a second and a half later it would be too late for it."""
CALM_SECONDS = 12.0
"""Time in which every node has asked, been answered and looked again after the last trouble."""


def age_seconds(node: FleetNode) -> float:
    """Return how long ago the configuration of a node was proven."""
    return node.machine._proof_manager.age_seconds(node.now)


def overdue(fleet: Fleet) -> list[tuple[int, int]]:
    """Return the nodes that serve keys by a version older than the bound allows, and by which."""
    due = fleet.version_due(BOUND_SECONDS)
    return [
        (node.number, node.machine.configuration_version)
        for node in fleet.nodes
        if node.is_awake and node.is_proven and node.machine.configuration_version < due
    ]


class RevocationHistory(RuleBasedStateMachine):
    """Keys are taken away while nodes, links and the store fail in any order."""

    @initialize(way=st.sampled_from(ProofPollMode), seconds=SECONDS)
    def start(self, way: ProofPollMode, seconds: float) -> None:
        self.fleet = Fleet(strict(way), NODES)
        self.advance(seconds)

    def check(self) -> None:
        late = overdue(self.fleet)
        assert not late, (self.fleet.clock.now, self.fleet.acknowledged_at, late)

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        self.fleet.run(seconds, self.check)

    @rule()
    def take_a_key_away(self) -> None:
        self.fleet.configure()

    @rule(seconds=SECONDS)
    def store_is_silent(self, seconds: float) -> None:
        self.fleet.store.take_down(seconds)

    @rule(seconds=SECONDS)
    def store_holds_looks_on(self, seconds: float) -> None:
        self.fleet.store.deaf_until = self.fleet.clock.now + seconds

    @rule(seconds=SECONDS)
    def store_is_slow(self, seconds: float) -> None:
        self.fleet.store.slow_until = self.fleet.clock.now + seconds

    @rule(seconds=SECONDS)
    def store_turns_looks_away(self, seconds: float) -> None:
        self.fleet.busy_until = self.fleet.clock.now + seconds

    @rule()
    def store_forgets(self) -> None:
        self.fleet.store.forget_history()

    @rule(number=NUMBERS, seconds=SECONDS)
    def node_loses_the_store(self, number: int, seconds: float) -> None:
        self.fleet.store.cut_off_node(number, seconds)

    @rule(number=NUMBERS, seconds=SECONDS, lag_seconds=LAGS)
    def node_goes_by_others(self, number: int, seconds: float, lag_seconds: float) -> None:
        self.fleet.store.cut_off_node(number, 2.0 * seconds)
        self.fleet.nodes[number].link_lag_seconds = lag_seconds
        self.advance(seconds)
        self.fleet.configure()
        self.advance(seconds)

    @rule(number=NUMBERS)
    def node_loses_the_others(self, number: int) -> None:
        self.fleet.links.cut.add(number)

    @rule(number=NUMBERS)
    def node_has_the_others_back(self, number: int) -> None:
        self.fleet.links.heal(number)

    @rule(number=NUMBERS, seconds=LAGS)
    def what_others_say_is_late(self, number: int, seconds: float) -> None:
        self.fleet.nodes[number].link_lag_seconds = seconds

    @rule(number=NUMBERS, seconds=LAGS)
    def what_the_store_says_is_late(self, number: int, seconds: float) -> None:
        self.fleet.nodes[number].store_lag_seconds = seconds

    @rule(number=NUMBERS, seconds=SECONDS)
    def node_is_suspended(self, number: int, seconds: float) -> None:
        if self.fleet.nodes[number].is_awake:
            self.fleet.nodes[number].suspend(seconds)

    @rule(number=NUMBERS)
    def node_starts_anew(self, number: int) -> None:
        self.fleet.restart(number)

    @rule()
    def all_nodes_start_anew(self) -> None:
        for number in range(NODES):
            self.fleet.restart(number)

    @rule()
    def trouble_ends(self) -> None:
        fleet = self.fleet
        ended_at = [fleet.clock.now, fleet.busy_until, fleet.store.down_until]
        ended_at += [fleet.store.deaf_until, fleet.store.slow_until, *fleet.store.cut_off.values()]
        for node in fleet.nodes:
            ended_at.append(node.suspended_until)
            node.link_lag_seconds = node.store_lag_seconds = 0.0
            fleet.links.heal(node.number)
        self.advance(max(ended_at) - fleet.clock.now + CALM_SECONDS)
        assert all(node.is_proven for node in fleet.nodes)
        assert {node.machine.configuration_version for node in fleet.nodes} == {fleet.version}


RevocationHistoryTest = RevocationHistory.TestCase
RevocationHistoryTest.settings = settings(max_examples=200, stateful_step_count=25)


class StartTest(TestCase):
    def test_a_node_that_starts_without_the_store_serves_by_what_others_prove(self) -> None:
        for way in ProofPollMode:
            fleet = Fleet(strict(way), 12)
            fleet.run(10.0, lambda: None)
            fleet.store.cut_off_node(3, 20.0)
            fleet.restart(3)
            # The copy comes when its own reading is lost; the link opens and it asks.
            self.run_checked(fleet, 2.5)
            for _ in range(15):
                fleet.configure()
                self.run_checked(fleet, 1.0)
                self.assertTrue(fleet.nodes[3].is_proven)

    def run_checked(self, fleet: Fleet, seconds: float) -> None:
        fleet.run(seconds, lambda: self.assertEqual([], overdue(fleet)))

    def test_nodes_that_all_start_at_once_are_proven_by_their_listings(self) -> None:
        for way in ProofPollMode:
            fleet = Fleet(strict(way), 12)
            for _ in range(2):
                fleet.run(0.2, lambda: None)
                self.assertTrue(all(node.is_proven for node in fleet.nodes))
                for node in list(fleet.nodes):
                    fleet.restart(node.number)
                self.assertFalse(any(node.is_proven for node in fleet.nodes))


class CalmTest(TestCase):
    """70 nodes in four zones: nothing happens but that keys are taken away now and then."""

    def played(self, follower: FollowerSettings) -> Fleet:
        fleet = Fleet(follower, 70, 4)
        fleet.run(5.0, lambda: None)
        for _ in range(4):
            fleet.configure()
            fleet.run(13.0, lambda: self.check(fleet))
        return fleet

    def check(self, fleet: Fleet) -> None:
        if fleet.follower.proof_poll_times is not None:
            self.assertTrue(max(age_seconds(node) for node in fleet.nodes) < CALM_AGE_SECONDS)
            self.assertEqual([], overdue(fleet))

    def test_no_node_comes_near_the_bound_and_few_looks_are_made(self) -> None:
        looks = {
            "none": self.played(dataclasses.replace(strict(), proof_poll_times=None)).store.looks
        }
        for way in ProofPollMode:
            fleet = self.played(strict(way))
            looks[way.value] = fleet.store.looks
            messages = [line.message for node in fleet.nodes for line in node.logs]
            self.assertNotIn("configuration_unproven", messages)
        self.assertTrue(looks["short"] < looks["none"] < looks["held"], looks)
        self.assertTrue(looks["held"] < 1.5 * looks["none"], looks)
