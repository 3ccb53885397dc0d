"""Guards against wrong conclusions after a suspension of the node's machine."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.forwarding_node import RESUME_SECONDS
from wingquay.ports.forwarding import ForwardFailureKind, ReplyFailure
from wingquay.ports.machine import ProcessResumed
from wingquay.ports.store import StartWatch

SHARDS = 4


def node() -> OneNode:
    """Return a node that started 5 s ago."""
    one = OneNode()
    records = [
        replica(f"r{number}-{copy}", f"s{number}") for number in range(SHARDS) for copy in "ab"
    ]
    routes = (sharded_route(SHARDS), single_route())
    one.start(table(1, *routes), *records, replica("one-a", "s"), replica("one-b", "s"))
    one.advance(5.0)
    return one


def suspend(one: OneNode, seconds: float) -> None:
    """Suspend the node's machine; timers that became due meanwhile fire after it resumes."""
    one.now += seconds
    one.emit(ProcessResumed(seconds))


class SuspensionTest(TestCase):
    def test_overdue_requests_end_immediately_after_a_suspension(self) -> None:
        one = node()
        number = one.request("/one/x", deadline_seconds=2.0)
        suspend(one, 3.0)
        self.assertIsInstance(one.replies[number], ReplyFailure)
        (line,) = one.logs("woken")
        self.assertEqual(
            (3.0, 1, 1),
            tuple(line[name] for name in ("suspended_seconds", "open_requests", "ended_requests")),
        )

    def test_requests_that_can_still_be_in_time_continue(self) -> None:
        one = node()
        number = one.request("/one/x", deadline_seconds=2.0)
        suspend(one, 0.5)
        self.assertNotIn(number, one.replies)
        one.answer(one.sends[0])
        self.assertNotIsInstance(one.replies[number], ReplyFailure)

    def test_requests_that_waited_during_the_suspension_are_rejected_as_not_run(self) -> None:
        one = node()
        suspend(one, 3.0)
        number = one.request("/one/x", deadline_seconds=2.0)
        reply = one.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([], one.sends)

    def test_requests_that_arrive_later_are_served(self) -> None:
        one = node()
        suspend(one, 3.0)
        one.advance(RESUME_SECONDS + 0.01)
        one.request("/one/x", deadline_seconds=2.0)
        self.assertEqual(1, len(one.sends))

    def test_replicas_do_not_count_as_unreachable(self) -> None:
        for seconds in (1.0, 3.0, 8.0, 30.0):
            one = node()
            one.request("/all/x", deadline_seconds=1.0)
            one.advance(0.01)
            suspend(one, seconds)
            one.advance(1.0)
            self.assertEqual([], one.logs("replica_blocked"), seconds)
            one.request("/all/x", deadline_seconds=1.0)
            self.assertEqual(SHARDS, len(one.sends), seconds)

    def test_the_store_is_polled_immediately(self) -> None:
        for seconds in (1.0, 3.0, 8.0, 30.0):
            one = node()
            before = one.last(StartWatch)
            suspend(one, seconds)
            watch = one.last(StartWatch)
            self.assertIsNot(before, watch)
            self.assertEqual(0.0, watch.pause_seconds)

    def test_a_suspension_counts_as_an_outage_of_the_store(self) -> None:
        one = node()
        self.assertFalse(one.machine._directory.is_settling(one.now))
        suspend(one, 8.0)
        self.assertTrue(one.machine._directory.is_settling(one.now))

    def test_only_one_timer_measures_the_processing_lag(self) -> None:
        one = node()
        suspend(one, 3.0)
        one.advance(2.0)
        self.assertLess(one.machine._forwarding.lag.seconds(one.now), 0.01)
