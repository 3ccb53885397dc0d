"""Shards without a replica in a node's zone are contacted through a relay in another zone."""

from testtools import TestCase

from tests.forwarding.linked_nodes import delegated, join, sent_messages, whole_answer
from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.ports.delegation import AllowAttempts, DelegatedAnswer
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyMerged,
    SendFailureKind,
)
from wingquay.ports.machine import StopRequested
from wingquay.ports.peer_link import (
    NodeIdentity,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)

SHARDS = 6
OWN = NodeIdentity("node-1-a", "", "a", "10.0.1.1", 7)
SAME_ZONE_NODE = NodeIdentity("node-2-a", "", "a", "10.0.1.2", 7)
REMOTE = [NodeIdentity(f"node-{number}-b", "", "b", f"10.0.2.{number}", 7) for number in (1, 2)]
OTHER = NodeIdentity("node-1-c", "", "c", "10.0.3.1", 7)


def node_with_replicas_in(
    *zones: str, shards: int = SHARDS, nodes: list[NodeIdentity] = REMOTE
) -> OneNode:
    """Return a node of zone a whose shards each have a replica in all of ``zones``."""
    node = OneNode()
    records = [
        replica(f"r{number}{zone}", f"s{number}", zone)
        for number in range(shards)
        for zone in zones
    ]
    node.start(table(1, sharded_route(shards)), *records)
    node.emit(PeerLinkOpened(OWN))
    join(node, SAME_ZONE_NODE, *nodes)
    return node


class ChoiceTest(TestCase):
    def test_one_relay_receives_all_remote_shards(self) -> None:
        node = node_with_replicas_in("b", "c")
        node.request("/all/x")
        ((to, message),) = delegated(node)
        self.assertIn(to, REMOTE)
        self.assertEqual(SHARDS, len(message.shards))
        self.assertFalse(message.is_group_share)
        self.assertEqual([], node.sends)

    def test_shards_with_a_same_zone_replica_are_contacted_directly(self) -> None:
        node = node_with_replicas_in("a", "b")
        node.request("/all/x")
        self.assertEqual([], delegated(node))
        self.assertEqual(SHARDS, len(node.sends))

    def test_few_remote_shards_are_contacted_directly(self) -> None:
        node = node_with_replicas_in("b", shards=3)
        node.request("/all/x")
        self.assertEqual([], delegated(node))
        self.assertEqual(3, len(node.sends))

    def test_nodes_of_zones_without_replicas_are_not_relays(self) -> None:
        node = node_with_replicas_in("b", nodes=[OTHER])
        node.request("/all/x")
        self.assertEqual([], delegated(node))
        self.assertEqual(SHARDS, len(node.sends))

    def test_each_zone_has_a_relay_for_the_shards_only_it_holds(self) -> None:
        node = OneNode()
        records = [replica(f"b{number}", f"s{number}", "b") for number in range(4)]
        records += [replica(f"c{number}", f"s{number}", "c") for number in range(4, 8)]
        node.start(table(1, sharded_route(8)), *records)
        node.emit(PeerLinkOpened(OWN))
        join(node, REMOTE[0], OTHER)
        node.request("/all/x")
        delegated_shards = {to.zone: set(message.shards) for to, message in delegated(node)}
        self.assertEqual(
            {"b": {"s0", "s1", "s2", "s3"}, "c": {"s4", "s5", "s6", "s7"}},
            delegated_shards,
        )

    def test_the_least_busy_node_is_the_relay(self) -> None:
        node = node_with_replicas_in("b")
        node.request("/all/x")
        ((first, message),) = delegated(node)
        node.request("/all/x")
        (_, (second, _)) = delegated(node)
        self.assertNotEqual(first, second)
        node.emit(PeerReceived(first, whole_answer(message)))
        node.request("/all/x")
        self.assertEqual(first, delegated(node)[-1][0])

    def test_a_failed_node_is_not_a_relay(self) -> None:
        node = node_with_replicas_in("b", nodes=REMOTE[:1])
        node.emit(PeerLinkBroken(REMOTE[0].node_id, "test"))
        node.request("/all/x")
        self.assertEqual([], delegated(node))


class FailureTest(TestCase):
    def test_the_answer_of_the_relay_is_the_reply(self) -> None:
        node = node_with_replicas_in("b")
        number = node.request("/all/x")
        ((to, message),) = delegated(node)
        node.emit(PeerReceived(to, whole_answer(message, b"\x02" * 16)))
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyMerged)
        self.assertEqual((b"\x02" * 16, 0), (reply.body, reply.missing_shards))

    def test_shards_of_a_lost_relay_are_taken_over_within_the_attempt_limit(
        self,
    ) -> None:
        node = node_with_replicas_in("b", "c")
        number = node.request("/all/x")
        ((to, message),) = delegated(node)
        node.emit(PeerReceived(to, DelegatedAnswer(message.delegation_id)))
        self.assertEqual(1, len(sent_messages(node, AllowAttempts)))
        node.emit(PeerLinkBroken(to.node_id, "test"))
        self.assertEqual(SHARDS, len(node.sends))
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(0, node.replies[number].missing_shards)

    def test_a_request_that_a_lost_relay_may_have_run_is_not_refused_as_not_run(self) -> None:
        for reason in ("silent", "broken"):
            node = node_with_replicas_in("b", "c")
            number = node.request("/all/x")
            ((to, message),) = delegated(node)
            if reason == "broken":
                node.emit(PeerReceived(to, DelegatedAnswer(message.delegation_id)))
                node.emit(PeerLinkBroken(to.node_id, "test"))
            node.advance(0.06)
            for _ in range(60):
                for send in list(node.sends):
                    node.fail(send, SendFailureKind.NOT_SENT)
                node.advance(0.03)
            reply = node.replies[number]
            self.assertIsInstance(reply, ReplyFailure)
            self.assertIsNot(ForwardFailureKind.NOT_RUN, reply.kind, reason)

    def test_no_takeover_where_it_could_exceed_the_attempt_limit(self) -> None:
        node = node_with_replicas_in("b", "c", "d")
        node.request("/all/x")
        ((to, message),) = delegated(node)
        node.emit(PeerReceived(to, DelegatedAnswer(message.delegation_id)))
        node.emit(PeerLinkBroken(to.node_id, "test"))
        self.assertEqual([], node.sends)

    def test_a_stopping_relay_leaves_the_shards_to_the_delegating_node(self) -> None:
        delegating, remote = node_with_replicas_in("b"), node_with_replicas_in("b")
        remote.emit(StopRequested())
        number = delegating.request("/all/x")
        ((to, message),) = delegated(delegating)
        remote.emit(PeerReceived(OWN, message))
        delegating.emit(PeerReceived(to, remote.last(SendToPeer).message))
        self.assertEqual(SHARDS, len(delegating.sends))
        for send in list(delegating.sends):
            delegating.answer(send)
        self.assertEqual(0, delegating.replies[number].missing_shards)


class DeclinedTest(TestCase):
    """The relay has no record of some replicas, as after a disconnection from the store."""

    def remote_node(self, *services: str) -> OneNode:
        node = OneNode()
        node.start(table(1, sharded_route(SHARDS)), *(replica(f"r{s}", s, "b") for s in services))
        node.emit(PeerLinkOpened(REMOTE[0]))
        join(node, OWN)
        return node

    def test_shards_without_replicas_at_the_relay_are_contacted_directly(self) -> None:
        delegating, remote = (
            node_with_replicas_in("b", nodes=REMOTE[:1]),
            self.remote_node("s0", "s1", "s3", "s4"),
        )
        number = delegating.request("/all/x")
        ((_, message),) = delegated(delegating)
        remote.emit(PeerReceived(OWN, message))
        acknowledgement = sent_messages(remote, DelegatedAnswer)[0]
        self.assertEqual((2, 5), acknowledgement.declined)
        self.assertEqual(4, len(remote.sends))
        delegating.emit(PeerReceived(REMOTE[0], acknowledgement))
        self.assertEqual({"s2", "s5"}, {send.replica.service for send in delegating.sends})
        for send in list(remote.sends):
            remote.answer(send)
        delegating.emit(PeerReceived(REMOTE[0], sent_messages(remote, DelegatedAnswer)[-1]))
        self.assertNotIn(number, delegating.replies)
        for send in list(delegating.sends):
            delegating.answer(send)
        self.assertEqual(0, delegating.replies[number].missing_shards)

    def test_a_relay_without_any_of_the_replicas_rejects(self) -> None:
        delegating, remote = node_with_replicas_in("b", nodes=REMOTE[:1]), self.remote_node("else")
        delegating.request("/all/x")
        ((_, message),) = delegated(delegating)
        remote.emit(PeerReceived(OWN, message))
        self.assertEqual(
            [True], [answer.is_rejected for answer in sent_messages(remote, DelegatedAnswer)]
        )
