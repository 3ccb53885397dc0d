"""Owners of a shard get most of its extra requests, and the sum over all nodes is bounded."""

from testtools import TestCase

from wingquay.forwarding.sending.extra_request_budget import (
    OWNERS_SLACK_DIVISOR,
    TAKEOVER_REFILL_SHARE,
    ExtraRequestBudget,
)

WINDOW_SECONDS = 10.0
STEPS = 1000


def max_in_window(slack: float, nodes: float, refill_share: float) -> int:
    """Return the extra requests in one window of a node that has saved up all it may."""
    budget = ExtraRequestBudget(0.18, slack, WINDOW_SECONDS)
    budget.spend(nodes, 0.0, refill_share)
    started_at = 1000.0
    return sum(
        budget.spend(nodes, started_at + WINDOW_SECONDS * step / STEPS, refill_share)
        for step in range(STEPS)
    )


def max_of_all_nodes(slack: float, nodes: int, owners: int) -> int:
    """Return the extra requests in one window if every node takes all it may."""
    owned = max_in_window(slack, owners * OWNERS_SLACK_DIVISOR, 1.0)
    taken_over = max_in_window(slack, nodes, TAKEOVER_REFILL_SHARE)
    return owners * owned + (nodes - owners) * taken_over


class OwnersTest(TestCase):
    def test_all_nodes_together_stay_within_the_slack(self) -> None:
        for slack, nodes in ((180.0, 70), (164.0, 25), (180.0, 40)):
            self.assertLessEqual(max_of_all_nodes(slack, nodes, 3), slack, nodes)

    def test_owners_get_a_third_more_than_with_a_divisor_of_two(self) -> None:
        owned = max_in_window(180.0, 3 * OWNERS_SLACK_DIVISOR, 1.0)
        self.assertGreaterEqual(owned, 4 / 3 * max_in_window(180.0, 3 * 2, 1.0))

    def test_a_node_that_rarely_takes_over_has_an_extra_request(self) -> None:
        budget = ExtraRequestBudget(0.18, 180.0, WINDOW_SECONDS)
        self.assertTrue(budget.spend(70, 0.0, TAKEOVER_REFILL_SHARE))
        self.assertFalse(budget.spend(70, 1.0, TAKEOVER_REFILL_SHARE))
        self.assertTrue(budget.spend(70, 60.0, TAKEOVER_REFILL_SHARE))
