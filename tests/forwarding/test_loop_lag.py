"""What a node read late has less time left than its caller or its sender said."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from tests.forwarding.test_delegation import OTHERS, OWN
from wingquay.ports.delegation import DelegatedAnswer, DelegatedRequest
from wingquay.ports.forwarding import OpaqueRequest, ReplyMerged
from wingquay.ports.machine import EventLoopLag
from wingquay.ports.peer_link import PeerLinkOpened, PeerReceived, SendToPeer


class LoopLagTest(TestCase):
    def test_replicas_are_told_less_time(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        for lag_seconds, remaining in ((0.0, 0.98), (0.5, 0.48), (-0.1, 0.98)):
            node.emit(EventLoopLag(lag_seconds))
            node.request(deadline_seconds=1.0)
            self.assertAlmostEqual(remaining, node.sends[-1].remaining_seconds, 2)
            node.answer(node.sends[-1])

    def test_an_answer_with_shards_missing_leaves_earlier(self) -> None:
        waits = []
        for lag_seconds in (0.0, 0.03):
            node = OneNode()
            node.start(table(1, sharded_route(4)), *(replica(f"r{n}", f"s{n}") for n in range(4)))
            node.emit(EventLoopLag(lag_seconds))
            number = node.request("/all/x")
            begun_at = node.now
            for send in node.sends[:3]:
                node.answer(send)
            node.advance(0.2)
            self.assertIsInstance(node.replies[number], ReplyMerged)
            waits.append(node.replied_at[number] - begun_at)
        self.assertAlmostEqual(0.03, waits[0] - waits[1], 5)

    def test_a_node_that_is_asked_reports_earlier(self) -> None:
        node = OneNode(delegate_least_shards=4)
        node.start(table(1, sharded_route(4)), *(replica(f"r{n}", f"s{n}") for n in range(4)))
        node.emit(PeerLinkOpened(OWN))
        node.emit(EventLoopLag(0.05))
        request = OpaqueRequest(b"GET", b"/all/x", ())
        shards = ("s0", "s1")
        message = DelegatedRequest(1, "id-9", request, "/all/", shards, 3, 1, 0.1, 0.08, 1.0)
        node.emit(PeerReceived(OTHERS[0], message))
        node.answer(node.open_send("r0"))
        node.advance(0.04)
        sent = [action.message for action in node.actions if isinstance(action, SendToPeer)]
        reports = [item for item in sent if isinstance(item, DelegatedAnswer) and item.shards]
        self.assertEqual([(0,)], [item.shards for item in reports])
