"""Requests at one node wait only while an answer is likely, and are rejected at once otherwise."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.sending.waiting_settings import QueueLocation, WaitingRule, WaitingSettings
from wingquay.model.routing_table import Route
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyUnchanged,
    SendFailureKind,
)

OBJECTIVE_SECONDS = 1.05
DEADLINE_SECONDS = 8.0
AT_ONCE_SECONDS = 0.02
NODES = 70
WAITING = WaitingSettings(WaitingRule.ESTIMATE, QueueLocation.NODE)


def check_route(prefix: str = "/one/", **fields: object) -> Route:
    """Return a single-service route with a long time limit."""
    defaults: dict[str, object] = {
        "objective_seconds": OBJECTIVE_SECONDS,
        "timeout_seconds": DEADLINE_SECONDS,
    }
    return single_route(prefix, **{**defaults, **fields})


def settled(*routes: Route, replicas: int = 1, **settings: object) -> OneNode:
    """Return a node that is one of many, past the settling time."""
    node = OneNode(waiting=WAITING, min_nodes=NODES, max_nodes=NODES, **settings)
    records = [replica(f"r{number}", "s") for number in range(replicas)]
    node.start(table(1, *(routes or (check_route(),)), connections=NODES * 8), *records)
    node.advance(10.0)
    return node


def request(node: OneNode, path: str = "/one/x") -> int:
    """Send a request with the long time limit and return its number."""
    return node.request(path, DEADLINE_SECONDS)


def outcome_of(node: OneNode, number: int, started_at: float) -> tuple[str, float | None]:
    """Return the outcome of a request and its response time, rounded to hundredths."""
    reply = node.replies.get(number)
    match reply:
        case None:
            return "open", None
        case ReplyFailure(kind=kind):
            name = kind.value
        case ReplyUnchanged():
            name = "served"
        case _:
            name = "merged"
    return name, round(node.replied_at[number] - started_at, 2)


class WaitingTest(TestCase):
    """Requests are rejected early instead of waiting until their deadline."""

    def test_a_request_without_budget_for_a_retry_fails_at_once(self) -> None:
        # With so many nodes, a node's share of the slack is less than one extra request.
        node = settled(replicas=5)
        number, started_at = request(node), node.now
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        node.advance(DEADLINE_SECONDS)
        self.assertEqual(
            (ForwardFailureKind.FAILED.value, 0.0), outcome_of(node, number, started_at)
        )

    def test_a_request_is_rejected_at_once_when_all_replicas_are_silent(self) -> None:
        node = settled(check_route(is_repeatable=False), replicas=1)
        request(node)
        node.answer(node.sends[0])
        node.advance(6.0)
        for _ in range(3):
            request(node)
        node.advance(0.35)
        number, started_at = request(node), node.now
        node.advance(DEADLINE_SECONDS + 1.0)
        self.assertEqual(
            (ForwardFailureKind.NOT_RUN.value, 0.0), outcome_of(node, number, started_at)
        )

    def test_a_request_to_a_service_without_replicas_is_rejected_at_once(self) -> None:
        node = settled(replicas=0)
        number, started_at = request(node), node.now
        self.assertEqual(
            (ForwardFailureKind.NOT_RUN.value, 0.0), outcome_of(node, number, started_at)
        )

    def test_a_request_waits_for_missing_records(self) -> None:
        node = OneNode(waiting=WAITING)
        node.start(table(1, check_route()))
        number, started_at = request(node), node.now
        node.advance(0.5)
        node.change(replica("r0", "s"))
        node.advance(0.05)
        node.answer(node.sends[0])
        self.assertEqual(("served", 0.55), outcome_of(node, number, started_at))

    def test_the_wait_for_missing_records_is_bounded(self) -> None:
        node = OneNode(waiting=WAITING)
        node.start(table(1, check_route()))
        number, started_at = request(node), node.now
        node.advance(DEADLINE_SECONDS)
        outcome, seconds = outcome_of(node, number, started_at)
        self.assertEqual(ForwardFailureKind.NOT_RUN.value, outcome)
        assert seconds is not None
        self.assertLess(seconds, 0.3 * DEADLINE_SECONDS + AT_ONCE_SECONDS)


class RetryAfterTest(TestCase):
    def test_callers_rejected_together_do_not_retry_together(self) -> None:
        node = settled(replicas=0)
        times = [node.replies[request(node)].retry_after_seconds for _ in range(40)]
        self.assertGreater(max(times) - min(times), 0.3 * min(times))
        self.assertEqual(40, len(set(times)))
