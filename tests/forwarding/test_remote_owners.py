"""Delegation to owners in other zones, including unreachable and slow ones."""

from testtools import TestCase

from tests.forwarding.linked_nodes import (
    OBJECTIVE_SECONDS,
    OTHERS,
    OWN,
    REMOTE_NODES,
    SHARDS,
    delegated,
    join,
    node_in_group,
    node_without_local_replicas,
    sent_messages,
    whole_answer,
)
from tests.forwarding.one_node import HOST, OneNode, replica, sharded_route, table
from wingquay.ports.delegation import (
    DelegatedAnswer,
    DelegatedRequest,
    PrewarmMessage,
)
from wingquay.ports.forwarding import (
    ForwardRequested,
    OpaqueRequest,
    SendToReplica,
)
from wingquay.ports.peer_link import (
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)


class RemoteOwnersTest(TestCase):
    """Wide requests at a node whose zone has no replica of the shards."""

    def test_shards_are_delegated_to_nodes_of_the_replicas_zone(self) -> None:
        node = node_without_local_replicas()
        node.request("/all/x")
        self.assertEqual([], node.sends)
        delegations = delegated(node)
        self.assertTrue(
            {to.node_id for to, _ in delegations} <= {item.node_id for item in REMOTE_NODES}
        )
        self.assertEqual(SHARDS, sum(len(message.shards) for _, message in delegations))
        self.assertTrue(all(message.is_group_share for _, message in delegations))

    def test_connections_to_owners_are_opened_in_advance(self) -> None:
        node = node_without_local_replicas()
        node.advance(1.1)
        node.advance(1.1)
        connected = [
            action.to.node_id
            for action in node.actions
            if isinstance(action, SendToPeer) and isinstance(action.message, PrewarmMessage)
        ]
        node.request("/all/x")
        self.assertEqual({to.node_id for to, _ in delegated(node)}, set(connected))
        self.assertEqual(len(set(connected)), len(connected))

    def test_a_connection_that_broke_is_opened_again(self) -> None:
        node = node_without_local_replicas()
        node.advance(1.1)
        before = len(sent_messages(node, PrewarmMessage))
        broken = next(
            action.to
            for action in node.actions
            if isinstance(action, SendToPeer) and isinstance(action.message, PrewarmMessage)
        )
        node.emit(PeerLinkBroken(broken.node_id, "reset", True))
        node.advance(4.0)
        self.assertGreater(len(sent_messages(node, PrewarmMessage)), before)

    def test_shards_of_an_unreachable_node_are_delegated_to_another(self) -> None:
        node = node_without_local_replicas()
        number = node.request("/all/x")
        (unreachable, first_request), *others = delegated(node)
        node.emit(PeerLinkBroken(unreachable.node_id, "refused", was_open=False))
        again = delegated(node)[1 + len(others) :]
        self.assertNotIn(unreachable.node_id, {to.node_id for to, _ in again})
        moved = [shard for _, message in again for shard in message.shards]
        self.assertEqual(sorted(first_request.shards), sorted(moved))
        self.assertEqual([], node.sends)
        for to, message in [*others, *again]:
            node.emit(PeerReceived(to, whole_answer(message)))
        self.assertEqual(0, node.replies[number].missing_shards)

    def test_late_in_a_request_they_are_contacted_directly(self) -> None:
        node = node_without_local_replicas()
        node.request("/all/x")
        ((unreachable, first_request), *_) = delegated(node)
        node.stall(OBJECTIVE_SECONDS * 0.46)
        before = len(delegated(node))
        node.emit(PeerLinkBroken(unreachable.node_id, "timed out", was_open=False))
        self.assertEqual(before, len(delegated(node)))
        contacted = {send.replica.service for send in node.all_sends}
        self.assertTrue(set(first_request.shards) <= contacted)

    def test_an_unreachable_node_is_avoided_for_less_time_than_a_silent_one(self) -> None:
        for was_open, seconds in ((False, 0.25), (True, 1.05)):
            node = node_without_local_replicas()
            node.request("/all/x")
            ((failed_node, _), *_) = delegated(node)
            node.emit(PeerLinkBroken(failed_node.node_id, "test", was_open))
            groups = node.machine._members.groups
            self.assertNotIn(failed_node, groups.usable_others(node.now + seconds - 0.1))
            self.assertIn(failed_node, groups.usable_others(node.now + seconds))

    def test_a_late_acknowledgement_ends_the_suspicion(self) -> None:
        node = node_without_local_replicas()
        node.request("/all/x")
        ((late, message), *_) = delegated(node)
        node.advance(OBJECTIVE_SECONDS * 0.5)
        groups = node.machine._members.groups
        self.assertNotIn(late, groups.usable_others(node.now))
        node.emit(PeerReceived(late, DelegatedAnswer(message.delegation_id)))
        self.assertIn(late, groups.usable_others(node.now))

    def test_the_takeover_timeout_adapts_to_slow_nodes(self) -> None:
        for acknowledgement_seconds, is_lost in ((0.001, True), (0.02, False)):
            node = node_without_local_replicas()
            for _ in range(30):
                before = len(delegated(node))
                node.request("/all/x")
                node.advance(acknowledgement_seconds)
                for to, message in delegated(node)[before:]:
                    node.emit(PeerReceived(to, whole_answer(message)))
            node.request("/all/x")
            before = len(node.logs("delegation_lost"))
            node.advance(OBJECTIVE_SECONDS * 0.5)
            self.assertEqual(is_lost, len(node.logs("delegation_lost")) > before)
            node.advance(OBJECTIVE_SECONDS * 0.25)
            self.assertGreater(len(node.logs("delegation_lost")), before)

    def test_messages_to_other_nodes_are_sent_before_own_requests(self) -> None:
        node = node_in_group()
        request = OpaqueRequest(b"GET", b"/all/x", ())
        event = ForwardRequested(9, "id-9", HOST, "/all/x", request, 2.0)
        actions = node.machine.handle(event, node.now)
        kinds = [type(action) for action in actions]
        self.assertIn(SendToPeer, kinds)
        self.assertNotIn(SendToReplica, kinds)
        message = DelegatedRequest(1, "id-8", request, "/all/", ("s0", "s1"), 3, 1, 0.1, 0.08, 1.0)
        actions = node.machine.handle(PeerReceived(OTHERS[0], message), node.now)
        self.assertIn(SendToPeer, [type(action) for action in actions])
        self.assertNotIn(SendToReplica, [type(action) for action in actions])

    def test_delegation_ids_differ_between_incarnations(self) -> None:
        numbers = set()
        for seed in range(3):
            node = OneNode(seed=seed, delegate_min_shards=10)
            records = [replica(f"r{number}", f"s{number}", "b") for number in range(SHARDS)]
            node.start(table(1, sharded_route(SHARDS)), *records)
            node.emit(PeerLinkOpened(OWN))
            join(node, *REMOTE_NODES)
            node.request("/all/x")
            numbers |= {message.delegation_id for _, message in delegated(node)}
        self.assertGreaterEqual(len(numbers), 3)
        self.assertGreater(max(numbers) - min(numbers), 1_000)

    def test_narrow_routes_open_no_connections(self) -> None:
        node = node_without_local_replicas(shards=9)
        node.advance(2.0)
        self.assertEqual([], sent_messages(node, PrewarmMessage))
