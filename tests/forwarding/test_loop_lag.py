"""Event loop lag shortens the time left for requests."""

from testtools import TestCase

from tests.forwarding.linked_nodes import OTHERS, OWN
from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.ports.delegation import DelegatedRequest
from wingquay.ports.forwarding import OpaqueRequest
from wingquay.ports.peer_link import PeerLinkOpened, PeerReceived


class LoopLagTest(TestCase):
    def test_lag_shortens_the_deadline_sent_to_replicas(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        for lag_seconds, remaining in ((0.0, 0.98), (0.5, 0.48), (0.0, 0.98)):
            node.advance(1.0)
            node.stall(lag_seconds)
            node.request(deadline_seconds=1.0)
            # The timer was due up to 0.2 s after the stall began.
            self.assertAlmostEqual(remaining, node.sends[-1].remaining_seconds, delta=0.21)
            self.assertLess(node.sends[-1].remaining_seconds, 0.98 - lag_seconds + 0.21)
            node.answer(node.sends[-1])

    def test_lag_is_reset_by_the_next_timer(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        node.stall(0.9)
        node.advance(0.3)
        node.request(deadline_seconds=1.0)
        self.assertAlmostEqual(0.98, node.sends[-1].remaining_seconds)

    def test_pause_shortens_the_deadline_before_the_timer_fires(self) -> None:
        # Guards against a node that takes what it reads after a pause for new.
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        node.advance(1.0)
        node.now += 0.5
        node.request(deadline_seconds=1.0)
        self.assertAlmostEqual(0.48, node.sends[-1].remaining_seconds, delta=0.21)
        self.assertLess(node.sends[-1].remaining_seconds, 0.98 - 0.5 + 0.21)

    def test_request_read_after_its_deadline_is_rejected_before_the_timer_fires(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        node.advance(1.0)
        node.now += 3.0
        number = node.request(deadline_seconds=1.0)
        self.assertEqual([], node.sends)
        self.assertIn(number, node.replies)

    def test_delegated_request_that_is_over_after_a_pause_reaches_no_replica(self) -> None:
        node = OneNode(delegate_min_shards=4)
        node.start(table(1, sharded_route(4)), *(replica(f"r{n}", f"s{n}") for n in range(4)))
        node.emit(PeerLinkOpened(OWN))
        node.advance(1.0)
        node.now += 2.8
        request = OpaqueRequest(b"GET", b"/all/x", ())
        shards = ("s0", "s1")
        message = DelegatedRequest(1, "id-9", request, "/all/", shards, 3, 1, 0.1, 0.08, 1.0)
        node.emit(PeerReceived(OTHERS[0], message))
        self.assertEqual([], node.sends)

    def test_lag_shortens_the_deadline_of_delegated_requests(self) -> None:
        node = OneNode(delegate_min_shards=4)
        node.start(table(1, sharded_route(4)), *(replica(f"r{n}", f"s{n}") for n in range(4)))
        node.emit(PeerLinkOpened(OWN))
        node.stall(0.6)
        request = OpaqueRequest(b"GET", b"/all/x", ())
        shards = ("s0", "s1")
        message = DelegatedRequest(1, "id-9", request, "/all/", shards, 3, 1, 0.1, 0.08, 1.0)
        node.emit(PeerReceived(OTHERS[0], message))
        self.assertAlmostEqual(0.5, node.sends[0].remaining_seconds, delta=0.11)
