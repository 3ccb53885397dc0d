"""Poll intervals and timeouts keep within the platform's bounds."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.knowledge.poll_times import (
    LONG_POLL_ANSWER_SECONDS,
    RECOVERY_RESERVE_SECONDS,
    poll_interval_within,
    poll_times_within,
)
from wingquay.ports.store import StartWatch, WatchBroken, WatchChanged


class PollIntervalTest(TestCase):
    def test_interval_is_as_long_as_the_bound_allows(self) -> None:
        self.assertAlmostEqual(1.3, poll_interval_within(3.0))
        self.assertAlmostEqual(3.3, poll_interval_within(5.0))
        for bound_seconds in (0.5, 1.0, 2.0, 3.0, 5.0, 30.0):
            self.assertLess(poll_interval_within(bound_seconds), bound_seconds)
            self.assertGreater(poll_interval_within(bound_seconds), 0.0)


class PollTimesTest(TestCase):
    def test_failed_poll_and_backoff_end_before_the_bounds_apply(self) -> None:
        for recovery_seconds in (1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 60.0):
            poll_times = poll_times_within(recovery_seconds)
            max_seconds = recovery_seconds - RECOVERY_RESERVE_SECONDS + 1e-9
            long_poll_seconds = (
                poll_times.long_poll_timeout_seconds + poll_times.first_backoff_seconds
            )
            self.assertLessEqual(long_poll_seconds, max_seconds, recovery_seconds)
            short_poll_seconds = poll_times.timeout_seconds + poll_times.max_backoff_seconds
            self.assertLessEqual(short_poll_seconds, max_seconds, recovery_seconds)
            self.assertGreater(poll_times.timeout_seconds, 0.2)
            self.assertGreaterEqual(
                poll_times.max_backoff_seconds, poll_times.first_backoff_seconds
            )
            self.assertGreaterEqual(poll_times.hold_seconds, 0.0)

    def test_poll_times_for_common_bounds(self) -> None:
        for recovery_seconds, hold_seconds in ((4.0, 2.45), (5.0, 3.0), (6.0, 3.0)):
            poll_times = poll_times_within(recovery_seconds)
            self.assertAlmostEqual(hold_seconds, poll_times.hold_seconds)
            self.assertAlmostEqual(
                hold_seconds + LONG_POLL_ANSWER_SECONDS, poll_times.long_poll_timeout_seconds
            )
            self.assertEqual(
                (1.5, 2.0), (poll_times.timeout_seconds, poll_times.max_backoff_seconds)
            )


class FailedPollTest(TestCase):
    def test_no_long_poll_after_a_failed_poll_until_one_is_answered(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        self.assertGreater(node.last(StartWatch).hold_seconds, 0.0)
        for _ in range(3):
            node.emit(WatchBroken(node.last_watch_id, "no answer"))
            node.advance(2.1)
            self.assertEqual(0.0, node.last(StartWatch).hold_seconds)
            self.assertEqual(1.5, node.last(StartWatch).timeout_seconds)
        node.emit(WatchChanged(node.last_watch_id, (), (), node.store_revision))
        self.assertGreater(node.last(StartWatch).hold_seconds, 0.0)
