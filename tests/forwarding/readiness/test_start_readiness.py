"""A starting node becomes ready once it can answer most of the demand."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.readiness.node_readiness import MAX_START_WAIT_SECONDS
from wingquay.ports.forwarding import SetForwarding
from wingquay.ports.machine import Exit, StopRequested

ROUTES = (sharded_route(4), single_route("/one/", "one"))
RECORDS = [replica(f"r{number}", f"s{number}") for number in range(4)]


class StartingTest(TestCase):
    def is_ready(self, node: OneNode) -> bool:
        """Return the latest readiness that the node set."""
        return node.last(SetForwarding).is_ready

    def test_node_is_ready_at_once_if_most_demand_can_be_answered(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS, replica("r", "one"))
        self.assertTrue(self.is_ready(node))

    def test_node_waits_for_replicas_that_start_soon(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS[:1])
        self.assertFalse(self.is_ready(node))
        node.advance(MAX_START_WAIT_SECONDS / 2)
        node.change(*RECORDS[1:], replica("r", "one"))
        self.assertTrue(self.is_ready(node))

    def test_node_is_ready_after_the_maximum_wait(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS[:1])
        node.advance(MAX_START_WAIT_SECONDS)
        self.assertTrue(self.is_ready(node))

    def test_later_loss_of_replicas_does_not_end_readiness(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS, replica("r", "one"))
        node.change(gone=("r0", "r1", "r2", "r"))
        node.advance(4.0)
        self.assertTrue(self.is_ready(node))

    def test_node_stopped_during_start_never_becomes_ready(self) -> None:
        node = OneNode()
        node.start(table(1, *ROUTES), *RECORDS[:1])
        node.emit(StopRequested())
        node.advance(6.0)
        self.assertFalse(self.is_ready(node))
        node.last(Exit)
