"""State of a replica belongs to one incarnation and must not outlast its restart."""

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


def record_of(replicas: ReplicaDirectory, replica_id: str = "r0") -> ReplicaRecord | None:
    state = replicas.get(replica_id)
    return None if state is None else state.record


def started(*records: ReplicaRecord, **route: object) -> OneNode:
    node = OneNode()
    node.start(table(1, single_route(**route)), *(records or (OLD,)))
    return node


class IncarnationNamesTest(TestCase):
    def test_an_incarnation_is_named_by_id_and_start_time(self) -> None:
        names = [replica("r0", "s", born=born).incarnation for born in (None, 0, BORN)]
        self.assertEqual(["r0", "r0 0", f"r0 {BORN}"], names)


class RecordOrderTest(TestCase):
    """Records are ordered by store revision; start times only distinguish incarnations."""

    def test_which_record_applies(self) -> None:
        unstated = replica("r0", "s")
        unstated_draining = replica("r0", "s", is_draining=True)
        leaving = replica("r0", "s", born=BORN, is_draining=True)
        cases = (
            ("a new incarnation", (OLD, 5), (NEW, 6), NEW),
            ("an older record after a newer one", (NEW, 6), (OLD, 5), NEW),
            ("an older record of the same incarnation", (leaving, 6), (OLD, 5), leaving),
            ("the same record again", (OLD, 5), (OLD, 5), OLD),
            ("a clock that stepped back", (NEW, 5), (OLD, 6), OLD),
            ("no start time, newer", (OLD, 5), (unstated, 6), OLD),
            ("other fields without a start time", (OLD, 5), (unstated_draining, 6), leaving),
            ("no start time at first", (unstated, 5), (OLD, 6), OLD),
            ("no start time, older", (OLD, 6), (unstated, 5), OLD),
        )
        for what, (first, first_revision), (second, second_revision), expected in cases:
            replicas = directory()
            replicas.put(first, 1.0, first_revision)
            replicas.put(second, 2.0, second_revision)
            self.assertEqual(expected, record_of(replicas), what)
            self.assertEqual(
                [expected],
                [item.record for item in replicas.candidates("s", 2.0)]
                or [
                    item for item in (record_of(replicas),) if item is not None and item.is_draining
                ],
                what,
            )

    def test_only_a_new_incarnation_resets_the_state(self) -> None:
        cases = (
            (NEW, 6, True),
            (replica("r0", "s"), 6, False),
            (replica("r0", "s", born=BORN - 5000), 6, True),
            (NEW, 4, False),
            (replica("r0", "s", born=BORN, cold_seconds=3.0), 6, False),
            (replica("r0", "s", born=BORN, is_draining=True), 6, False),
        )
        for record, revision, is_reset in cases:
            replicas = directory()
            replicas.put(OLD, 1.0, 5)
            before = replicas.get("r0")
            superseded = replicas.put(record, 2.0, revision)
            self.assertIs(before if is_reset else None, superseded, record)
            self.assertEqual(is_reset, replicas.get("r0") is not before, record)

    def test_a_deleted_record_is_not_restored_by_an_older_one(self) -> None:
        replicas = directory()
        replicas.put(OLD, 1.0, 5)
        replicas.mark_vanished("r0", 2.0, 8)
        replicas.put(OLD, 2.5, 7)
        self.assertEqual(2.0, replicas.get("r0").vanished_at)
        replicas.put(OLD, 3.0, 9)
        self.assertIsNone(replicas.get("r0").vanished_at)

    def test_an_older_deletion_is_ignored(self) -> None:
        replicas = directory()
        replicas.put(NEW, 1.0, 9)
        replicas.mark_vanished("r0", 2.0, 8)
        replicas.keep_only((), 2.0, 8)
        self.assertIsNone(replicas.get("r0").vanished_at)
        replicas.keep_only((), 3.0, 9)
        self.assertEqual(3.0, replicas.get("r0").vanished_at)

    def test_a_new_incarnation_may_serve_another_service(self) -> None:
        replicas = directory()
        replicas.put(OLD, 1.0, 5)
        moved = ReplicaRecord("r0", "t", "10.0.0.9", 81, "b", 4, born=BORN + 1)
        replicas.put(moved, 2.0, 6)
        self.assertEqual([], replicas.candidates("s", 2.0))
        self.assertEqual([moved], [state.record for state in replicas.candidates("t", 2.0)])

    def test_an_incarnation_that_changes_its_service_is_moved(self) -> None:
        replicas = directory()
        replicas.put(OLD, 1.0, 5)
        replicas.put(replica("r0", "t", born=BORN), 2.0, 6)
        self.assertEqual([], replicas.candidates("s", 2.0))
        self.assertEqual(["t"], [state.record.service for state in replicas.candidates("t", 2.0)])
        replicas.remove("r0")
        self.assertEqual(set(), replicas.services())

    def test_a_stale_mark_of_the_previous_incarnation_does_not_remove_the_new_one(self) -> None:
        replicas = directory()
        replicas.put(OLD, 1.0, 5)
        old = replicas.get("r0")
        replicas.put(NEW, 2.0, 6)
        replicas.mark_stale(old, 2.5)
        self.assertEqual(NEW, record_of(replicas))
        self.assertIsNone(replicas.get_incarnation(OLD.incarnation))
        self.assertIs(replicas.get("r0"), replicas.get_incarnation(NEW.incarnation))


class RecordsAtTheNodeTest(TestCase):
    """Older records are ignored whichever way they reach the node."""

    def send_update(
        self, node: OneNode, item: StoredValue, from_revision: int, revision: int
    ) -> None:
        node.emit(PeerReceived(NEIGHBOUR, StoreUpdate(from_revision, revision, (item,))))

    def current_record(self, node: OneNode) -> ReplicaRecord | None:
        return record_of(node.machine._directory)

    def item(self, node: OneNode, record: ReplicaRecord, revision: int) -> StoredValue:
        return StoredValue(REPLICA_PREFIX + "r0", node.stored(record).value, revision)

    def test_overlapping_updates_of_another_node_do_not_restore_an_older_incarnation(self) -> None:
        node = started()
        node.store_revision = 9
        node.change(NEW)
        self.send_update(node, self.item(node, OLD, 6), 5, 11)
        self.assertEqual(NEW, self.current_record(node))
        self.send_update(node, self.item(node, OLD, 12), 11, 12)
        self.assertEqual(OLD, self.current_record(node))

    def test_an_older_listing_does_not_restore_an_older_incarnation(self) -> None:
        node = started()
        node.change(NEW, values=())
        replicas = node.machine._directory
        node.machine._contents.apply_listing((self.item(node, OLD, 1),), node.now)
        self.assertEqual(NEW, record_of(replicas))

    def test_later_store_updates_apply_after_a_neighbour_snapshot(self) -> None:
        node = OneNode()
        node.emit(Start())
        configuration = node.stored_table(table(1, single_route()))
        node.emit(PeerSnapshot((configuration, self.item(node, NEW, 7)), 9))
        self.assertEqual(NEW, self.current_record(node))
        watch = node.last(StartWatch)
        self.assertEqual(9, watch.from_store_revision)
        node.emit(WatchChanged(watch.watch_id, (self.item(node, OLD, 12),), (), 12))
        self.assertEqual(OLD, self.current_record(node))

    def test_a_neighbour_snapshot_older_than_the_store_update_is_ignored(self) -> None:
        node = started()
        node.change(NEW)
        node.emit(PeerSnapshot((self.item(node, OLD, 1),), 1))
        self.assertEqual(NEW, self.current_record(node))

    def test_an_older_listing_after_lost_history_is_ignored(self) -> None:
        node = started()
        node.store_revision = 9
        node.change(NEW)
        node.emit(WatchBroken(node.last_watch_id, "gone", history_lost=True))
        listed = ReadResult((self.item(node, OLD, 5),), 8)
        node.emit(StoreResponse(node.last(StoreRequest).operation_id, listed))
        self.assertEqual(NEW, self.current_record(node))
        empty = ReadResult((), 12)
        node.emit(WatchBroken(node.last_watch_id, "gone", history_lost=True))
        node.emit(StoreResponse(node.last(StoreRequest).operation_id, empty))
        self.assertEqual(node.now, node.machine._directory.get("r0").vanished_at)

    def test_an_older_malformed_record_does_not_remove_a_replica(self) -> None:
        node = started()
        node.store_revision = 9
        node.change(NEW)
        self.send_update(node, StoredValue(REPLICA_PREFIX + "r0", b"?", 6), 5, 11)
        self.assertIsNone(node.machine._directory.get("r0").vanished_at)


class ReplicaStateTest(TestCase):
    def test_a_new_incarnation_starts_with_a_fresh_state(self) -> None:
        first = replica("r0", "s", born=BORN, cold_seconds=60.0)
        node = started(first, max_attempts=1)
        for _ in range(4):
            node.request()
            node.advance(0.3)
            node.answer(node.sends[0], 500)
        old = node.machine._directory.get("r0")
        self.assertTrue(old.failure_rate(node.now) > 0.0)
        self.assertEqual(4, old.cold_sends_since(node.now - 2.0))
        node.change(replica("r0", "s", born=BORN + 1, cold_seconds=60.0))
        new = node.machine._directory.get("r0")
        self.assertTrue(new.is_unused)
        self.assertEqual(
            (0.0, 1.0, 0, 0, True),
            (
                new.failure_rate(node.now),
                new.slowdown(node.now),
                new.cold_sends_since(0.0),
                new.failures_in_row,
                new.is_cold(node.now),
            ),
        )

    def test_an_unreachable_incarnation_does_not_block_the_next_one(self) -> None:
        node = started()
        node.request()
        node.fail(node.sends[0], SendFailureKind.NOT_SENT)
        self.assertTrue(node.machine._directory.get("r0").is_unreachable)
        node.change(NEW)
        node.request()
        self.assertEqual([NEW], [send.replica for send in node.sends[-1:]])

    def test_a_connection_result_of_the_previous_incarnation_is_ignored(self) -> None:
        node = started()
        node.request()
        node.fail(node.sends[0], SendFailureKind.NOT_SENT)
        node.change(NEW)
        node.emit(ConnectionTried(OLD.incarnation, "refused", is_refused=True))
        self.assertFalse(node.machine._directory.get("r0").is_unreachable)
        node.emit(ConnectionTried(NEW.incarnation, "refused", is_refused=True))
        self.assertTrue(node.machine._directory.get("r0").is_unreachable)

    def test_a_reconnect_scheduled_for_the_previous_incarnation_is_not_made(self) -> None:
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
    """Replicas with a start time are selected by the same rules as those without."""

    def records(self, copies: int, **fields: object) -> list[ReplicaRecord]:
        return [replica(f"r{copy}", "s", born=BORN + copy, **fields) for copy in range(copies)]

    def test_a_call_is_sent_to_each_incarnation_once(self) -> None:
        node = started(*self.records(3), max_attempts=3)
        node.request()
        for _ in range(3):
            node.fail(node.sends[0], SendFailureKind.BROKEN)
        asked = [send.replica.replica_id for send in node.all_sends]
        self.assertEqual(["r0", "r1", "r2"], sorted(asked))

    def test_a_replica_that_did_not_run_the_request_is_not_tried_again(self) -> None:
        node = started(*self.records(2), max_attempts=2)
        node.request()
        node.answer(node.sends[0], 503, signature=None, not_run=True)
        first, second = node.all_sends
        self.assertNotEqual(first.replica, second.replica)

    def sent_to_cold(self, born: int | None) -> int:
        """Return how many of forty simultaneous requests a cold replica receives."""
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

    def test_a_cold_replica_receives_no_more_than_the_quota(self) -> None:
        self.assertTrue(0 < self.sent_to_cold(None) < 10)
        self.assertEqual(self.sent_to_cold(None), self.sent_to_cold(BORN))


class AttemptsInFlightTest(TestCase):
    def test_a_record_without_a_start_time_cancels_no_attempts(self) -> None:
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

    def test_attempts_at_the_previous_incarnation_are_cancelled_and_repeated(self) -> None:
        node = started()
        number = node.request()
        lost = node.sends[0]
        node.advance(0.01)
        node.change(NEW)
        self.assertEqual([lost.attempt_id], node.cancelled)
        self.assertEqual([NEW], [send.replica for send in node.sends])
        node.answer(node.sends[0])
        self.assertIs(ReplyUnchanged, type(node.replies[number]))

    def test_a_non_repeatable_request_is_not_repeated(self) -> None:
        node = started(is_repeatable=False, max_attempts=2)
        number = node.request()
        node.change(NEW)
        self.assertEqual([], node.sends)
        self.assertIs(ReplyFailure, type(node.replies[number]))

    def test_an_answer_before_the_new_record_is_delivered(self) -> None:
        node = started()
        number = node.request()
        node.answer(node.sends[0])
        node.change(NEW)
        self.assertIs(ReplyUnchanged, type(node.replies[number]))
        self.assertEqual([], node.cancelled)

    def test_an_answer_after_the_new_record_is_ignored(self) -> None:
        node = started()
        number = node.request()
        lost = node.sends[0]
        node.change(NEW)
        late = ReplicaAnswer(200, (), b"late", "old signature")
        node.emit(ReplicaAnswered(lost.attempt_id, late))
        self.assertNotIn(number, node.replies)
        self.assertTrue(node.machine._directory.get("r0").answered_at < 0.0)

    def test_a_replica_that_starts_to_drain_keeps_its_attempts(self) -> None:
        node = started()
        node.request()
        node.change(replica("r0", "s", born=BORN, is_draining=True))
        self.assertEqual([], [a for a in node.actions if isinstance(a, CancelSend)])

    def test_a_new_incarnation_is_logged(self) -> None:
        node = started()
        node.request()
        node.change(NEW)
        self.assertEqual(
            [{"replica": "r0", "service": "s", "born": BORN + 5000, "open_attempts": 1}],
            node.logs("replica_born_again"),
        )


class LostNodesTest(TestCase):
    def test_a_shard_delegated_to_a_lost_node_is_not_sent_to_a_restarted_replica(self) -> None:
        node = node_in_group(max_attempts=3)
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
        restarted, *others = message.shards
        node.change(replica(f"r{restarted.removeprefix('s')}-a", restarted, born=BORN))
        before = len(node.all_sends)
        node.emit(PeerLinkBroken(sender.node_id, "killed", was_open=True))
        direct = {send.replica.service for send in node.all_sends[before:]}
        self.assertEqual(set(others), direct & set(message.shards))


class CrashesUnderRequestsTest(TestCase):
    def incarnations(self, count: int) -> list[ReplicaRecord]:
        return [replica("r0", "s", born=BORN + number) for number in range(count)]

    def test_crashes_of_several_incarnations_under_a_request_are_counted(self) -> None:
        incarnations = self.incarnations(4)
        node = started(incarnations[0], max_attempts=1)
        for number, incarnation in enumerate(incarnations[1:]):
            node.request("/one/deadly")
            node.crash_replica(node.sends[0])
            self.assertEqual(number + 1, node.logs("replica_ended_under_request")[-1]["crashes"])
            node.advance(1.0)
            node.change(incarnation)
        self.assertEqual(1, len(node.logs("request_held")))

    def test_a_connection_accepted_by_the_next_incarnation_shows_a_crash(self) -> None:
        node = started(max_attempts=1)
        node.request("/one/deadly")
        (checked_incarnation,) = node.disconnect(node.sends[0])
        self.assertEqual(OLD, checked_incarnation)
        node.change(NEW)
        node.emit(ConnectionTried(OLD.incarnation))
        self.assertEqual(
            [OLD.incarnation],
            [line["replica"] for line in node.logs("replica_ended_under_request")],
        )

    def test_a_restart_with_an_attempt_in_flight_shows_a_crash(self) -> None:
        node = started(max_attempts=1)
        node.request("/one/deadly")
        node.change(NEW)
        self.assertEqual(
            [OLD.incarnation],
            [line["replica"] for line in node.logs("replica_ended_under_request")],
        )

    def test_a_crash_counts_as_an_unexplained_disconnect(self) -> None:
        """A crash counts the same whether a record or a refused connection shows it."""
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

    def test_the_end_of_a_draining_replica_is_no_crash(self) -> None:
        node = started(max_attempts=1)
        node.request("/one/x")
        node.change(replica("r0", "s", born=BORN, is_draining=True))
        node.change(NEW)
        self.assertEqual([], node.logs("replica_ended_under_request"))
