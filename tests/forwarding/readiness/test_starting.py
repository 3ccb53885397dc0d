"""A node that has just started takes callers once it can answer most of what they ask."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.readiness.node_readiness import START_MOST_SECONDS
from wingquay.ports.forwarding import SetForwarding
from wingquay.ports.machine import Exit, StopRequested

ROUTES = (sharded_route(4), single_route("/one/", "one"))
RECORDS = [replica(f"r{number}", f"s{number}") for number in range(4)]


class StartingTest(TestCase):
    def is_ready(self, node: OneNode) -> bool:
        """Return what the node last said."""
        return node.last(SetForwarding).is_ready

    def test_it_takes_callers_at_once_if_it_can_answer_most(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS, replica("r", "one"))
        self.assertTrue(self.is_ready(node))

    def test_it_waits_for_replicas_that_are_on_their_way(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS[:1])
        self.assertFalse(self.is_ready(node))
        node.advance(START_MOST_SECONDS / 2)
        node.change(*RECORDS[1:], replica("r", "one"))
        self.assertTrue(self.is_ready(node))

    def test_it_waits_no_longer_for_replicas_that_are_absent(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS[:1])
        node.advance(START_MOST_SECONDS)
        self.assertTrue(self.is_ready(node))

    def test_later_losses_of_replicas_do_not_count_as_a_start(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS, replica("r", "one"))
        node.change(gone=("r0", "r1", "r2", "r"))
        node.advance(4.0)
        self.assertTrue(self.is_ready(node))

    def test_a_stop_during_the_start_takes_no_callers(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS[:1])
        node.emit(StopRequested())
        node.advance(6.0)
        self.assertFalse(self.is_ready(node))
        node.last(Exit)
