"""Nodes send each other what they read from the store, so that one poll serves a group."""

from testtools import TestCase

from tests.forwarding.linked_nodes import join
from tests.forwarding.one_node import (
    NODE_PREFIX,
    REPLICA_PREFIX,
    OneNode,
    replica,
    single_route,
    table,
)
from wingquay.ports.machine import Action
from wingquay.ports.peer_link import (
    NodeIdentity,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)
from wingquay.ports.proof_messages import ProofReply, ProofRequest
from wingquay.ports.store import StartWatch, StopWatch, StoredValue, WatchBroken, WatchChanged
from wingquay.ports.store_update import StoreUpdate

FIRST = NodeIdentity("node-0-a", "", "a", "node-0", 7)
OWN = NodeIdentity("node-1-a", "", "a", "node-1", 7)
LAST = NodeIdentity("node-2-a", "", "a", "node-2", 7)
POLL_INTERVAL_SECONDS = 1.0


def linked(*others: NodeIdentity) -> OneNode:
    """Return a node with one replica that polls each second and is linked to other nodes."""
    node = OneNode()
    node.start(table(1, single_route()), replica("r0", "s"))
    node.emit(PeerLinkOpened(OWN))
    join(node, *others)
    node.advance(5.0)
    return node


def sent_updates(node: OneNode) -> list[tuple[NodeIdentity, StoreUpdate]]:
    """Return the updates that the node has sent."""
    sent = [action for action in node.actions if isinstance(action, SendToPeer)]
    return [(item.to, item.message) for item in sent if isinstance(item.message, StoreUpdate)]


def next_update(node: OneNode, *changed: StoredValue, deleted: tuple[str, ...] = ()) -> StoreUpdate:
    """Return an update that starts at the node's revision."""
    revision = node.store_revision
    node.store_revision += 1
    return StoreUpdate(revision, revision + 1, changed, deleted)


def incomplete(update: StoreUpdate) -> StoreUpdate:
    """Return the same update, marked as possibly incomplete."""
    return StoreUpdate(
        update.from_revision, update.store_revision, update.changed, update.deleted, True
    )


def poll_actions(node: OneNode, actions: int) -> list[Action]:
    """Return the actions on polls after the first so many actions."""
    kinds = (StartWatch, StopWatch)
    return [action for action in node.actions[actions:] if isinstance(action, kinds)]


def proofs_to(node: OneNode, receiver: NodeIdentity) -> list[ProofReply]:
    """Return the proofs that the node has sent to another one."""
    sent = [action for action in node.actions if isinstance(action, SendToPeer)]
    messages = [action.message for action in sent if action.to == receiver]
    return [message for message in messages if isinstance(message, ProofReply)]


class SendUpdatesTest(TestCase):
    def test_polled_changes_are_sent_to_the_other_nodes(self) -> None:
        node = linked(FIRST, LAST)
        before = node.store_revision
        item = StoredValue(NODE_PREFIX + "else", b"1", before + 1)
        node.emit(WatchChanged(self.watch_id(node), (item,), (), before + 1))
        expected = StoreUpdate(before, before + 1, (item,), ())
        self.assertEqual([(FIRST, expected), (LAST, expected)], sent_updates(node)[-2:])

    def test_unchanged_entries_are_left_out(self) -> None:
        node = linked(FIRST)
        node.actions = [action for action in node.actions if isinstance(action, StartWatch)]
        node.change(replica("r0", "s"), replica("r1", "s"))
        ((_, update),) = sent_updates(node)
        self.assertEqual([REPLICA_PREFIX + "r1"], [item.key for item in update.changed])

    def test_recreated_entry_is_sent(self) -> None:
        node = linked(FIRST)
        before = node.store_revision
        known = node.stored(replica("r0", "s"))
        again = StoredValue(known.key, known.value, before + 2, created_at=before + 2)
        node.emit(WatchChanged(self.watch_id(node), (again,), (), before + 2))
        self.assertEqual((again,), sent_updates(node)[-1][1].changed)

    def test_node_with_a_deleted_entry_gets_updates_until_its_link_breaks(self) -> None:
        node = linked(FIRST)
        gone = NODE_PREFIX + FIRST.host
        node.emit(WatchChanged(self.watch_id(node), (), (gone,), node.store_revision + 1))
        self.assertEqual(FIRST, sent_updates(node)[-1][0])
        node.emit(PeerLinkBroken(FIRST.node_id, "test"))
        count = len(sent_updates(node))
        node.store_revision += 1
        node.change(replica("r1", "s"))
        self.assertEqual(count, len(sent_updates(node)))

    def watch_id(self, node: OneNode) -> str:
        return next(
            action.watch_id
            for action in reversed(node.actions)
            if isinstance(action, StartWatch) and action.key == ""
        )

    def answer_late(self, node: OneNode, late_seconds: float, is_stalled: bool) -> float:
        """Answer a poll that takes ``late_seconds``; return when it began.

        A stalled node handles the answer before its overdue timers.
        """
        node.emit(PeerReceived(FIRST, ProofRequest(77)))
        begun_at = node.now
        if is_stalled:
            node.now += late_seconds
        else:
            node.advance(late_seconds)
        changed = (node.stored(replica("r1", "s")),)
        node.store_revision += 1
        answer = WatchChanged(
            self.watch_id(node), changed, (), node.store_revision, begun_at=begun_at
        )
        node.emit(answer)
        return begun_at

    def test_proof_counts_from_the_start_of_the_poll(self) -> None:
        # Neither a late answer nor a sender that lags behind makes the proof newer than the poll.
        for late_seconds in (0.0, 0.4, 1.2, 3.0):
            for is_stalled in (False, True):
                node = linked(FIRST)
                received_at = node.now
                begun_at = self.answer_late(node, late_seconds, is_stalled)
                expected = ProofReply(77, begun_at - received_at, node.store_revision)
                self.assertEqual(expected, proofs_to(node, FIRST)[-1])
                self.assertEqual(0.0, expected.held_seconds)

    def test_proof_follows_the_update_that_it_needs(self) -> None:
        node = linked(FIRST)
        self.answer_late(node, 0.1, False)
        sent = [action.message for action in node.actions if isinstance(action, SendToPeer)]
        self.assertEqual(
            [StoreUpdate, ProofReply], [type(message) for message in sent[-2:]], sent[-2:]
        )

    def test_incomplete_answer_proves_nothing(self) -> None:
        node = linked(FIRST)
        node.emit(PeerReceived(FIRST, ProofRequest(77)))
        before = len(proofs_to(node, FIRST))
        revision = node.store_revision + 1
        answer = WatchChanged(
            self.watch_id(node), (), (), revision, may_have_more=True, begun_at=node.now
        )
        node.emit(answer)
        self.assertTrue(sent_updates(node)[-1][1].may_have_more)
        self.assertEqual(before, len(proofs_to(node, FIRST)))


class ReceiveUpdatesTest(TestCase):
    def test_update_is_applied_and_its_proof_postpones_the_next_poll(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        before = len(node.actions)
        item = node.stored(replica("r1", "s"))
        node.emit(PeerReceived(FIRST, next_update(node, item)))
        self.assertEqual([], poll_actions(node, before))
        node.send_proof(FIRST, 0.0)
        stop, start = poll_actions(node, before)
        self.assertIsInstance(stop, StopWatch)
        self.assertEqual(node.store_revision, start.from_store_revision)
        # The second of three nodes waits one step longer than the first.
        self.assertAlmostEqual(1.3 + 0.04, start.pause_seconds)
        node.request()
        node.request()
        self.assertEqual({"r0", "r1"}, {send.replica.replica_id for send in node.sends})

    def test_incomplete_update_postpones_no_poll(self) -> None:
        # The missing changes may never arrive from other nodes.
        node = linked(FIRST, LAST)
        node.change()
        before = len(node.actions)
        update = next_update(node, node.stored(replica("r1", "s")))
        node.emit(PeerReceived(FIRST, incomplete(update)))
        self.assertEqual([], poll_actions(node, before))
        node.request()
        node.request()
        self.assertEqual({"r0", "r1"}, {send.replica.replica_id for send in node.sends})
        node.emit(PeerReceived(FIRST, next_update(node)))
        node.send_proof(FIRST, 0.0)
        self.assertAlmostEqual(1.3 + 0.04, node.last(StartWatch).pause_seconds)

    def test_updates_are_not_forwarded(self) -> None:
        node = linked(FIRST, LAST)
        count = len(sent_updates(node))
        node.emit(PeerReceived(FIRST, next_update(node, node.stored(replica("r1", "s")))))
        self.assertEqual(count, len(sent_updates(node)))

    def test_update_after_a_gap_is_skipped(self) -> None:
        node = linked(FIRST)
        before = len(node.actions)
        revision = node.store_revision
        item = node.stored(replica("r1", "s"))
        node.emit(PeerReceived(FIRST, StoreUpdate(revision + 1, revision + 2, (item,))))
        self.assertEqual([], poll_actions(node, before))

    def test_skipped_update_is_logged(self) -> None:
        node = linked(FIRST)
        node.emit(WatchBroken(node.last_watch_id, "silent"))
        node.advance(0.1)
        revision = node.store_revision
        node.emit(PeerReceived(FIRST, StoreUpdate(revision + 1, revision + 2)))
        expected = {
            "known_revision": revision,
            "from_revision": revision + 1,
            "consecutive_failures": 1,
            "since_answer_ms": 5100,
        }
        self.assertEqual([expected], node.logs("store_update_skipped"))

    def test_configuration_log_names_its_source(self) -> None:
        node = linked(FIRST)
        for version in (2, 3):
            changed = node.stored_table(table(version, single_route()))
            if version == 2:
                node.emit(PeerReceived(FIRST, next_update(node, changed)))
            else:
                node.change(values=(changed,))
        lines = node.logs("configuration_adopted")
        self.assertEqual(["listing", FIRST.node_id, "poll"], [line["source"] for line in lines])

    def test_outdated_update_postpones_no_poll(self) -> None:
        node = linked(FIRST)
        before = len(node.actions)
        gone = (REPLICA_PREFIX + "r0",)
        node.emit(PeerReceived(FIRST, StoreUpdate(0, node.store_revision - 1, (), gone)))
        self.assertEqual([], poll_actions(node, before))
        node.request()
        self.assertEqual(1, len(node.sends))

    def test_age_of_the_proof_shortens_the_postponement(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        node.advance(0.5)
        node.emit(PeerReceived(FIRST, next_update(node)))
        node.send_proof(FIRST, 0.2)
        self.assertAlmostEqual(1.3 + 0.04 - 0.2, node.last(StartWatch).pause_seconds)

    def test_late_update_is_applied_but_postpones_no_poll(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        node.advance(0.5)
        before = len(node.actions)
        item = node.stored(replica("r1", "s"))
        node.emit(PeerReceived(FIRST, next_update(node, item)))
        # The poll of this node is due before the one that this proof allows.
        node.send_proof(FIRST, 1.2)
        self.assertEqual([], poll_actions(node, before))
        node.request()
        node.request()
        self.assertEqual({"r0", "r1"}, {send.replica.replica_id for send in node.sends})

    def test_update_without_a_proof_postpones_no_poll(self) -> None:
        # A message may have been under way for any time.
        node = linked(FIRST, LAST)
        node.change()
        before = len(node.actions)
        for _ in range(10):
            node.advance(0.1)
            node.emit(PeerReceived(FIRST, next_update(node)))
        self.assertEqual([], poll_actions(node, before))

    def test_lag_of_the_receiver_shortens_the_postponement(self) -> None:
        # After a pause a node reads its sockets before its timers fire.
        for is_stalled in (False, True):
            node = linked(FIRST, LAST)
            node.change()
            number, requested_at = node.proof_requests[FIRST.node_id]
            held_seconds = node.now - requested_at
            if is_stalled:
                node.stall(0.7)
            else:
                node.now += 0.7
            node.emit(PeerReceived(FIRST, next_update(node)))
            proof = ProofReply(number, held_seconds, node.store_revision)
            node.emit(PeerReceived(FIRST, proof))
            self.assertAlmostEqual(1.3 + 0.04 - 0.7, node.last(StartWatch).pause_seconds)

    def test_poll_under_way_is_not_postponed(self) -> None:
        node = linked(FIRST)
        node.change()
        node.advance(1.4)
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, next_update(node)))
        node.send_proof(FIRST, 0.0)
        self.assertEqual([], poll_actions(node, before))

    def test_poll_after_an_incomplete_answer_is_not_postponed(self) -> None:
        node = linked(FIRST)
        watch = node.last(StartWatch).watch_id
        revision = node.store_revision
        node.emit(WatchChanged(watch, (), (), revision + 1, may_have_more=True))
        self.assertTrue(sent_updates(node)[-1][1].may_have_more)
        node.store_revision = revision + 1
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, next_update(node)))
        node.send_proof(FIRST, 0.0)
        self.assertEqual([], poll_actions(node, before))

    def test_answer_older_than_the_update_changes_nothing(self) -> None:
        node = linked(FIRST)
        node.change(replica("r1", "s"))
        looking = node.last(StartWatch).watch_id
        revision = node.store_revision
        node.advance(1.4)
        draining = node.stored(replica("r1", "s", is_draining=True))
        node.emit(PeerReceived(FIRST, StoreUpdate(revision, revision + 2, (draining,))))
        # The poll was answered before the replica started to drain.
        ready = node.stored(replica("r1", "s"))
        node.emit(WatchChanged(looking, (ready,), (), revision + 1))
        for _ in range(8):
            node.request()
        self.assertEqual({"r0"}, {send.replica.replica_id for send in node.sends})

    def test_node_rejected_by_the_store_applies_updates(self) -> None:
        node = linked(FIRST)
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "refused"))
        changed = node.stored_table(table(2, single_route(service="new")))
        update = next_update(node, changed, node.stored(replica("n0", "new")))
        node.emit(PeerReceived(FIRST, update))
        node.request()
        self.assertEqual(["n0"], [send.replica.replica_id for send in node.sends])
        # It continues to poll from the update's revision.
        node.advance(1.5)
        self.assertEqual(node.store_revision, node.last(StartWatch).from_store_revision)


class LongPollTest(TestCase):
    """Only the first node of a group uses long polls."""

    def answer_poll(self, node: OneNode) -> bool:
        """Answer a poll without changes; return whether the next one is a long poll."""
        node.emit(WatchChanged(node.last_watch_id, (), (), node.store_revision))
        return node.last(StartWatch).hold_seconds > 0.0

    def receive_update(self, node: OneNode) -> None:
        """Receive an update of the first node without changes."""
        node.emit(PeerReceived(FIRST, StoreUpdate(node.store_revision, node.store_revision)))

    def test_first_node_uses_long_polls(self) -> None:
        node = linked(LAST)
        self.receive_update(node)
        self.assertTrue(self.answer_poll(node))

    def test_other_nodes_use_short_polls_while_updates_arrive(self) -> None:
        node = linked(FIRST)
        self.receive_update(node)
        self.assertFalse(self.answer_poll(node))

    def test_node_without_updates_uses_long_polls(self) -> None:
        node = linked(FIRST)
        self.receive_update(node)
        self.answer_poll(node)
        self.assertTrue(self.answer_poll(node))
        self.receive_update(node)
        self.assertFalse(self.answer_poll(node))

    def test_node_that_polls_for_its_group_polls_more_often(self) -> None:
        for other, seconds in ((LAST, 0.8), (FIRST, 1.3)):
            node = linked(other)
            self.receive_update(node)
            self.answer_poll(node)
            self.assertEqual(seconds, node.last(StartWatch).poll_interval_seconds)

    def test_single_node_uses_long_polls(self) -> None:
        self.assertTrue(self.answer_poll(linked()))

    def test_poll_without_changes_is_sent_as_well(self) -> None:
        node = linked(FIRST)
        before = len(sent_updates(node))
        revision = node.store_revision
        node.emit(WatchChanged(node.last_watch_id, (), (), revision))
        self.assertEqual([(FIRST, StoreUpdate(revision, revision))], sent_updates(node)[before:])

    def test_each_proof_postpones_the_next_poll(self) -> None:
        node = linked(FIRST)
        self.receive_update(node)
        self.answer_poll(node)
        for _ in range(5):
            node.advance(0.9)
            before = len(node.actions)
            node.emit(PeerReceived(FIRST, StoreUpdate(node.store_revision, node.store_revision)))
            node.send_proof(FIRST, 0.0)
            started = [item for item in poll_actions(node, before) if isinstance(item, StartWatch)]
            self.assertEqual(1, len(started))
            self.assertGreater(started[0].pause_seconds, POLL_INTERVAL_SECONDS)
            self.assertEqual(0.0, started[0].hold_seconds)
