"""Backoff with full jitter, and random selection among many nodes."""

from random import Random

from testtools import TestCase

from wingquay.configuration.store_schedule import (
    CLUSTER_REQUESTS_PER_SECOND,
    INITIAL_CEILING_SECONDS,
    MAX_CEILING_SECONDS,
    FullJitterBackoff,
    is_selected,
)

DRAWS = 400


def max_delay(failures: int, node_count: int = 1) -> float:
    """Return the maximum of ``DRAWS`` delays after ``failures`` consecutive failures."""
    delays = []
    for seed in range(DRAWS):
        backoff = FullJitterBackoff(Random(seed))
        drawn = [backoff.next_delay_seconds(node_count) for _ in range(failures)]
        delays.append(drawn[-1])
    return max(delays)


class FullJitterBackoffTest(TestCase):
    def test_ceiling_doubles_up_to_its_maximum(self) -> None:
        for failures, ceiling in ((1, 0.25), (2, 0.5), (4, 2.0), (30, MAX_CEILING_SECONDS)):
            reached = max_delay(failures)
            self.assertLessEqual(reached, ceiling)
            self.assertGreater(reached, 0.9 * ceiling)

    def test_many_nodes_stay_below_the_rate_limit_while_the_store_fails(self) -> None:
        node_count = 470
        backoffs = [FullJitterBackoff(Random(seed)) for seed in range(node_count)]
        for _ in range(12):
            delays = [backoff.next_delay_seconds(node_count) for backoff in backoffs]
        rate = node_count / (sum(delays) / node_count)
        self.assertLess(rate, 1.2 * CLUSTER_REQUESTS_PER_SECOND)

    def test_reset_restores_the_initial_ceiling(self) -> None:
        backoff = FullJitterBackoff(Random(1))
        for _ in range(10):
            backoff.next_delay_seconds()
        backoff.reset()
        self.assertLessEqual(backoff.next_delay_seconds(), INITIAL_CEILING_SECONDS)


class IsSelectedTest(TestCase):
    def test_number_of_selected_nodes_does_not_depend_on_node_count(self) -> None:
        random = Random(2)
        for node_count in (1, 10, 470):
            rounds = 2000
            acting = sum(is_selected(random, node_count, 1.0) for _ in range(node_count * rounds))
            self.assertTrue(0.9 * rounds < acting < 1.1 * rounds)
