"""Owners of a shard get most of the extra arrivals, and the sum over all nodes stays bounded."""

from testtools import TestCase

from wingquay.forwarding.sending.extra_request_budget import (
    OWNERS_RESERVE,
    STEP_IN_PACE,
    ExtraRequestBudget,
)

WINDOW_SECONDS = 10.0
STEPS = 1000


def most_in_a_window(slack: float, nodes: float, pace: float) -> int:
    """Return what one node gets that has saved up all it may and takes all it can."""
    budget = ExtraRequestBudget(0.18, slack, WINDOW_SECONDS)
    budget.spend(nodes, 0.0, pace)
    begun_at = 1000.0
    return sum(
        budget.spend(nodes, begun_at + WINDOW_SECONDS * step / STEPS, pace) for step in range(STEPS)
    )


def most_of_all(slack: float, nodes: int, owners: int) -> int:
    """Return what all nodes get at once if every one of them takes all it can."""
    owned = most_in_a_window(slack, owners * OWNERS_RESERVE, 1.0)
    stepped_in = most_in_a_window(slack, nodes, STEP_IN_PACE)
    return owners * owned + (nodes - owners) * stepped_in


class OwnersTest(TestCase):
    def test_all_nodes_together_stay_within_the_slack(self) -> None:
        for slack, nodes in ((180.0, 70), (164.0, 25), (180.0, 40)):
            self.assertLessEqual(most_of_all(slack, nodes, 3), slack, nodes)

    def test_three_owners_get_a_third_more_than_by_a_reserve_of_two(self) -> None:
        owned = most_in_a_window(180.0, 3 * OWNERS_RESERVE, 1.0)
        self.assertGreaterEqual(owned, 4 / 3 * most_in_a_window(180.0, 3 * 2, 1.0))

    def test_one_that_steps_in_now_and_then_finds_an_arrival(self) -> None:
        budget = ExtraRequestBudget(0.18, 180.0, WINDOW_SECONDS)
        self.assertTrue(budget.spend(70, 0.0, STEP_IN_PACE))
        self.assertFalse(budget.spend(70, 1.0, STEP_IN_PACE))
        self.assertTrue(budget.spend(70, 60.0, STEP_IN_PACE))
