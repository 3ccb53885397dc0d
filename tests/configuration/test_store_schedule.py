"""Back-off with full jitter, and turns among a crowd."""

from random import Random

from testtools import TestCase

from wingquay.configuration.store_schedule import (
    FLEET_REQUESTS_PER_SECOND,
    INITIAL_CEILING_SECONDS,
    MAX_CEILING_SECONDS,
    FullJitterBackoff,
    is_selected,
)

DRAWS = 400


def longest(failures: int, crowd: int = 1) -> float:
    """Return the longest of many delays after so many failures in a row."""
    delays = []
    for seed in range(DRAWS):
        backoff = FullJitterBackoff(Random(seed))
        drawn = [backoff.next_delay_seconds(crowd) for _ in range(failures)]
        delays.append(drawn[-1])
    return max(delays)


class FullJitterBackoffTest(TestCase):
    def test_the_ceiling_doubles_up_to_its_end(self) -> None:
        for failures, ceiling in ((1, 0.25), (2, 0.5), (4, 2.0), (30, MAX_CEILING_SECONDS)):
            reached = longest(failures)
            self.assertLessEqual(reached, ceiling)
            self.assertGreater(reached, 0.9 * ceiling)

    def test_a_crowd_stays_under_its_rate_however_long_the_store_fails(self) -> None:
        crowd = 470
        backoffs = [FullJitterBackoff(Random(seed)) for seed in range(crowd)]
        for _ in range(12):
            delays = [backoff.next_delay_seconds(crowd) for backoff in backoffs]
        rate = crowd / (sum(delays) / crowd)
        self.assertLess(rate, 1.2 * FLEET_REQUESTS_PER_SECOND)

    def test_success_starts_over(self) -> None:
        backoff = FullJitterBackoff(Random(1))
        for _ in range(10):
            backoff.next_delay_seconds()
        backoff.reset()
        self.assertLessEqual(backoff.next_delay_seconds(), INITIAL_CEILING_SECONDS)


class TakesTurnTest(TestCase):
    def test_about_as_many_act_as_wanted_whatever_the_crowd(self) -> None:
        random = Random(2)
        for crowd in (1, 10, 470):
            rounds = 2000
            acting = sum(is_selected(random, crowd, 1.0) for _ in range(crowd * rounds))
            self.assertTrue(0.9 * rounds < acting < 1.1 * rounds)
