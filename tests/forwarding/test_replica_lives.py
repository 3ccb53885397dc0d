"""Replicas that start again under their ids: what is believed of a life ends with it."""

import random

from testtools import TestCase

from tests.forwarding.linked_nodes import delegated, node_in_group
from tests.forwarding.one_node import (
    REPLICA_PREFIX,
    OneNode,
    replica,
    single_route,
    table,
)
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.replica_record import ReplicaRecord
from wingquay.model.routing_table import CallerLimits, RoutingTable, UpstreamService
from wingquay.ports.delegation import DelegatedAnswer
from wingquay.ports.forwarding import (
    CancelSend,
    ConnectionTried,
    OpenConnection,
    ReplicaAnswer,
    ReplicaAnswered,
    ReplyFailure,
    ReplyUnchanged,
    SendFailureKind,
)
from wingquay.ports.machine import Start
from wingquay.ports.peer_link import NodeIdentity, PeerLinkBroken, PeerReceived
from wingquay.ports.peer_snapshot import PeerSnapshot
from wingquay.ports.store import (
    ReadResult,
    StartWatch,
    StoredValue,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from wingquay.ports.store_update import StoreUpdate

BORN = 1_700_000_000_000
OLD = replica("r0", "s", born=BORN)
NEW = replica("r0", "s", born=BORN + 5000)
NEIGHBOUR = NodeIdentity("n2", "d", "a", "10.0.0.2", 7000)


def directory() -> ReplicaDirectory:
    return ReplicaDirectory(ForwardingSettings(zone="a"), random.Random(1))


def record_of(known: ReplicaDirectory, replica_id: str = "r0") -> ReplicaRecord | None:
    state = known.get(replica_id)
    return None if state is None else state.record


def started(*records: ReplicaRecord, **route: object) -> OneNode:
    node = OneNode()
    node.start(table(1, single_route(**route)), *(records or (OLD,)))
    return node


class LifeNamesTest(TestCase):
    def test_a_life_is_the_id_and_when_it_was_born(self) -> None:
        lives = [replica("r0", "s", born=born).incarnation for born in (None, 0, BORN)]
        self.assertEqual(["r0", "r0 0", f"r0 {BORN}"], lives)


class OrderOfEntriesTest(TestCase):
    """The store's revision orders entries; when a life was born only tells lives apart."""

    def test_which_entry_holds(self) -> None:
        unborn = replica("r0", "s")
        unborn_leaving = replica("r0", "s", is_draining=True)
        leaving = replica("r0", "s", born=BORN, is_draining=True)
        cases = (
            ("a new life", (OLD, 5), (NEW, 6), NEW),
            ("an older entry after a newer one", (NEW, 6), (OLD, 5), NEW),
            ("an older entry of the same life", (leaving, 6), (OLD, 5), leaving),
            ("the same entry again", (OLD, 5), (OLD, 5), OLD),
            ("a clock that stepped back", (NEW, 5), (OLD, 6), OLD),
            ("no word of its birth, later", (OLD, 5), (unborn, 6), OLD),
            ("the rest of an entry without it", (OLD, 5), (unborn_leaving, 6), leaving),
            ("no word of its birth, earlier", (unborn, 5), (OLD, 6), OLD),
            ("no word of its birth, older", (OLD, 6), (unborn, 5), OLD),
        )
        for what, (first, first_revision), (second, second_revision), expected in cases:
            known = directory()
            known.put(first, 1.0, first_revision)
            known.put(second, 2.0, second_revision)
            self.assertEqual(expected, record_of(known), what)
            self.assertEqual(
                [expected],
                [item.record for item in known.candidates("s", 2.0)]
                or [item for item in (record_of(known),) if item is not None and item.is_draining],
                what,
            )

    def test_only_another_life_forgets_what_was_believed(self) -> None:
        cases = (
            (NEW, 6, True),
            (replica("r0", "s"), 6, False),
            (replica("r0", "s", born=BORN - 5000), 6, True),
            (NEW, 4, False),
            (replica("r0", "s", born=BORN, cold_seconds=3.0), 6, False),
            (replica("r0", "s", born=BORN, is_draining=True), 6, False),
        )
        for record, revision, is_forgotten in cases:
            known = directory()
            known.put(OLD, 1.0, 5)
            before = known.get("r0")
            over = known.put(record, 2.0, revision)
            self.assertIs(before if is_forgotten else None, over, record)
            self.assertEqual(is_forgotten, known.get("r0") is not before, record)

    def test_a_replica_whose_entry_is_gone_is_not_brought_back_by_an_older_entry(self) -> None:
        known = directory()
        known.put(OLD, 1.0, 5)
        known.mark_vanished("r0", 2.0, 8)
        known.put(OLD, 2.5, 7)
        self.assertEqual(2.0, known.get("r0").vanished_at)
        known.put(OLD, 3.0, 9)
        self.assertIsNone(known.get("r0").vanished_at)

    def test_an_older_word_that_it_is_gone_does_not_count(self) -> None:
        known = directory()
        known.put(NEW, 1.0, 9)
        known.mark_vanished("r0", 2.0, 8)
        known.keep_only((), 2.0, 8)
        self.assertIsNone(known.get("r0").vanished_at)
        known.keep_only((), 3.0, 9)
        self.assertEqual(3.0, known.get("r0").vanished_at)

    def test_another_life_may_serve_another_service_elsewhere(self) -> None:
        known = directory()
        known.put(OLD, 1.0, 5)
        moved = ReplicaRecord("r0", "t", "10.0.0.9", 81, "b", 4, born=BORN + 1)
        known.put(moved, 2.0, 6)
        self.assertEqual([], known.candidates("s", 2.0))
        self.assertEqual([moved], [state.record for state in known.candidates("t", 2.0)])

    def test_a_life_that_names_another_service_is_found_there_only(self) -> None:
        known = directory()
        known.put(OLD, 1.0, 5)
        known.put(replica("r0", "t", born=BORN), 2.0, 6)
        self.assertEqual([], known.candidates("s", 2.0))
        self.assertEqual(["t"], [state.record.service for state in known.candidates("t", 2.0)])
        known.remove("r0")
        self.assertEqual(set(), known.services())

    def test_what_others_say_of_the_life_before_does_not_touch_the_new_one(self) -> None:
        known = directory()
        known.put(OLD, 1.0, 5)
        old = known.get("r0")
        known.put(NEW, 2.0, 6)
        known.mark_stale(old, 2.5)
        self.assertEqual(NEW, record_of(known))
        self.assertIsNone(known.get_incarnation(OLD.incarnation))
        self.assertIs(known.get("r0"), known.get_incarnation(NEW.incarnation))


class EntriesAtTheNodeTest(TestCase):
    """The same by each way on which a node hears of entries."""

    def news(self, node: OneNode, item: StoredValue, from_revision: int, revision: int) -> None:
        node.emit(
            PeerReceived(NEIGHBOUR, StoreUpdate(from_revision, revision, (item,), (), 0.0, False))
        )

    def held(self, node: OneNode) -> ReplicaRecord | None:
        return record_of(node.machine._directory)

    def item(self, node: OneNode, record: ReplicaRecord, revision: int) -> StoredValue:
        return StoredValue(REPLICA_PREFIX + "r0", node.stored(record).value, revision)

    def test_news_of_another_node_that_overlap_do_not_bring_an_older_life_back(self) -> None:
        node = started()
        node.store_revision = 9
        node.change(NEW)
        self.news(node, self.item(node, OLD, 6), 5, 11)
        self.assertEqual(NEW, self.held(node))
        self.news(node, self.item(node, OLD, 12), 11, 12)
        self.assertEqual(OLD, self.held(node))

    def test_a_listing_that_is_older_than_the_news_does_not(self) -> None:
        node = started()
        node.change(NEW, values=())
        known = node.machine._directory
        node.machine._contents.apply_listing((self.item(node, OLD, 1),), node.now)
        self.assertEqual(NEW, record_of(known))

    def test_a_copy_of_a_neighbour_is_followed_by_the_later_word_of_the_store(self) -> None:
        node = OneNode()
        node.emit(Start())
        configuration = node.stored_table(table(1, single_route()))
        node.emit(PeerSnapshot((configuration, self.item(node, NEW, 7)), 9))
        self.assertEqual(NEW, self.held(node))
        watch = node.last(StartWatch)
        self.assertEqual(9, watch.from_store_revision)
        node.emit(WatchChanged(watch.watch_id, (self.item(node, OLD, 12),), (), 12))
        self.assertEqual(OLD, self.held(node))

    def test_a_copy_that_comes_after_the_word_of_the_store_is_passed_over(self) -> None:
        node = started()
        node.change(NEW)
        node.emit(PeerSnapshot((self.item(node, OLD, 1),), 1))
        self.assertEqual(NEW, self.held(node))

    def test_a_listing_after_lost_history_that_is_older_is_passed_over(self) -> None:
        node = started()
        node.store_revision = 9
        node.change(NEW)
        node.emit(WatchBroken(node.last_watch_id, "gone", history_lost=True))
        listed = ReadResult((self.item(node, OLD, 5),), 8)
        node.emit(StoreResponse(node.last(StoreRequest).operation_id, listed))
        self.assertEqual(NEW, self.held(node))
        empty = ReadResult((), 12)
        node.emit(WatchBroken(node.last_watch_id, "gone", history_lost=True))
        node.emit(StoreResponse(node.last(StoreRequest).operation_id, empty))
        self.assertEqual(node.now, node.machine._directory.get("r0").vanished_at)

    def test_a_bad_entry_that_is_older_does_not_end_a_life(self) -> None:
        node = started()
        node.store_revision = 9
        node.change(NEW)
        self.news(node, StoredValue(REPLICA_PREFIX + "r0", b"?", 6), 5, 11)
        self.assertIsNone(node.machine._directory.get("r0").vanished_at)


class BeliefsTest(TestCase):
    def test_pace_load_trouble_and_cold_requests_are_those_of_the_life(self) -> None:
        first = replica("r0", "s", born=BORN, cold_seconds=60.0)
        node = started(first, max_attempts=1)
        for _ in range(4):
            node.request()
            node.advance(0.3)
            node.answer(node.sends[0], 500)
        old = node.machine._directory.get("r0")
        self.assertTrue(old.trouble(node.now) > 0.0)
        self.assertEqual(4, old.sent_since(node.now - 2.0))
        node.change(replica("r0", "s", born=BORN + 1, cold_seconds=60.0))
        new = node.machine._directory.get("r0")
        self.assertTrue(new.is_unused)
        self.assertEqual(
            (0.0, 1.0, 0, 0, True),
            (
                new.trouble(node.now),
                new.slowness(node.now),
                new.sent_since(0.0),
                new.failures_in_row,
                new.is_cold(node.now),
            ),
        )

    def test_a_life_that_was_out_of_reach_does_not_keep_work_from_the_next(self) -> None:
        node = started()
        node.request()
        node.fail(node.sends[0], SendFailureKind.NOT_SENT)
        self.assertTrue(node.machine._directory.get("r0").is_out_of_reach)
        node.change(NEW)
        node.request()
        self.assertEqual([NEW], [send.replica for send in node.sends[-1:]])

    def test_a_connection_to_the_life_before_says_nothing_of_the_new_one(self) -> None:
        node = started()
        node.request()
        node.fail(node.sends[0], SendFailureKind.NOT_SENT)
        node.change(NEW)
        node.emit(ConnectionTried(OLD.incarnation, "refused", is_refused=True))
        self.assertFalse(node.machine._directory.get("r0").is_out_of_reach)
        node.emit(ConnectionTried(NEW.incarnation, "refused", is_refused=True))
        self.assertTrue(node.machine._directory.get("r0").is_out_of_reach)

    def test_the_trial_that_was_due_for_the_life_before_is_not_made(self) -> None:
        node = started()
        node.request()
        node.fail(node.sends[0], SendFailureKind.NOT_SENT)
        node.change(NEW)
        for send in list(node.sends):
            node.answer(send)
        before = len(node.actions)
        node.advance(5.0)
        self.assertEqual(
            [], [action for action in node.actions[before:] if isinstance(action, OpenConnection)]
        )


class ChoiceTest(TestCase):
    """Replicas that say when they were born are chosen by the same rules as those that do not."""

    def records(self, copies: int, **fields: object) -> list[ReplicaRecord]:
        return [replica(f"r{copy}", "s", born=BORN + copy, **fields) for copy in range(copies)]

    def test_a_call_asks_no_life_twice(self) -> None:
        node = started(*self.records(3), max_attempts=3)
        node.request()
        for _ in range(3):
            node.fail(node.sends[0], SendFailureKind.BROKEN)
        asked = [send.replica.replica_id for send in node.all_sends]
        self.assertEqual(["r0", "r1", "r2"], sorted(asked))

    def test_one_that_did_not_run_it_is_passed_over(self) -> None:
        node = started(*self.records(2), max_attempts=2)
        node.request()
        node.answer(node.sends[0], 503, signature=None, not_run=True)
        first, second = node.all_sends
        self.assertNotEqual(first.replica, second.replica)

    def sent_to_cold(self, born: int | None) -> int:
        """Return how many of forty requests at once a cold replica gets."""
        routes = (single_route(max_attempts=1),)
        service = UpstreamService("s", 24, cold_requests_per_second=10.0)
        node = OneNode(cold_overage=1.0, cold_slack=0.0, min_nodes=1, max_nodes=1)
        cold = replica("r0", "s", born=born, cold_seconds=60.0)
        node.start(RoutingTable(1, routes, {"s": service}, CallerLimits()), cold)
        for _ in range(40):
            node.request()
            for send in list(node.sends):
                node.answer(send)
        return len(node.all_sends)

    def test_a_cold_one_gets_no_more_than_its_share(self) -> None:
        self.assertTrue(0 < self.sent_to_cold(None) < 10)
        self.assertEqual(self.sent_to_cold(None), self.sent_to_cold(BORN))


class WorkUnderWayTest(TestCase):
    def test_an_entry_that_does_not_say_its_birth_ends_no_work(self) -> None:
        node = started()
        number = node.request()
        sent = node.sends[0]
        node.change(replica("r0", "s"))
        node.change(OLD)
        self.assertEqual(([], [sent]), (node.cancelled, node.sends))
        node.answer(sent)
        self.assertIs(ReplyUnchanged, type(node.replies[number]))
        node.request()
        self.assertEqual([OLD], [send.replica for send in node.sends])

    def test_work_at_the_life_before_is_given_up_and_asked_for_again(self) -> None:
        node = started()
        number = node.request()
        lost = node.sends[0]
        node.advance(0.01)
        node.change(NEW)
        self.assertEqual([lost.attempt_id], node.cancelled)
        self.assertEqual([NEW], [send.replica for send in node.sends])
        node.answer(node.sends[0])
        self.assertIs(ReplyUnchanged, type(node.replies[number]))

    def test_work_that_must_not_run_twice_is_not_asked_for_again(self) -> None:
        node = started(is_repeatable=False, max_attempts=2)
        number = node.request()
        node.change(NEW)
        self.assertEqual([], node.sends)
        self.assertIs(ReplyFailure, type(node.replies[number]))

    def test_an_answer_of_the_life_before_counts_until_the_new_one_is_known(self) -> None:
        node = started()
        number = node.request()
        node.answer(node.sends[0])
        node.change(NEW)
        self.assertIs(ReplyUnchanged, type(node.replies[number]))
        self.assertEqual([], node.cancelled)

    def test_an_answer_that_comes_later_is_passed_over(self) -> None:
        node = started()
        number = node.request()
        lost = node.sends[0]
        node.change(NEW)
        late = ReplicaAnswer(200, (), b"late", "old signature")
        node.emit(ReplicaAnswered(lost.attempt_id, late))
        self.assertNotIn(number, node.replies)
        self.assertTrue(node.machine._directory.get("r0").answered_at < 0.0)

    def test_a_replica_that_only_starts_to_drain_keeps_its_work(self) -> None:
        node = started()
        node.request()
        node.change(replica("r0", "s", born=BORN, is_draining=True))
        self.assertEqual([], [a for a in node.actions if isinstance(a, CancelSend)])

    def test_a_line_tells_of_the_new_life(self) -> None:
        node = started()
        node.request()
        node.change(NEW)
        self.assertEqual(
            [{"replica": "r0", "service": "s", "born": BORN + 5000, "open_attempts": 1}],
            node.logs("replica_born_again"),
        )


class LostNodesTest(TestCase):
    def test_a_lost_node_may_have_asked_the_life_before(self) -> None:
        node = node_in_group(max_attempts=3)
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
        renewed, *others = message.shards
        node.change(replica(f"r{renewed.removeprefix('s')}-a", renewed, born=BORN))
        before = len(node.all_sends)
        node.emit(PeerLinkBroken(sender.node_id, "killed", was_open=True))
        direct = {send.replica.service for send in node.all_sends[before:]}
        self.assertEqual(set(others), direct & set(message.shards))


class EndsUnderRequestsTest(TestCase):
    def lives(self, count: int) -> list[ReplicaRecord]:
        return [replica("r0", "s", born=BORN + number) for number in range(count)]

    def test_lives_of_one_replica_end_one_by_one_under_a_request(self) -> None:
        lives = self.lives(4)
        node = started(lives[0], max_attempts=1)
        for number, life in enumerate(lives[1:]):
            node.request("/one/deadly")
            node.crash_replica(node.sends[0])
            self.assertEqual(number + 1, node.logs("replica_ended_under_request")[-1]["crashes"])
            node.advance(1.0)
            node.change(life)
        self.assertEqual(1, len(node.logs("request_held")))

    def test_a_connection_that_the_next_life_takes_shows_that_the_one_before_ended(self) -> None:
        node = started(max_attempts=1)
        node.request("/one/deadly")
        (looked_into,) = node.disconnect(node.sends[0])
        self.assertEqual(OLD, looked_into)
        node.change(NEW)
        node.emit(ConnectionTried(OLD.incarnation))
        self.assertEqual(
            [OLD.incarnation],
            [line["replica"] for line in node.logs("replica_ended_under_request")],
        )

    def test_an_attempt_that_was_open_when_its_replica_started_again_saw_its_end(self) -> None:
        node = started(max_attempts=1)
        node.request("/one/deadly")
        node.change(NEW)
        self.assertEqual(
            [OLD.incarnation],
            [line["replica"] for line in node.logs("replica_ended_under_request")],
        )

    def test_it_counts_as_an_end_within_the_attempt_of_the_caller(self) -> None:
        """As an end that a refused connection shows: from the second on, one replica is asked."""
        for is_seen_by_entry in (False, True):
            node = started(OLD, replica("r1", "s", born=BORN), max_attempts=2)
            number = node.request("/one/deadly")
            first = node.sends[0]
            if is_seen_by_entry:
                node.change(replica(first.replica.replica_id, "s", born=BORN + 1))
            else:
                node.crash_replica(first)
            exchange = node.machine._forwarding._settlement.get(number)
            self.assertEqual(1, exchange.unexplained_disconnects)

    def test_the_end_of_one_that_was_leaving_is_held_against_no_request(self) -> None:
        node = started(max_attempts=1)
        node.request("/one/x")
        node.change(replica("r0", "s", born=BORN, is_draining=True))
        node.change(NEW)
        self.assertEqual([], node.logs("replica_ended_under_request"))
