"""Owners in other zones: asked, absent, late, given longer."""

from testtools import TestCase

from tests.forwarding.linked_nodes import (
    FAR_NODES,
    OBJECTIVE_SECONDS,
    OTHERS,
    OWN,
    SHARDS,
    delegated,
    join,
    node_apart_from_owners,
    node_in_group,
    told,
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


class FarOwnersTest(TestCase):
    """Wide requests whose shards have no replica in the zone of the node that they reached."""

    def test_nodes_of_the_zone_that_holds_the_replicas_ask_them(self) -> None:
        node = node_apart_from_owners()
        node.request("/all/x")
        self.assertEqual([], node.sends)
        asked = delegated(node)
        self.assertTrue({to.node_id for to, _ in asked} <= {item.node_id for item in FAR_NODES})
        self.assertEqual(SHARDS, sum(len(message.shards) for _, message in asked))
        self.assertTrue(all(message.is_group_share for _, message in asked))

    def test_connections_to_them_are_opened_before_a_request_needs_them(self) -> None:
        node = node_apart_from_owners()
        node.advance(1.1)
        node.advance(1.1)
        greeted = [
            action.to.node_id
            for action in node.actions
            if isinstance(action, SendToPeer) and isinstance(action.message, PrewarmMessage)
        ]
        node.request("/all/x")
        self.assertEqual({to.node_id for to, _ in delegated(node)}, set(greeted))
        self.assertEqual(len(set(greeted)), len(greeted))

    def test_a_connection_that_broke_is_opened_again(self) -> None:
        node = node_apart_from_owners()
        node.advance(1.1)
        before = len(told(node, PrewarmMessage))
        broken = next(
            action.to
            for action in node.actions
            if isinstance(action, SendToPeer) and isinstance(action.message, PrewarmMessage)
        )
        node.emit(PeerLinkBroken(broken.node_id, "reset", True))
        node.advance(4.0)
        self.assertGreater(len(told(node, PrewarmMessage)), before)

    def test_the_shards_of_a_node_that_is_not_there_go_to_another(self) -> None:
        node = node_apart_from_owners()
        number = node.request("/all/x")
        (absent, share), *others = delegated(node)
        node.emit(PeerLinkBroken(absent.node_id, "refused", was_open=False))
        again = delegated(node)[1 + len(others) :]
        self.assertNotIn(absent.node_id, {to.node_id for to, _ in again})
        moved = [shard for _, message in again for shard in message.shards]
        self.assertEqual(sorted(share.shards), sorted(moved))
        self.assertEqual([], node.sends)
        for to, message in [*others, *again]:
            node.emit(PeerReceived(to, whole_answer(message)))
        self.assertEqual(0, node.replies[number].missing_shards)

    def test_late_in_a_request_they_are_asked_directly(self) -> None:
        node = node_apart_from_owners()
        node.request("/all/x")
        ((absent, share), *_) = delegated(node)
        node.stall(OBJECTIVE_SECONDS * 0.46)
        before = len(delegated(node))
        node.emit(PeerLinkBroken(absent.node_id, "timed out", was_open=False))
        self.assertEqual(before, len(delegated(node)))
        asked = {send.replica.service for send in node.all_sends}
        self.assertTrue(set(share.shards) <= asked)

    def test_a_node_that_is_not_there_is_asked_again_sooner_than_one_that_is_silent(self) -> None:
        for was_open, seconds in ((False, 0.25), (True, 1.05)):
            node = node_apart_from_owners()
            node.request("/all/x")
            ((gone, _), *_) = delegated(node)
            node.emit(PeerLinkBroken(gone.node_id, "test", was_open))
            groups = node.machine._members.groups
            self.assertNotIn(gone, groups.usable_others(node.now + seconds - 0.1))
            self.assertIn(gone, groups.usable_others(node.now + seconds))

    def test_a_node_that_answers_late_is_asked_again_at_once(self) -> None:
        node = node_apart_from_owners()
        node.request("/all/x")
        ((late, message), *_) = delegated(node)
        node.advance(OBJECTIVE_SECONDS * 0.5)
        groups = node.machine._members.groups
        self.assertNotIn(late, groups.usable_others(node.now))
        node.emit(PeerReceived(late, DelegatedAnswer(message.delegation_id)))
        self.assertIn(late, groups.usable_others(node.now))

    def test_nodes_that_usually_take_long_are_given_longer(self) -> None:
        for hearing_seconds, is_lost in ((0.001, True), (0.02, False)):
            node = node_apart_from_owners()
            for _ in range(30):
                before = len(delegated(node))
                node.request("/all/x")
                node.advance(hearing_seconds)
                for to, message in delegated(node)[before:]:
                    node.emit(PeerReceived(to, whole_answer(message)))
            node.request("/all/x")
            before = len(node.logs("delegation_lost"))
            node.advance(OBJECTIVE_SECONDS * 0.5)
            self.assertEqual(is_lost, len(node.logs("delegation_lost")) > before)
            node.advance(OBJECTIVE_SECONDS * 0.25)
            self.assertGreater(len(node.logs("delegation_lost")), before)

    def test_messages_to_other_nodes_leave_before_own_work(self) -> None:
        node = node_in_group()
        request = OpaqueRequest(b"GET", b"/all/x", ())
        event = ForwardRequested(9, "id-9", HOST, "/all/x", request, 2.0)
        actions = node.machine.handle(event, node.now)
        kinds = [type(action) for action in actions]
        self.assertIn(SendToPeer, kinds)
        self.assertNotIn(SendToReplica, kinds)
        asked = DelegatedRequest(1, "id-8", request, "/all/", ("s0", "s1"), 3, 1, 0.1, 0.08, 1.0)
        actions = node.machine.handle(PeerReceived(OTHERS[0], asked), node.now)
        self.assertIn(SendToPeer, [type(action) for action in actions])
        self.assertNotIn(SendToReplica, [type(action) for action in actions])

    def test_numbers_of_two_lives_differ(self) -> None:
        numbers = set()
        for seed in range(3):
            node = OneNode(seed=seed, delegate_min_shards=10)
            records = [replica(f"r{number}", f"s{number}", "b") for number in range(SHARDS)]
            node.start(table(1, sharded_route(SHARDS)), *records)
            node.emit(PeerLinkOpened(OWN))
            join(node, *FAR_NODES)
            node.request("/all/x")
            numbers |= {message.delegation_id for _, message in delegated(node)}
        self.assertGreaterEqual(len(numbers), 3)
        self.assertGreater(max(numbers) - min(numbers), 1_000)

    def test_narrow_routes_open_no_connections(self) -> None:
        node = node_apart_from_owners(shards=9)
        node.advance(2.0)
        self.assertEqual([], told(node, PrewarmMessage))
