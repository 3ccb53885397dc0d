"""What a node does when its machine was suspended."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.forwarding_node import WAKING_SECONDS
from wingquay.ports.forwarding import ForwardFailureKind, ReplyFailure
from wingquay.ports.machine import ProcessResumed
from wingquay.ports.store import StartWatch

SHARDS = 4


def node() -> OneNode:
    """Return a node that has served for a while."""
    one = OneNode()
    records = [
        replica(f"r{number}-{copy}", f"s{number}") for number in range(SHARDS) for copy in "ab"
    ]
    routes = (sharded_route(SHARDS), single_route())
    one.start(table(1, *routes), *records, replica("one-a", "s"), replica("one-b", "s"))
    one.advance(5.0)
    return one


def suspend(one: OneNode, seconds: float) -> None:
    """Let the node's machine be suspended; what became due meanwhile comes after its waking."""
    one.now += seconds
    one.emit(ProcessResumed(seconds))


class SuspensionTest(TestCase):
    def test_what_is_too_late_is_given_up_at_once(self) -> None:
        one = node()
        number = one.request("/one/x", deadline_seconds=2.0)
        suspend(one, 3.0)
        self.assertIsInstance(one.replies[number], ReplyFailure)
        (line,) = one.logs("woken")
        self.assertEqual(
            (3.0, 1, 1),
            tuple(line[name] for name in ("suspended_seconds", "open_requests", "given_up")),
        )

    def test_what_can_still_be_in_time_goes_on(self) -> None:
        one = node()
        number = one.request("/one/x", deadline_seconds=2.0)
        suspend(one, 0.5)
        self.assertNotIn(number, one.replies)
        one.answer(one.sends[0])
        self.assertNotIsInstance(one.replies[number], ReplyFailure)

    def test_requests_that_waited_all_the_while_are_refused_truly(self) -> None:
        one = node()
        suspend(one, 3.0)
        number = one.request("/one/x", deadline_seconds=2.0)
        reply = one.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([], one.sends)

    def test_requests_that_come_after_that_are_served(self) -> None:
        one = node()
        suspend(one, 3.0)
        one.advance(WAKING_SECONDS + 0.01)
        one.request("/one/x", deadline_seconds=2.0)
        self.assertEqual(1, len(one.sends))

    def test_replicas_are_not_taken_for_silent(self) -> None:
        for seconds in (1.0, 3.0, 8.0, 30.0):
            one = node()
            one.request("/all/x", deadline_seconds=1.0)
            one.advance(0.01)
            suspend(one, seconds)
            one.advance(1.0)
            self.assertEqual([], one.logs("replica_left_out"), seconds)
            one.request("/all/x", deadline_seconds=1.0)
            self.assertEqual(SHARDS, len(one.sends), seconds)

    def test_the_store_is_looked_at_at_once(self) -> None:
        for seconds in (1.0, 3.0, 8.0, 30.0):
            one = node()
            before = one.last(StartWatch)
            suspend(one, seconds)
            look = one.last(StartWatch)
            self.assertIsNot(before, look)
            self.assertEqual(0.0, look.pause_seconds)

    def test_records_may_be_missing_as_after_an_outage(self) -> None:
        one = node()
        self.assertFalse(one.machine._directory.is_settling(one.now))
        suspend(one, 8.0)
        self.assertTrue(one.machine._directory.is_settling(one.now))

    def test_how_late_a_node_is_is_measured_by_one_timer_only(self) -> None:
        one = node()
        suspend(one, 3.0)
        one.advance(2.0)
        self.assertLess(one.machine._forwarding.lag.seconds, 0.01)
