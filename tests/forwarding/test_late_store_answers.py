"""A late answer of the store, or a late message, must not postpone the polls of other nodes."""

import dataclasses
import itertools

from testtools import TestCase

from tests.forwarding.proof_fleet import Fleet
from wingquay.forwarding.knowledge.follower_settings import FollowerSettings
from wingquay.forwarding.knowledge.poll_times import poll_interval_within, poll_times_within

SETTLE_SECONDS = 10.0
BETWEEN_CHANGES_SECONDS = 0.15
CUT_SECONDS = 20.0
STEP_SECONDS = 0.05
POLLING_NODE = 0
"""The first node by name, which polls for its group."""


@dataclasses.dataclass(frozen=True)
class Case:
    """One disturbance of the node that polls for its group.

    Parameters
    ----------
    bound_seconds
        Time after the acknowledgement of a configuration by which every node must apply it.
    nodes
        Number of nodes in the group.
    begins_at_seconds
        When the disturbance begins; the moments cover the time between two polls.
    late_seconds
        How late answers or messages are.
    is_cut
        Whether the polling node then loses the store altogether.
    """

    bound_seconds: float
    nodes: int
    begins_at_seconds: float
    late_seconds: float
    is_cut: bool


def draw_cases() -> list[Case]:
    """Return all combinations of bounds, group sizes, moments and delays."""
    bounds = (3.0, 5.0, 8.0)
    sizes = (2, 12)
    moments = tuple(SETTLE_SECONDS + 0.7 * step for step in range(4))
    delays = (0.8, 2.5)
    return [
        Case(*item) for item in itertools.product(bounds, sizes, moments, delays, (True, False))
    ]


def follower_settings(bound_seconds: float) -> FollowerSettings:
    """Return the settings of a platform with this bound and without a revocation bound."""
    return FollowerSettings(
        poll_interval_seconds=poll_interval_within(bound_seconds),
        poll_times=poll_times_within(bound_seconds),
    )


def start_fleet(case: Case) -> Fleet:
    """Return a group in which nothing has changed for a while."""
    fleet = Fleet(follower_settings(case.bound_seconds), case.nodes)
    fleet.run(case.begins_at_seconds, lambda: None)
    return fleet


def late_nodes(fleet: Fleet, bound_seconds: float) -> list[tuple[int, int]]:
    """Return the undisturbed nodes that go by a version past the bound, with the version."""
    required = fleet.required_version(bound_seconds)
    return [
        (node.number, node.machine.configuration_version)
        for node in fleet.nodes
        if node.number != POLLING_NODE and node.machine.configuration_version < required
    ]


class LateStoreAnswersTest(TestCase):
    """The polling node is disturbed while the configuration changes twice in a row."""

    def change_twice(self, fleet: Fleet, case: Case) -> None:
        """Change the configuration twice; check the other nodes until both bounds are over."""

        def check() -> None:
            late = late_nodes(fleet, case.bound_seconds)
            self.assertEqual([], late, (case, fleet.clock.now, fleet.acknowledged_at))

        fleet.configure()
        fleet.run(BETWEEN_CHANGES_SECONDS, check, STEP_SECONDS)
        if case.is_cut:
            fleet.store.cut_off_node(POLLING_NODE, CUT_SECONDS)
        fleet.configure()
        fleet.run(case.bound_seconds + case.late_seconds + 1.0, check, STEP_SECONDS)

    def test_late_answer_to_one_node_keeps_no_other_node_on_an_old_configuration(self) -> None:
        # Guards against nodes that take a late answer for a new one and postpone their polls.
        for case in draw_cases():
            fleet = start_fleet(case)
            fleet.nodes[POLLING_NODE].store_lag_seconds = case.late_seconds
            self.change_twice(fleet, case)

    def test_late_update_keeps_no_node_on_an_old_configuration(self) -> None:
        # Guards against nodes that count the age of an update from its arrival.
        for case in draw_cases():
            fleet = start_fleet(case)
            for node in fleet.nodes:
                node.link_lag_seconds = case.late_seconds
            self.change_twice(fleet, case)
