"""Nodes tell each other what they read of the store, so that one of them looks at it for all."""

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
from wingquay.ports.store import StartWatch, StopWatch, StoredValue, WatchBroken, WatchChanged
from wingquay.ports.store_update import StoreUpdate

FIRST = NodeIdentity("node-0-a", "", "a", "node-0", 7)
OWN = NodeIdentity("node-1-a", "", "a", "node-1", 7)
LAST = NodeIdentity("node-2-a", "", "a", "node-2", 7)
GATHER_SECONDS = 1.0


def linked(*others: NodeIdentity) -> OneNode:
    """Return a node with a replica that looks at the store each second and knows other nodes."""
    node = OneNode()
    node.start(table(1, single_route()), replica("r0", "s"))
    node.emit(PeerLinkOpened(OWN))
    join(node, *others)
    node.advance(5.0)
    return node


def told(node: OneNode) -> list[tuple[NodeIdentity, StoreUpdate]]:
    """Return the news that the node has sent."""
    sent = [action for action in node.actions if isinstance(action, SendToPeer)]
    return [(item.to, item.message) for item in sent if isinstance(item.message, StoreUpdate)]


def news_for(node: OneNode, *changed: StoredValue, deleted: tuple[str, ...] = ()) -> StoreUpdate:
    """Return news that begin with what the node knows."""
    revision = node.store_revision
    node.store_revision += 1
    return StoreUpdate(revision, revision + 1, changed, deleted)


def older(news: StoreUpdate, age_seconds: float) -> StoreUpdate:
    """Return the same news, sent later."""
    return StoreUpdate(
        news.from_revision, news.store_revision, news.changed, news.deleted, age_seconds
    )


def cut(news: StoreUpdate) -> StoreUpdate:
    """Return the same news, of an answer that may hold only a part of what changed."""
    return StoreUpdate(
        news.from_revision, news.store_revision, news.changed, news.deleted, 0.0, True
    )


def since(node: OneNode, actions: int) -> list[Action]:
    """Return what the node did after so many actions, store and link only."""
    kinds = (StartWatch, StopWatch, SendToPeer)
    return [action for action in node.actions[actions:] if isinstance(action, kinds)]


class TellingTest(TestCase):
    def test_what_a_look_shows_is_told_to_the_other_nodes(self) -> None:
        node = linked(FIRST, LAST)
        before = node.store_revision
        item = StoredValue(NODE_PREFIX + "else", b"1", before + 1)
        node.emit(WatchChanged(self.watch_id(node), (item,), (), before + 1))
        expected = StoreUpdate(before, before + 1, (item,), ())
        self.assertEqual([(FIRST, expected), (LAST, expected)], told(node)[-2:])

    def test_entries_that_were_only_written_again_are_left_out(self) -> None:
        node = linked(FIRST)
        node.actions = [action for action in node.actions if isinstance(action, StartWatch)]
        node.change(replica("r0", "s"), replica("r1", "s"))
        ((_, news),) = told(node)
        self.assertEqual([REPLICA_PREFIX + "r1"], [item.key for item in news.changed])

    def test_an_entry_that_was_gone_in_between_is_told(self) -> None:
        node = linked(FIRST)
        before = node.store_revision
        known = node.stored(replica("r0", "s"))
        again = StoredValue(known.key, known.value, before + 2, created_at=before + 2)
        node.emit(WatchChanged(self.watch_id(node), (again,), (), before + 2))
        self.assertEqual((again,), told(node)[-1][1].changed)

    def test_a_node_whose_key_was_taken_is_told_until_its_link_breaks(self) -> None:
        node = linked(FIRST)
        gone = NODE_PREFIX + FIRST.host
        node.emit(WatchChanged(self.watch_id(node), (), (gone,), node.store_revision + 1))
        self.assertEqual(FIRST, told(node)[-1][0])
        node.emit(PeerLinkBroken(FIRST.node_id, "test"))
        count = len(told(node))
        node.store_revision += 1
        node.change(replica("r1", "s"))
        self.assertEqual(count, len(told(node)))

    def watch_id(self, node: OneNode) -> str:
        return next(
            action.watch_id
            for action in reversed(node.actions)
            if isinstance(action, StartWatch) and action.key == ""
        )

    def test_a_sender_says_how_late_it_is_with_its_work(self) -> None:
        node = linked(FIRST)
        node.stall(0.9)
        node.change(replica("r1", "s"))
        late_seconds = told(node)[-1][1].age_seconds
        self.assertTrue(0.4 <= late_seconds <= 0.9, late_seconds)

    def test_a_sender_that_stood_still_says_so_although_its_timers_fire_later(self) -> None:
        # A configuration came late on other nodes: what waited at the sockets of a node that had
        # stood still was handled before its timers, so that news of before told an age of 0.
        node = linked(FIRST)
        node.now += 3.0
        node.change(replica("r1", "s"))
        age_seconds = told(node)[-1][1].age_seconds
        self.assertTrue(2.7 <= age_seconds <= 3.0, age_seconds)

    def test_a_look_that_took_long_makes_old_news(self) -> None:
        node = linked(FIRST)
        node.emit(PeerReceived(FIRST, StoreUpdate(node.store_revision, node.store_revision)))
        node.emit(WatchChanged(node.last_watch_id, (), (), node.store_revision))
        self.assertEqual(0.0, node.last(StartWatch).hold_seconds)
        node.advance(node.last(StartWatch).poll_interval_seconds + 1.2)
        node.emit(WatchChanged(node.last_watch_id, (), (), node.store_revision))
        self.assertAlmostEqual(1.2, told(node)[-1][1].age_seconds)


class HearingTest(TestCase):
    def test_news_are_taken_in_and_the_own_look_is_put_off(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        before = len(node.actions)
        item = node.stored(replica("r1", "s"))
        node.emit(PeerReceived(FIRST, news_for(node, item)))
        stop, start = since(node, before)
        self.assertIsInstance(stop, StopWatch)
        self.assertEqual(node.store_revision, start.from_store_revision)
        # The second of three nodes waits one step longer than the first.
        self.assertAlmostEqual(1.3 + 0.04, start.pause_seconds)
        node.request()
        node.request()
        self.assertEqual({"r0", "r1"}, {send.replica.replica_id for send in node.sends})

    def test_news_of_an_answer_that_was_cut_put_nothing_off(self) -> None:
        # The rest of what changed, a configuration perhaps, may never be heard of.
        node = linked(FIRST, LAST)
        node.change()
        before = len(node.actions)
        news = news_for(node, node.stored(replica("r1", "s")))
        node.emit(PeerReceived(FIRST, cut(news)))
        self.assertEqual([], since(node, before))
        node.request()
        node.request()
        self.assertEqual({"r0", "r1"}, {send.replica.replica_id for send in node.sends})
        node.emit(PeerReceived(FIRST, news_for(node)))
        self.assertAlmostEqual(1.3 + 0.04, node.last(StartWatch).pause_seconds)

    def test_news_are_not_passed_on(self) -> None:
        node = linked(FIRST, LAST)
        count = len(told(node))
        node.emit(PeerReceived(FIRST, news_for(node, node.stored(replica("r1", "s")))))
        self.assertEqual(count, len(told(node)))

    def test_news_with_a_gap_before_them_are_passed_over(self) -> None:
        node = linked(FIRST)
        before = len(node.actions)
        revision = node.store_revision
        item = node.stored(replica("r1", "s"))
        node.emit(PeerReceived(FIRST, StoreUpdate(revision + 1, revision + 2, (item,))))
        self.assertEqual([], since(node, before))

    def test_a_line_tells_of_news_that_were_passed_over(self) -> None:
        node = linked(FIRST)
        node.emit(WatchBroken(node.last_watch_id, "silent"))
        node.advance(0.1)
        revision = node.store_revision
        node.emit(PeerReceived(FIRST, StoreUpdate(revision + 1, revision + 2)))
        expected = {
            "known_revision": revision,
            "from_revision": revision + 1,
            "failures": 1,
            "silent_ms": 5100,
        }
        self.assertEqual([expected], node.logs("store_news_passed_over"))

    def test_a_configuration_says_who_told_it(self) -> None:
        node = linked(FIRST)
        for version in (2, 3):
            changed = node.stored_table(table(version, single_route()))
            if version == 2:
                node.emit(PeerReceived(FIRST, news_for(node, changed)))
            else:
                node.change(values=(changed,))
        lines = node.logs("configuration_adopted")
        self.assertEqual(["listing", FIRST.node_id, "poll"], [line["source"] for line in lines])

    def test_old_news_put_nothing_off(self) -> None:
        node = linked(FIRST)
        before = len(node.actions)
        gone = (REPLICA_PREFIX + "r0",)
        node.emit(PeerReceived(FIRST, StoreUpdate(0, node.store_revision - 1, (), gone)))
        self.assertEqual([], since(node, before))
        node.request()
        self.assertEqual(1, len(node.sends))

    def test_the_time_that_news_have_taken_is_taken_off(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        node.advance(0.5)
        node.emit(PeerReceived(FIRST, older(news_for(node), 0.2)))
        self.assertAlmostEqual(1.3 + 0.04 - 0.2, node.last(StartWatch).pause_seconds)

    def test_news_that_took_long_put_nothing_off(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, older(news_for(node), 0.4)))
        self.assertEqual([], since(node, before))
        # What they tell counts all the same.
        item = node.stored(replica("r1", "s"))
        node.emit(PeerReceived(FIRST, older(news_for(node, item), 0.4)))
        node.request()
        node.request()
        self.assertEqual({"r0", "r1"}, {send.replica.replica_id for send in node.sends})

    def test_a_node_that_is_late_with_its_work_looks_itself(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        node.stall(0.9)
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, news_for(node)))
        self.assertEqual([], since(node, before))

    def test_a_node_that_stood_still_looks_itself_although_its_timers_fire_later(self) -> None:
        node = linked(FIRST, LAST)
        node.change()
        node.now += 0.7
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, news_for(node)))
        self.assertEqual([], since(node, before))

    def test_a_look_that_has_begun_is_not_put_off(self) -> None:
        node = linked(FIRST)
        node.change()
        node.advance(1.4)
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, news_for(node)))
        self.assertEqual([], since(node, before))

    def test_a_look_whose_answer_was_cut_goes_on_whatever_is_heard(self) -> None:
        node = linked(FIRST)
        watch = node.last(StartWatch).watch_id
        revision = node.store_revision
        node.emit(WatchChanged(watch, (), (), revision + 1, may_have_more=True))
        self.assertTrue(told(node)[-1][1].may_have_more)
        node.store_revision = revision + 1
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, news_for(node)))
        self.assertEqual([], since(node, before))

    def test_an_answer_of_the_store_that_is_older_than_the_news_changes_nothing(self) -> None:
        node = linked(FIRST)
        node.change(replica("r1", "s"))
        looking = node.last(StartWatch).watch_id
        revision = node.store_revision
        node.advance(1.4)
        draining = node.stored(replica("r1", "s", is_draining=True))
        node.emit(PeerReceived(FIRST, StoreUpdate(revision, revision + 2, (draining,))))
        # The look had begun; its answer was given before the replica began to drain.
        ready = node.stored(replica("r1", "s"))
        node.emit(WatchChanged(looking, (ready,), (), revision + 1))
        for _ in range(8):
            node.request()
        self.assertEqual({"r0"}, {send.replica.replica_id for send in node.sends})

    def test_a_node_that_the_store_turns_away_goes_by_the_news(self) -> None:
        node = linked(FIRST)
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "refused"))
        changed = node.stored_table(table(2, single_route(service="new")))
        news = news_for(node, changed, node.stored(replica("n0", "new")))
        node.emit(PeerReceived(FIRST, news))
        node.request()
        self.assertEqual(["n0"], [send.replica.replica_id for send in node.sends])
        # It goes on asking the store, from where the news ended.
        node.advance(1.5)
        self.assertEqual(node.store_revision, node.last(StartWatch).from_store_revision)


class WaitingTest(TestCase):
    """Only the first node of a group lets the store hold its looks."""

    def look(self, node: OneNode) -> bool:
        """Let a look show nothing; return whether the next one may be held."""
        node.emit(WatchChanged(node.last_watch_id, (), (), node.store_revision))
        return node.last(StartWatch).hold_seconds > 0.0

    def hear(self, node: OneNode) -> None:
        """Let the first node tell that nothing has changed."""
        node.emit(PeerReceived(FIRST, StoreUpdate(node.store_revision, node.store_revision)))

    def test_the_first_one_waits_at_the_store(self) -> None:
        node = linked(LAST)
        self.hear(node)
        self.assertTrue(self.look(node))

    def test_the_others_do_not_while_they_hear_of_it(self) -> None:
        node = linked(FIRST)
        self.hear(node)
        self.assertFalse(self.look(node))

    def test_one_that_hears_nothing_any_more_waits_instead(self) -> None:
        node = linked(FIRST)
        self.hear(node)
        self.look(node)
        self.assertTrue(self.look(node))
        self.hear(node)
        self.assertFalse(self.look(node))

    def test_who_looks_for_others_does_so_more_often(self) -> None:
        for other, seconds in ((LAST, 0.8), (FIRST, 1.3)):
            node = linked(other)
            self.hear(node)
            self.look(node)
            self.assertEqual(seconds, node.last(StartWatch).poll_interval_seconds)

    def test_a_node_alone_does(self) -> None:
        self.assertTrue(self.look(linked()))

    def test_a_look_that_showed_nothing_is_told_as_well(self) -> None:
        node = linked(FIRST)
        before = len(told(node))
        revision = node.store_revision
        node.emit(WatchChanged(node.last_watch_id, (), (), revision))
        self.assertEqual([(FIRST, StoreUpdate(revision, revision))], told(node)[before:])

    def test_news_put_the_next_look_off_again_and_again(self) -> None:
        node = linked(FIRST)
        self.hear(node)
        self.look(node)
        for _ in range(5):
            node.advance(0.9)
            before = len(node.actions)
            node.emit(PeerReceived(FIRST, StoreUpdate(node.store_revision, node.store_revision)))
            started = [item for item in since(node, before) if isinstance(item, StartWatch)]
            self.assertEqual(1, len(started))
            self.assertGreater(started[0].pause_seconds, GATHER_SECONDS)
            self.assertEqual(0.0, started[0].hold_seconds)
