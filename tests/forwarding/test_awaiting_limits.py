"""Requests that wait for a decision on their tenant's limit end exactly once."""

from testtools import TestCase

from tests.forwarding.known_callers import (
    ADMITTED,
    BARE_HEADERS,
    KIOSK,
    SECRET,
    FakeLimits,
    output_without_replies,
    request_ended_lines,
    send_request,
    tenant_counts,
    with_tenants,
)
from tests.forwarding.linked_nodes import OTHERS
from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.arrival.admission import Admitted, AwaitsLimit, Rejected
from wingquay.forwarding.arrival.pending_arrivals import (
    MAX_PENDING,
    MAX_PENDING_BYTES,
    PendingArrivals,
)
from wingquay.forwarding.arrival.pending_arrivals import Arrival as PendingArrival
from wingquay.forwarding.arrival.request_identity import compute_identity
from wingquay.forwarding.settling.reply_builder import HELD_REASON
from wingquay.model.tenants import Tenant
from wingquay.ports.crash_messages import CrashReport
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ForwardRequested,
    OpaqueRequest,
    ReplyFailure,
    ReplyUnchanged,
)
from wingquay.ports.peer_link import PeerReceived

OBJECTIVE_SECONDS = 0.4
MAX_WAIT_SECONDS = 0.08
OVER_LIMIT = Rejected(ForwardFailureKind.OVER_LIMIT, "the tenant has reached its limit", 1.25)
NO_DECISION = "no answer on the tenant's limit arrived in time"


class Waiting:
    """A node with one request that waits for a decision on its tenant's limit."""

    def __init__(self, deadline_seconds: float | None = 2.0) -> None:
        self.limits = FakeLimits(AwaitsLimit())
        self.node = OneNode()
        configuration = with_tenants(table(4, single_route(priority=1)), KIOSK)
        self.node.start(configuration, replica("r0", "s"), replica("r1", "s"))
        self.node.machine._forwarding.admission.limits = self.limits
        self.number = send_request(self.node, 1, SECRET, deadline_seconds=deadline_seconds)

    def answer(self, answer: Admitted | Rejected) -> None:
        """Let the decision arrive."""
        machine = self.node.machine._forwarding
        for action in machine.on_limit_answered(self.number, answer, self.node.now):
            self.node._apply_action(action)

    @property
    def reply(self) -> ReplyFailure:
        reply = self.node.replies[self.number]
        assert isinstance(reply, ReplyFailure)
        return reply


class AwaitingLimitTest(TestCase):
    def test_nothing_is_sent_or_answered_before_the_decision(self) -> None:
        waiting = Waiting()
        waiting.node.advance(MAX_WAIT_SECONDS / 2)
        self.assertEqual(([], {}), (waiting.node.all_sends, waiting.node.replies))
        self.assertEqual(1, waiting.node.machine._forwarding.open_exchanges)

    def test_an_admitted_request_keeps_its_configuration_and_times(self) -> None:
        waiting = Waiting()
        node = waiting.node
        node.advance(MAX_WAIT_SECONDS / 2)
        node.change(configuration=with_tenants(table(5, single_route(priority=2))))
        waiting.answer(ADMITTED)
        (send,) = node.sends
        self.assertEqual("kiosk", send.tenant)
        exchange = node.machine._forwarding._settlement.get(waiting.number)
        self.assertEqual(
            (4, 3, 100.0, 101.98),
            (
                exchange.table.version,
                exchange.route.priority,
                exchange.arrived_at,
                round(exchange.ends_at, 6),
            ),
        )
        node.answer(send)
        self.assertIsInstance(node.replies[waiting.number], ReplyUnchanged)
        node.advance(10.0)
        self.assertEqual(
            ([("kiosk", 1)], []), (waiting.limits.admit_calls, waiting.limits.given_back)
        )
        self.assertEqual([("other", "allowed")], tenant_counts(node))

    def test_a_request_over_the_limit_is_refused_without_giving_back(self) -> None:
        waiting = Waiting()
        waiting.answer(OVER_LIMIT)
        self.assertEqual(
            ReplyFailure(1, ForwardFailureKind.OVER_LIMIT, OVER_LIMIT.reason, 1.25), waiting.reply
        )
        waiting.node.advance(10.0)
        self.assertEqual(([], []), (waiting.node.all_sends, waiting.limits.given_back))

    def test_without_a_decision_it_is_refused_in_time_for_a_retry(self) -> None:
        for deadline_seconds, expected in ((2.0, MAX_WAIT_SECONDS), (0.05, 0.03), (None, 0.08)):
            waiting = Waiting(deadline_seconds)
            waiting.node.advance(10.0)
            self.assertEqual(
                ReplyFailure(1, ForwardFailureKind.NOT_RUN, NO_DECISION, 0.1), waiting.reply
            )
            waited = waiting.node.replied_at[waiting.number] - 100.0
            self.assertEqual(expected, round(waited, 6))
            self.assertEqual([("kiosk", 1)], waiting.limits.given_back)
            self.assertEqual(0, waiting.node.machine._forwarding.open_exchanges)

    def test_a_late_decision_sends_nothing(self) -> None:
        waiting = Waiting()
        waiting.node.advance(10.0)
        for answer in (ADMITTED, OVER_LIMIT):
            waiting.answer(answer)
        self.assertEqual([], waiting.node.all_sends)
        self.assertEqual([("kiosk", 1)], waiting.limits.given_back)

    def test_a_request_of_a_caller_that_left_is_given_back_once(self) -> None:
        waiting = Waiting()
        waiting.node.leave(waiting.number)
        waiting.node.leave(waiting.number)
        waiting.answer(ADMITTED)
        waiting.node.advance(10.0)
        self.assertEqual([], waiting.node.all_sends)
        self.assertEqual({}, waiting.node.replies)
        self.assertEqual([("kiosk", 1)], waiting.limits.given_back)
        lines = [dict(line.fields) for line in request_ended_lines(waiting.node)]
        self.assertEqual(
            [("id-1", "caller_left", "kiosk")],
            [(line["request_id"], line["outcome"], line["tenant"]) for line in lines],
        )

    def test_an_admitted_request_that_did_not_run_is_given_back_once(self) -> None:
        waiting = Waiting()
        waiting.answer(ADMITTED)
        while waiting.number not in waiting.node.replies:
            for send in list(waiting.node.sends):
                waiting.node.answer(send, 503, signature=None, not_run=True)
            waiting.node.advance(0.01)
        self.assertIs(ForwardFailureKind.NOT_RUN, waiting.reply.kind)
        waiting.node.advance(10.0)
        self.assertEqual([("kiosk", 1)], waiting.limits.given_back)

    def test_a_request_held_while_it_waits_sends_nothing(self) -> None:
        waiting = Waiting()
        bare = OpaqueRequest(b"GET", b"/one/x", BARE_HEADERS)
        news = CrashReport(compute_identity(bare, "kiosk"), held_seconds=60.0)
        waiting.node.emit(PeerReceived(OTHERS[0], news))
        waiting.answer(ADMITTED)
        self.assertEqual(
            ReplyFailure(1, ForwardFailureKind.NOT_RUN, HELD_REASON, 60.0), waiting.reply
        )
        self.assertEqual(([], [("kiosk", 1)]), (waiting.node.all_sends, waiting.limits.given_back))

    def test_a_waiting_request_does_not_expose_its_key(self) -> None:
        waiting = Waiting()
        waiting.node.advance(10.0)
        self.assertNotIn(SECRET, output_without_replies(waiting.node))

    def test_requests_beyond_the_maximum_are_refused_at_once(self) -> None:
        waiting = Waiting()
        for number in range(2, MAX_PENDING + 2):
            send_request(waiting.node, number, SECRET)
        self.assertEqual([MAX_PENDING + 1], list(waiting.node.replies))
        reply = waiting.node.replies[MAX_PENDING + 1]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([("kiosk", MAX_PENDING + 1)], waiting.limits.given_back)
        waiting.node.advance(10.0)
        self.assertEqual(MAX_PENDING + 1, len(set(waiting.limits.given_back)))
        self.assertEqual(MAX_PENDING + 1, len(waiting.limits.given_back))


class PendingArrivalsTest(TestCase):
    def test_the_total_body_size_is_bounded_and_released(self) -> None:
        pending = PendingArrivals()
        half = MAX_PENDING_BYTES // 2
        self.assertEqual(
            [True, True, False], [pending.add(arrival(number, half)) for number in (1, 2, 3)]
        )
        taken = pending.remove(1)
        assert taken is not None
        self.assertEqual((1, None, 1), (taken.event.exchange_id, pending.remove(1), len(pending)))
        self.assertTrue(pending.add(arrival(4, half)))


def arrival(number: int, body_bytes: int) -> PendingArrival:
    request = OpaqueRequest(b"POST", b"/", (), bytes(body_bytes))
    event = ForwardRequested(number, "id", "", "", request)
    tenant = Tenant("kiosk", ())
    return PendingArrival(event, table(1), single_route(), tenant, 0.0, 0.0)
