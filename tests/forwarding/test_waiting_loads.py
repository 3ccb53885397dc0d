"""Loads replayed at one node: who waits, who is sent on, who is rejected, and how soon."""

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
IN_FORCE = WaitingSettings(WaitingRule.ESTIMATE, QueueLocation.NODE)


def check_route(prefix: str = "/one/", **fields: object) -> Route:
    """Return a route of requests that may take long and one replica answers."""
    defaults: dict[str, object] = {
        "objective_seconds": OBJECTIVE_SECONDS,
        "timeout_seconds": DEADLINE_SECONDS,
    }
    return single_route(prefix, **{**defaults, **fields})


def settled(*routes: Route, replicas: int = 1, **settings: object) -> OneNode:
    """Return a node that is one of many and knows all records."""
    node = OneNode(waiting=IN_FORCE, min_nodes=NODES, max_nodes=NODES, **settings)
    records = [replica(f"r{number}", "s") for number in range(replicas)]
    node.start(table(1, *(routes or (check_route(),)), connections=NODES * 8), *records)
    node.advance(10.0)
    return node


def ask(node: OneNode, path: str = "/one/x") -> int:
    """Let a caller of a long request ask."""
    return node.request(path, DEADLINE_SECONDS)


def ended(node: OneNode, number: int, begun_at: float) -> tuple[str, float | None]:
    """Return how a request ended and after which time; the time is rounded to hundredths."""
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
    return name, round(node.replied_at[number] - begun_at, 2)


class HeldTest(TestCase):
    """Nobody waits for a deadline to pass."""

    def test_a_request_that_may_not_be_sent_again_soon_is_given_up_at_once(self) -> None:
        # A part of the slack among so many nodes is never a whole extra arrival.
        node = settled(replicas=5)
        number, begun_at = ask(node), node.now
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        node.advance(DEADLINE_SECONDS)
        self.assertEqual((ForwardFailureKind.FAILED.value, 0.0), ended(node, number, begun_at))

    def test_a_request_behind_silent_replicas_is_rejected_when_they_are_known_to_be(self) -> None:
        node = settled(check_route(is_repeatable=False), replicas=1)
        ask(node)
        node.answer(node.sends[0])
        node.advance(6.0)
        for _ in range(3):
            ask(node)
        node.advance(0.35)
        number, begun_at = ask(node), node.now
        node.advance(DEADLINE_SECONDS + 1.0)
        self.assertEqual((ForwardFailureKind.NOT_RUN.value, 0.0), ended(node, number, begun_at))

    def test_a_service_without_replicas_rejects_at_once(self) -> None:
        node = settled(replicas=0)
        number, begun_at = ask(node), node.now
        self.assertEqual((ForwardFailureKind.NOT_RUN.value, 0.0), ended(node, number, begun_at))

    def test_records_that_may_come_back_are_waited_for(self) -> None:
        node = OneNode(waiting=IN_FORCE)
        node.start(table(1, check_route()))
        number, begun_at = ask(node), node.now
        node.advance(0.5)
        node.change(replica("r0", "s"))
        node.advance(0.05)
        node.answer(node.sends[0])
        self.assertEqual(("served", 0.55), ended(node, number, begun_at))

    def test_records_that_stay_away_are_waited_for_no_longer_than_a_share(self) -> None:
        node = OneNode(waiting=IN_FORCE)
        node.start(table(1, check_route()))
        number, begun_at = ask(node), node.now
        node.advance(DEADLINE_SECONDS)
        outcome, seconds = ended(node, number, begun_at)
        self.assertEqual(ForwardFailureKind.NOT_RUN.value, outcome)
        assert seconds is not None
        self.assertLess(seconds, 0.3 * DEADLINE_SECONDS + AT_ONCE_SECONDS)


class ReturnTest(TestCase):
    def test_callers_that_are_rejected_together_do_not_come_back_together(self) -> None:
        node = settled(replicas=0)
        times = [node.replies[ask(node)].retry_after_seconds for _ in range(40)]
        self.assertGreater(max(times) - min(times), 0.3 * min(times))
        self.assertEqual(40, len(set(times)))
