"""How long a look at the store may take, from the time after which bounds hold again."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.knowledge.poll_times import (
    CONTACT_RESERVE_SECONDS,
    HELD_ANSWER_SECONDS,
    poll_interval_within,
    poll_times_within,
)
from wingquay.ports.store import StartWatch, WatchBroken, WatchChanged


class GatherTest(TestCase):
    def test_the_store_is_looked_at_as_seldom_as_the_bounds_allow(self) -> None:
        self.assertAlmostEqual(1.3, poll_interval_within(3.0))
        self.assertAlmostEqual(3.3, poll_interval_within(5.0))
        for bound_seconds in (0.5, 1.0, 2.0, 3.0, 5.0, 30.0):
            self.assertLess(poll_interval_within(bound_seconds), bound_seconds)
            self.assertGreater(poll_interval_within(bound_seconds), 0.0)


class LookTimesTest(TestCase):
    def test_a_lost_look_and_the_pause_after_it_are_over_before_bounds_hold_again(self) -> None:
        for contact_seconds in (1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 60.0):
            look = poll_times_within(contact_seconds)
            most_seconds = contact_seconds - CONTACT_RESERVE_SECONDS + 1e-9
            held_seconds = look.held_timeout_seconds + look.first_backoff_seconds
            self.assertLessEqual(held_seconds, most_seconds, contact_seconds)
            plain_seconds = look.timeout_seconds + look.most_backoff_seconds
            self.assertLessEqual(plain_seconds, most_seconds, contact_seconds)
            self.assertGreater(look.timeout_seconds, 0.2)
            self.assertGreaterEqual(look.most_backoff_seconds, look.first_backoff_seconds)
            self.assertGreaterEqual(look.hold_seconds, 0.0)

    def test_times_of_usual_deployments(self) -> None:
        for contact_seconds, hold_seconds in ((4.0, 2.45), (5.0, 3.0), (6.0, 3.0)):
            look = poll_times_within(contact_seconds)
            self.assertAlmostEqual(hold_seconds, look.hold_seconds)
            self.assertAlmostEqual(hold_seconds + HELD_ANSWER_SECONDS, look.held_timeout_seconds)
            self.assertEqual((1.5, 2.0), (look.timeout_seconds, look.most_backoff_seconds))


class LostLookTest(TestCase):
    def test_none_is_held_after_a_lost_one_until_one_is_answered(self) -> None:
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
