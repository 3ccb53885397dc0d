"""Connections that no request needs yet: to shards that are coming, to replicas out of reach."""

from dataclasses import replace

from testtools import TestCase

from tests.forwarding.linked_nodes import OTHERS, OWN, join
from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.model.replica_record import ReplicaRecord
from wingquay.ports.forwarding import (
    ConnectionTried,
    OpenConnection,
    ReplyMerged,
    SendFailureKind,
)
from wingquay.ports.peer_link import PeerLinkOpened

SHARDS = 12
COMING = tuple(f"n{number}" for number in range(SHARDS))


def opened(node: OneNode) -> list[ReplicaRecord]:
    """Return the replicas to which connections were opened ahead."""
    return [action.replica for action in node.actions if isinstance(action, OpenConnection)]


class ComingShardsTest(TestCase):
    """Replicas of shards that no configuration names yet."""

    def setUp(self) -> None:
        super().setUp()
        self.node = OneNode(delegate_min_shards=10)
        records = [replica(f"r{number}", f"s{number}") for number in range(SHARDS)]
        self.node.start(table(1, sharded_route(SHARDS)), *records)
        self.node.emit(PeerLinkOpened(OWN))
        join(self.node, *OTHERS)
        self.node.advance(2.0)

    def come(self) -> list[ReplicaRecord]:
        """Let the replicas of coming shards be there for a while; return what was opened."""
        before = len(opened(self.node))
        records = [replica(f"{name}{zone}", name, zone) for name in COMING for zone in "ab"]
        self.node.change(*records)
        self.node.advance(2.0)
        return opened(self.node)[before:]

    def test_the_owner_connects_to_near_replicas_once(self) -> None:
        ahead = self.come()
        self.assertTrue(ahead)
        self.assertEqual({"a"}, {record.zone for record in ahead})
        self.assertTrue({record.service for record in ahead} < set(COMING))
        ids = [record.replica_id for record in ahead]
        self.assertEqual(len(set(ids)), len(ids))

    def test_the_shards_are_those_that_it_owns_once_they_are_named(self) -> None:
        ahead = {record.service for record in self.come()}
        names = tuple(reversed(COMING))
        route = replace(sharded_route(SHARDS), shards=names)
        self.node.change(configuration=table(2, route))
        before = len(self.node.all_sends)
        self.node.request("/all/x")
        asked = {send.replica.service for send in self.node.all_sends[before:]}
        self.assertEqual(ahead, asked)

    def test_few_services_that_nobody_names_are_left_alone(self) -> None:
        self.node.change(*(replica(f"{name}a", name) for name in COMING[:9]))
        before = len(opened(self.node))
        self.node.advance(2.0)
        self.assertEqual([], opened(self.node)[before:])


class OutOfReachTest(TestCase):
    """Every request would lose time by trying a replica that does not take connections."""

    def setUp(self) -> None:
        super().setUp()
        self.node = OneNode()
        records = [replica(f"r{number}", f"s{number}") for number in range(4)]
        records += [replica("r0-far", "s0", "b")]
        self.node.start(table(1, sharded_route(4)), *records)
        self.request()
        self.node.fail(self.node.open_send("r0"), SendFailureKind.NOT_SENT)
        self.finish()

    def request(self) -> int:
        return self.node.request("/all/x")

    def finish(self) -> None:
        while self.node.sends:
            self.node.answer(self.node.sends[0])

    def asked(self) -> set[str]:
        before = len(self.node.all_sends)
        number = self.request()
        found = {send.replica.replica_id for send in self.node.all_sends[before:]}
        self.finish()
        self.assertIsInstance(self.node.replies[number], ReplyMerged)
        return found

    def test_it_gets_no_request_until_a_connection_comes_up(self) -> None:
        self.node.advance(0.35)
        self.assertEqual(["r0"], [record.replica_id for record in opened(self.node)])
        self.assertNotIn("r0", self.asked())
        self.node.emit(ConnectionTried("r0"))
        self.assertIn("r0", self.asked())
        self.assertEqual(1, len(self.node.logs("replica_reachable")))

    def test_it_is_tried_again_less_often_each_time(self) -> None:
        for tries in range(1, 4):
            self.node.advance(2.1)
            self.assertEqual(tries, len(opened(self.node)))
            self.node.emit(ConnectionTried("r0", "refused"))
        self.assertNotIn("r0", self.asked())

    def test_several_failures_are_followed_by_one_try(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"), replica("r1", "s"))
        for _ in range(4):
            node.request()
        for send in list(node.sends):
            if send.replica.replica_id == "r0":
                node.fail(send, SendFailureKind.NOT_SENT)
        node.advance(2.1)
        self.assertEqual(["r0"], [record.replica_id for record in opened(node)])

    def test_one_that_leaves_is_not_tried(self) -> None:
        self.node.change(replica("r0", "s0", is_draining=True))
        self.node.advance(6.0)
        self.assertEqual([], opened(self.node))
