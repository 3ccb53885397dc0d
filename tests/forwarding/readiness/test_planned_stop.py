"""A planned stop answers every request that was read, and closes connections before its end."""

from testtools import TestCase

from tests.forwarding.known_callers import KIOSK, SECRET, FakeLimits, send_request, with_tenants
from tests.forwarding.linked_nodes import OTHERS, node_in_group, sent_messages
from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.arrival.admission import AwaitsLimit
from wingquay.ports.delegation import DelegatedAnswer, DelegatedRequest
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    OpaqueRequest,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    SetForwarding,
)
from wingquay.ports.machine import Exit, StopRequested
from wingquay.ports.peer_link import PeerReceived

IDLE_CLOSE_SECONDS = 3.0
MAX_STOP_SECONDS = 5.2
LONG_SECONDS = 8.0
"""Deadline and time limit of requests that may outlast a stop."""
SHARDS = 4
LONG_ROUTES = (
    single_route(timeout_seconds=LONG_SECONDS),
    single_route("/two/", "two", timeout_seconds=LONG_SECONDS),
    single_route("/edit/", "two", is_repeatable=False, timeout_seconds=LONG_SECONDS),
    sharded_route(SHARDS, timeout_seconds=LONG_SECONDS, objective_seconds=6.0),
)


def node_with_long_routes() -> OneNode:
    node = OneNode(idle_close_seconds=IDLE_CLOSE_SECONDS, max_stop_seconds=MAX_STOP_SECONDS)
    records = [replica(f"r{number}", f"s{number}") for number in range(SHARDS)]
    node.start(table(1, *LONG_ROUTES), replica("r-one", "s"), replica("r-two", "two"), *records)
    node.advance(1.0)
    return node


def long_request(node: OneNode, path: str = "/one/x") -> int:
    return node.request(path, LONG_SECONDS)


def exits(node: OneNode) -> list[Exit]:
    return [action for action in node.actions if isinstance(action, Exit)]


class IdleConnectionsTest(TestCase):
    """Guards against requests that a stopping node reads shortly before it exits."""

    def idle_closings(self, node: OneNode) -> int:
        return sum(
            isinstance(action, SetForwarding) and action.closes_idle for action in node.actions
        )

    def test_idle_connections_are_closed_on_time_while_a_request_is_open(self) -> None:
        node = node_with_long_routes()
        long_request(node)
        node.emit(StopRequested())
        node.advance(IDLE_CLOSE_SECONDS - 0.2)
        self.assertEqual(0, self.idle_closings(node))
        node.advance(0.3)
        self.assertEqual(1, self.idle_closings(node))
        self.assertEqual([], exits(node))

    def test_they_are_closed_once(self) -> None:
        node = node_with_long_routes()
        long_request(node)
        node.emit(StopRequested())
        node.emit(StopRequested())
        node.advance(LONG_SECONDS)
        self.assertEqual(1, self.idle_closings(node))
        self.assertEqual(1, len(exits(node)))

    def test_the_node_exits_as_soon_as_the_last_request_after_that_has_ended(self) -> None:
        node = node_with_long_routes()
        number = long_request(node)
        node.emit(StopRequested())
        node.advance(IDLE_CLOSE_SECONDS + 0.5)
        node.answer(node.sends[0])
        node.advance(0.2)
        self.assertIsInstance(node.replies[number], ReplyUnchanged)
        (ended,) = exits(node)
        self.assertEqual(0, ended.cut_requests)
        self.assertAlmostEqual(MAX_STOP_SECONDS - IDLE_CLOSE_SECONDS - 0.5, ended.grace_seconds, 0)


class ArrivalDuringStopTest(TestCase):
    """Guards against accepting a request that the stop would have to end."""

    def reply_after(self, seconds: float, path: str, deadline_seconds: float) -> object:
        node = node_with_long_routes()
        long_request(node)
        node.emit(StopRequested())
        node.advance(seconds)
        return node.replies.get(node.request(path, deadline_seconds))

    def assert_not_run(self, reply: object) -> None:
        assert isinstance(reply, ReplyFailure), reply
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertIn("stopping", reply.reason)
        self.assertIsNotNone(reply.retry_after_seconds)

    def test_a_request_whose_objective_ends_after_the_stop_is_rejected_at_once(self) -> None:
        self.assertIsNone(self.reply_after(MAX_STOP_SECONDS - 0.5, "/two/x", LONG_SECONDS))
        self.assert_not_run(self.reply_after(MAX_STOP_SECONDS - 0.3, "/two/x", LONG_SECONDS))

    def test_a_request_whose_deadline_ends_before_the_stop_is_accepted(self) -> None:
        self.assertIsNone(self.reply_after(MAX_STOP_SECONDS - 0.3, "/two/x", 0.2))

    def test_a_request_that_may_run_once_only_is_rejected_earlier(self) -> None:
        self.assertIsNone(self.reply_after(MAX_STOP_SECONDS - 1.0, "/edit/x", LONG_SECONDS))
        self.assert_not_run(self.reply_after(MAX_STOP_SECONDS - 0.7, "/edit/x", LONG_SECONDS))

    def test_a_request_that_is_read_after_the_exit_was_decided_is_rejected(self) -> None:
        node = node_with_long_routes()
        node.emit(StopRequested())
        node.advance(MAX_STOP_SECONDS + 0.1)
        self.assertEqual(1, len(exits(node)))
        self.assert_not_run(node.replies[long_request(node)])
        self.assertEqual([], node.sends)


class EndOfStopTest(TestCase):
    """Guards against connections that end without an answer when the node exits."""

    def reply_at_end(self, node: OneNode, number: int) -> object:
        self.assertNotIn(number, node.replies)
        node.emit(StopRequested())
        node.advance(MAX_STOP_SECONDS + 0.1)
        (ended,) = exits(node)
        self.assertEqual(0, ended.cut_requests)
        logged = node.logs("request_ended")[-1]
        self.assertEqual(f"id-{number}", logged["request_id"])
        self.assertIn("stopped", str(logged["reason"]))
        return node.replies[number]

    def test_a_request_that_a_replica_may_have_run_fails_without_a_promise(self) -> None:
        for path in ("/one/x", "/edit/x"):
            node = node_with_long_routes()
            reply = self.reply_at_end(node, long_request(node, path))
            assert isinstance(reply, ReplyFailure), path
            self.assertIs(ForwardFailureKind.FAILED, reply.kind, path)

    def test_enough_shards_are_delivered(self) -> None:
        node = node_with_long_routes()
        number = long_request(node, "/all/x")
        for send in list(node.sends)[:3]:
            node.answer(send, body=b"x" * 16)
        node.emit(StopRequested())
        node.advance(MAX_STOP_SECONDS + 0.1)
        reply = node.replies[number]
        assert isinstance(reply, ReplyMerged), reply
        self.assertEqual(1, reply.missing_shards)

    def test_too_few_shards_are_a_failure(self) -> None:
        node = node_with_long_routes()
        number = long_request(node, "/all/x")
        for send in list(node.sends)[:2]:
            node.answer(send, body=b"x" * 16)
        reply = self.reply_at_end(node, number)
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.FAILED, reply.kind)

    def test_the_failure_of_a_replica_is_delivered(self) -> None:
        node = OneNode(max_stop_seconds=MAX_STOP_SECONDS)
        node.start(
            table(1, single_route(timeout_seconds=LONG_SECONDS, objective_seconds=6.0)),
            replica("r0", "s"),
            replica("r1", "s"),
        )
        number = long_request(node)
        node.answer(node.sends[0], status=500)
        self.assertEqual(1, len(node.sends))
        node.emit(StopRequested())
        node.advance(MAX_STOP_SECONDS + 0.1)
        reply = node.replies[number]
        assert isinstance(reply, ReplyUnchanged), reply
        self.assertEqual(500, reply.answer.status)

    def test_a_request_that_waits_for_its_limit_is_rejected(self) -> None:
        node = OneNode(max_stop_seconds=MAX_STOP_SECONDS)
        route = single_route(objective_seconds=40.0, timeout_seconds=40.0)
        node.start(with_tenants(table(1, route), KIOSK), replica("r0", "s"))
        node.machine._forwarding.admission.limits = FakeLimits(AwaitsLimit())
        number = send_request(node, 1, SECRET, deadline_seconds=40.0)
        node.emit(StopRequested())
        node.advance(MAX_STOP_SECONDS + 0.1)
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([Exit(0)], exits(node))

    def test_a_delegate_reports_the_answers_that_it_has(self) -> None:
        node = node_in_group(timeout_seconds=LONG_SECONDS, objective_seconds=7.0)
        message = DelegatedRequest(
            5,
            "id-9",
            OpaqueRequest(b"GET", b"/all/x", ()),
            "/all/",
            ("s0", "s1"),
            remaining_seconds=LONG_SECONDS,
            cutoff_seconds=7.0,
            objective_seconds=7.0,
            priority=0,
            merged_records=3,
        )
        node.emit(PeerReceived(OTHERS[0], message))
        node.answer(node.sends[0], signature="one")
        node.emit(StopRequested())
        node.advance(MAX_STOP_SECONDS + 0.1)
        self.assertEqual(
            DelegatedAnswer(5, (0,), ("one",)), sent_messages(node, DelegatedAnswer)[-1]
        )
        (ended,) = exits(node)
        self.assertEqual(0, ended.cut_requests)
