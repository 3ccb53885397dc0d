"""Connections that are opened before requests need them: to new shards and unreachable replicas."""

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
NEW_SHARDS = tuple(f"n{number}" for number in range(SHARDS))


def opened(node: OneNode) -> list[ReplicaRecord]:
    """Return the replicas to which connections were opened in advance."""
    return [action.replica for action in node.actions if isinstance(action, OpenConnection)]


class NewShardsTest(TestCase):
    """Replicas of shards that no configuration contains yet."""

    def setUp(self) -> None:
        super().setUp()
        self.node = OneNode(delegate_min_shards=10)
        records = [replica(f"r{number}", f"s{number}") for number in range(SHARDS)]
        self.node.start(table(1, sharded_route(SHARDS)), *records)
        self.node.emit(PeerLinkOpened(OWN))
        join(self.node, *OTHERS)
        self.node.advance(2.0)

    def add_new_shards(self) -> list[ReplicaRecord]:
        """Add replicas of new shards and wait; return the replicas that were connected to."""
        before = len(opened(self.node))
        records = [replica(f"{name}{zone}", name, zone) for name in NEW_SHARDS for zone in "ab"]
        self.node.change(*records)
        self.node.advance(2.0)
        return opened(self.node)[before:]

    def test_the_owner_connects_to_same_zone_replicas_once(self) -> None:
        prewarmed = self.add_new_shards()
        self.assertTrue(prewarmed)
        self.assertEqual({"a"}, {record.zone for record in prewarmed})
        self.assertTrue({record.service for record in prewarmed} < set(NEW_SHARDS))
        ids = [record.replica_id for record in prewarmed]
        self.assertEqual(len(set(ids)), len(ids))

    def test_the_shards_are_those_it_owns_once_configured(self) -> None:
        prewarmed = {record.service for record in self.add_new_shards()}
        names = tuple(reversed(NEW_SHARDS))
        route = replace(sharded_route(SHARDS), shards=names)
        self.node.change(configuration=table(2, route))
        before = len(self.node.all_sends)
        self.node.request("/all/x")
        contacted_replicas = {send.replica.service for send in self.node.all_sends[before:]}
        self.assertEqual(prewarmed, contacted_replicas)

    def test_a_few_unconfigured_services_are_not_prewarmed(self) -> None:
        self.node.change(*(replica(f"{name}a", name) for name in NEW_SHARDS[:9]))
        before = len(opened(self.node))
        self.node.advance(2.0)
        self.assertEqual([], opened(self.node)[before:])


class UnreachableReplicaTest(TestCase):
    """Requests avoid a replica that accepts no connections, until an attempt succeeds."""

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

    def contacted_replicas(self) -> set[str]:
        before = len(self.node.all_sends)
        number = self.request()
        found = {send.replica.replica_id for send in self.node.all_sends[before:]}
        self.finish()
        self.assertIsInstance(self.node.replies[number], ReplyMerged)
        return found

    def test_it_receives_no_request_until_a_connection_succeeds(self) -> None:
        self.node.advance(0.35)
        self.assertEqual(["r0"], [record.replica_id for record in opened(self.node)])
        self.assertNotIn("r0", self.contacted_replicas())
        self.node.emit(ConnectionTried("r0"))
        self.assertIn("r0", self.contacted_replicas())
        self.assertEqual(1, len(self.node.logs("replica_reachable")))

    def test_connection_attempts_back_off(self) -> None:
        for tries in range(1, 4):
            self.node.advance(2.1)
            self.assertEqual(tries, len(opened(self.node)))
            self.node.emit(ConnectionTried("r0", "refused"))
        self.assertNotIn("r0", self.contacted_replicas())

    def test_several_failures_cause_one_connection_attempt(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"), replica("r1", "s"))
        for _ in range(4):
            node.request()
        for send in list(node.sends):
            if send.replica.replica_id == "r0":
                node.fail(send, SendFailureKind.NOT_SENT)
        node.advance(2.1)
        self.assertEqual(["r0"], [record.replica_id for record in opened(node)])

    def test_a_draining_replica_is_not_tried(self) -> None:
        self.node.change(replica("r0", "s0", is_draining=True))
        self.node.advance(6.0)
        self.assertEqual([], opened(self.node))
