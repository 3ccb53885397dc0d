"""Requests to a single service: retries, hedges, rejections, and no second run if unrepeatable."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.model.routing_table import WeightedService
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyUnchanged,
    SendFailureKind,
)


def node_with(*, replicas: int = 2, **route: object) -> OneNode:
    node = OneNode()
    records = [replica(f"r{number}", "s") for number in range(replicas)]
    node.start(table(1, single_route(**route)), *records)
    return node


class ArrivalTest(TestCase):
    def test_without_a_configuration_a_request_is_rejected_as_not_run(self) -> None:
        node = OneNode()
        node.start(None)
        reply = node.replies[node.request()]
        self.assertIsInstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertIsNotNone(reply.retry_after_seconds)

    def test_a_request_that_matches_no_route_is_rejected(self) -> None:
        node = node_with()
        for number in (node.request("/other/x"), node.request(host="other.example")):
            self.assertIs(ForwardFailureKind.NO_ROUTE, node.replies[number].kind)
        self.assertEqual([], node.all_sends)

    def test_the_answer_is_returned_unchanged(self) -> None:
        node = node_with()
        number = node.request()
        node.answer(node.sends[0], body=b"body")
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyUnchanged)
        self.assertEqual(b"body", reply.answer.body)

    def test_the_replica_receives_the_remaining_time(self) -> None:
        node = node_with(timeout_seconds=9.0)
        node.request(deadline_seconds=1.5)
        self.assertLessEqual(node.sends[0].remaining_seconds, 1.5)
        node = node_with(timeout_seconds=0.7)
        node.request(deadline_seconds=9.0)
        self.assertLessEqual(node.sends[0].remaining_seconds, 0.7)

    def test_requests_are_divided_exactly_by_weight(self) -> None:
        parts = (WeightedService("s", 3.0), WeightedService("t", 1.0))
        node = OneNode()
        route = single_route(services=parts)
        node.start(table(1, route), replica("r0", "s"), replica("r1", "t"))
        for _ in range(40):
            node.request()
            node.answer(node.sends[0])
        to_s = sum(send.replica.service == "s" for send in node.all_sends)
        self.assertEqual(30, to_s)


class RetryTest(TestCase):
    def test_a_request_that_was_not_run_is_sent_to_another_replica(self) -> None:
        node = node_with(is_repeatable=False)
        number = node.request()
        first = node.sends[0]
        node.answer(first, 503, not_run=True, signature=None)
        second = node.sends[0]
        self.assertNotEqual(first.replica.replica_id, second.replica.replica_id)
        node.answer(second)
        self.assertIsInstance(node.replies[number], ReplyUnchanged)

    def test_a_replica_whose_address_belongs_to_another_one_is_no_longer_used(self) -> None:
        node = node_with()
        number = node.request()
        first = node.sends[0]
        node.answer(first, 421, is_other_replica=True, signature=None)
        node.answer(node.sends[0])
        self.assertIsInstance(node.replies[number], ReplyUnchanged)
        for _ in range(4):
            node.request()
        later = {send.replica.replica_id for send in node.sends}
        self.assertNotIn(first.replica.replica_id, later)

    def test_an_unrepeatable_request_that_may_have_run_is_not_sent_again(self) -> None:
        for kind in (SendFailureKind.BROKEN, SendFailureKind.MALFORMED):
            node = node_with(is_repeatable=False)
            number = node.request()
            node.fail(node.sends[0], kind)
            node.advance(5.0)
            self.assertEqual(1, len(node.all_sends))
            self.assertIs(ForwardFailureKind.FAILED, node.replies[number].kind)

    def test_an_unrepeatable_request_is_never_hedged(self) -> None:
        node = node_with(is_repeatable=False)
        number = node.request()
        node.advance(5.0)
        self.assertEqual(1, len(node.all_sends))
        self.assertIs(ForwardFailureKind.TIMED_OUT, node.replies[number].kind)

    def test_an_unrepeatable_request_of_which_no_byte_was_sent_is_sent_again(self) -> None:
        node = node_with(is_repeatable=False)
        number = node.request()
        node.fail(node.sends[0], SendFailureKind.NOT_SENT)
        node.answer(node.sends[0])
        self.assertIsInstance(node.replies[number], ReplyUnchanged)

    def test_max_attempts_limits_the_replicas_that_run_a_request(self) -> None:
        node = node_with(replicas=5, max_attempts=2)
        number = node.request()
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        node.advance(3.0)
        self.assertEqual(2, len(node.all_sends))
        self.assertIs(ForwardFailureKind.FAILED, node.replies[number].kind)

    def test_a_failure_of_a_replica_is_returned_if_no_attempt_succeeds(self) -> None:
        node = node_with()
        number = node.request()
        node.answer(node.sends[0], 500)
        node.answer(node.sends[0], 500)
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyUnchanged)
        self.assertEqual(500, reply.answer.status)

    def test_a_slow_attempt_is_hedged_and_the_first_answer_is_returned(self) -> None:
        node = node_with()
        number = node.request()
        node.advance(0.2)
        self.assertEqual(2, len(node.sends))
        node.answer(node.sends[1], body=b"second")
        self.assertEqual(b"second", node.replies[number].answer.body)
        node.advance(0.3)
        self.assertEqual([node.all_sends[0].attempt_id], node.cancelled)


class BudgetTest(TestCase):
    def test_extra_arrivals_of_every_window_stay_within_the_budget_of_the_node(self) -> None:
        node = node_with(replicas=4)
        requested_at: list[float] = []
        extra: list[float] = []
        for _ in range(300):
            requested_at.append(node.now)
            node.request()
            before = len(node.all_sends)
            node.advance(0.2)
            extra += [node.now] * (len(node.all_sends) - before)
            for send in list(node.sends):
                node.answer(send)
        self.assertGreater(len(extra), 30)
        for start in requested_at:
            in_window = sum(start <= at < start + 10.0 for at in extra)
            own = sum(start <= at < start + 10.0 for at in requested_at)
            self.assertLessEqual(in_window, 0.2 * own + 56 / 12)

    def test_an_attempt_of_which_no_byte_was_sent_costs_no_budget(self) -> None:
        node = node_with(replicas=2)
        for _ in range(30):
            number = node.request()
            node.fail(node.sends[0], SendFailureKind.NOT_SENT)
            node.advance(0.1)
            node.answer(node.sends[0])
            self.assertIsInstance(node.replies[number], ReplyUnchanged)


class ExchangeEndTest(TestCase):
    def test_a_request_that_no_replica_can_take_is_rejected_early(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "other"))
        node.advance(10.0)
        number = node.request()
        node.advance(0.1)
        reply = node.replies[number]
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertGreater(reply.retry_after_seconds, 0.0)

    def test_requests_that_wait_for_a_connection_are_sent_by_priority(self) -> None:
        node = OneNode()
        urgent = single_route("/urgent/", priority=0, objective_seconds=2.0)
        usual = single_route("/usual/", priority=2, objective_seconds=2.0)
        node.start(table(1, urgent, usual, connections=12), replica("r0", "s"))
        first = node.request("/usual/1")
        node.request("/usual/2")
        third = node.request("/urgent/3")
        node.answer(node.sends[0])
        self.assertIn(first, node.replies)
        self.assertEqual(f"id-{third}", node.sends[0].request_id)

    def test_attempts_are_cancelled_soon_after_the_caller_left(self) -> None:
        node = node_with()
        number = node.request()
        node.leave(number)
        node.advance(0.5)
        self.assertEqual([1], node.cancelled)
        self.assertNotIn(number, node.replies)

    def test_a_failure_is_logged_with_its_request_id(self) -> None:
        node = node_with(is_repeatable=False)
        node.request()
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        line = node.logs("request_ended")[0]
        self.assertEqual("id-1", line["request_id"])
        self.assertEqual("failed", line["outcome"])
        self.assertIn("broken", str(line["unanswered"]))


class LogLimitTest(TestCase):
    def test_log_lines_of_failures_are_limited_and_dropped_lines_are_counted(self) -> None:
        node = node_with(is_repeatable=False)
        for _ in range(100):
            node.request()
            node.fail(node.sends[0], SendFailureKind.MALFORMED)
        self.assertEqual(20, len(node.logs("request_ended")))
        node.advance(1.0)
        node.request()
        node.fail(node.sends[0], SendFailureKind.MALFORMED)
        self.assertEqual(80, node.logs("request_ended")[-1]["lines_left_out"])

    def test_an_unreachable_replica_and_its_return_are_logged(self) -> None:
        node = node_with()
        node.request()
        lost = node.sends[0]
        node.fail(lost, SendFailureKind.NOT_SENT)
        line = node.logs("replica_blocked")[0]
        self.assertEqual(lost.replica.replica_id, line["replica"])
        node.answer(node.sends[0])
        node.advance(1.0)
        for _ in range(4):
            node.request()
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(lost.replica.replica_id, node.logs("replica_unblocked")[0]["replica"])


class ReplicaPreferenceTest(TestCase):
    def test_replicas_that_answered_fast_are_preferred_to_unknown_ones(self) -> None:
        # With some seeds the first replica is a slow one: its answers must not make it preferred.
        for seed in range(12):
            self.assertLessEqual(self.requests_to_slow_replicas(seed), 6, seed)

    def requests_to_slow_replicas(self, seed: int) -> int:
        node = OneNode(seed=seed)
        records = [replica(f"r{number}", "s") for number in range(10)]
        route = single_route(
            is_repeatable=False, max_attempts=1, objective_seconds=0.8, timeout_seconds=8.0
        )
        node.start(table(1, route), *records)
        slow = {"r0", "r1", "r2"}
        for _ in range(80):
            node.request(deadline_seconds=8.0)
            (send,) = node.sends
            node.advance(1.5 if send.replica.replica_id in slow else 0.2)
            node.answer(send)
            node.advance(0.8)
        return sum(send.replica.replica_id in slow for send in node.all_sends)


class NoOtherReplicaTest(TestCase):
    """The connection to the only replica of a service breaks."""

    def failed_after(self, settled_seconds: float) -> float | None:
        """Return the time in s until the caller received the failure; ``None`` if it waits."""
        node = OneNode()
        node.start(table(1, single_route(max_attempts=3)), replica("r0", "s"))
        node.advance(settled_seconds)
        number = node.request()
        started_at = node.now
        node.advance(0.001)
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        node.advance(1.0)
        if number not in node.replies:
            return None
        self.assertIs(ForwardFailureKind.FAILED, node.replies[number].kind)
        return node.replied_at[number] - started_at

    def test_the_caller_receives_the_failure_immediately(self) -> None:
        self.assertAlmostEqual(0.001, self.failed_after(10.0))

    def test_a_request_waits_while_records_may_be_missing(self) -> None:
        self.assertIsNone(self.failed_after(0.5))
