"""Configuration and replicas as the store tells them; drains; readiness; stop."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, single_route, table
from wingquay.forwarding.knowledge.poll_times import expiry_grace_seconds, poll_interval_within
from wingquay.forwarding.knowledge.store_follower import (
    FollowerHooks,
    FollowerSettings,
    StoreFollower,
)
from wingquay.model.failure import Failure
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyUnchanged,
    SetForwarding,
)
from wingquay.ports.machine import Exit, Schedule, Start, StopRequested
from wingquay.ports.peer_snapshot import PeerSnapshot, RequestPeerSnapshot
from wingquay.ports.store import (
    Read,
    ReadResult,
    StartWatch,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    WatchBroken,
)


def started(*replicas: str) -> OneNode:
    node = OneNode()
    records = [replica(replica_id, "s") for replica_id in replicas or ("r0", "r1")]
    node.start(table(1, single_route()), *records)
    return node


def asked(node: OneNode, requests: int = 12) -> set[str]:
    """Return the replicas that a few requests go to."""
    before = len(node.all_sends)
    for _ in range(requests):
        node.request()
        for send in list(node.sends):
            node.answer(send)
    return {send.replica.replica_id for send in node.all_sends[before:]}


class ReplicaRecordsTest(TestCase):
    def test_a_draining_replica_gets_nothing_new(self) -> None:
        node = started()
        node.change(replica("r0", "s", is_draining=True))
        self.assertEqual({"r1"}, asked(node))

    def test_a_vanished_replica_gets_nothing_while_there_are_others(self) -> None:
        node = started()
        node.change(gone=("r0",))
        self.assertEqual({"r1"}, asked(node))

    def test_the_last_vanished_replica_is_used_for_a_moment_only(self) -> None:
        node = started("r0")
        node.change(gone=("r0",))
        self.assertEqual({"r0"}, asked(node))
        node.advance(1.1)
        self.assertEqual(set(), asked(node))

    def test_records_that_lapsed_with_the_store_are_used_for_longer(self) -> None:
        node = started("r0")
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
        node.advance(0.5)
        node.change(gone=("r0",))
        node.advance(2.0)
        self.assertEqual({"r0"}, asked(node))

    def test_a_replica_that_left_is_left_alone_also_while_the_store_is_in_trouble(self) -> None:
        drain_seconds = 3.0
        for history_lost in (False, True):
            node = started("r0")
            if history_lost:
                node.emit(WatchBroken(node.last(StartWatch).watch_id, "gone", history_lost=True))
                node.list_store(table(1, single_route()))
            else:
                node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
                node.advance(0.5)
                node.change(gone=("r0",))
            for _ in range(40):
                node.advance(0.1)
                node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
                if node.now >= 100.0 + drain_seconds + 0.5:
                    self.assertEqual(set(), asked(node, 1))

    def test_a_listing_shows_what_vanished_unseen(self) -> None:
        node = started()
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "gone", history_lost=True))
        node.list_store(table(1, single_route()), replica("r1", "s"))
        self.assertEqual({"r1"}, asked(node))

    def test_a_slow_replica_is_tried_again_after_a_while(self) -> None:
        node = started()
        for _ in range(60):
            node.request()
            for send in list(node.sends):
                node.advance(0.05 if send.replica.replica_id == "r0" else 0.005)
                node.answer(send)
        node.advance(10.0)
        self.assertEqual({"r0", "r1"}, asked(node))


class FailedLookTest(TestCase):
    def test_the_line_of_a_failed_look_tells_how_long_it_took_and_when_the_next_is(self) -> None:
        node = started()
        node.advance(4.0)
        node.emit(WatchBroken(node.last_watch_id, "no answer"))
        expected = {
            "reason": "no answer",
            "failures": 1,
            "waited_ms": 2700,
            "silent_ms": 4000,
            "pause_ms": 150,
        }
        self.assertEqual([expected], node.logs("store_unreachable"))


class MissingRecordsTest(TestCase):
    """Records lapse while the store is down; a node that starts then finds few."""

    def node_with_one_shard(self) -> OneNode:
        node = OneNode()
        node.start(table(1, sharded_route(2)), replica("s0r0", "s0"))
        return node

    def test_requests_are_held_for_a_moment_and_served_when_records_come_back(self) -> None:
        node = self.node_with_one_shard()
        number = node.request("/all/x")
        self.assertEqual([], node.sends)
        node.advance(0.1)
        node.change(replica("s1r0", "s1"))
        node.advance(0.05)
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(0, node.replies[number].missing_shards)

    def test_requests_are_refused_when_records_stay_away(self) -> None:
        node = self.node_with_one_shard()
        number = node.request("/all/x")
        node.advance(0.4)
        self.assertIs(ForwardFailureKind.NOT_RUN, node.replies[number].kind)
        self.assertEqual([], node.all_sends)

    def test_later_they_are_refused_at_once(self) -> None:
        node = self.node_with_one_shard()
        node.advance(10.0)
        number = node.request("/all/x")
        self.assertEqual(node.now, node.replied_at[number])

    def test_the_store_is_looked_at_more_often_while_requests_are_held(self) -> None:
        node = self.node_with_one_shard()
        usual = node.last(StartWatch).poll_interval_seconds
        node.request("/all/x")
        self.assertLess(node.last(StartWatch).poll_interval_seconds, usual)
        node.change(replica("s1r0", "s1"))
        node.advance(1.0)
        # The look under way tells every change at once; the one after it keeps the usual pace.
        node.change()
        self.assertEqual(usual, node.last(StartWatch).poll_interval_seconds)
        self.assertEqual(usual, node.last(StartWatch).pause_seconds)


class PaceTest(TestCase):
    def test_a_listing_is_as_good_as_a_look(self) -> None:
        node = started()
        usual = node.last(StartWatch).poll_interval_seconds
        self.assertAlmostEqual(usual, node.last(StartWatch).pause_seconds)

    def test_a_node_that_cannot_serve_yet_waits_for_every_change(self) -> None:
        node = OneNode()
        node.start(None)
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)
        node.change(configuration=table(1, single_route()))
        node.request()
        self.assertEqual(0.3, node.last(StartWatch).poll_interval_seconds)

    def test_what_another_node_knows_is_no_look(self) -> None:
        node = OneNode()
        node.emit(Start())
        values = (node.stored_table(table(1, single_route())), node.stored(replica("r0", "s")))
        node.emit(PeerSnapshot(values, 7))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)

    def test_an_idle_node_asks_less_often_in_an_outage_than_one_that_needs_news(self) -> None:
        def longest_pause(pace: float | None) -> float:
            hooks = FollowerHooks(
                lambda *_: [],
                lambda *_: [],
                lambda _: None,
                lambda *_: [],
                lambda: False,
                lambda: True,
                lambda: True,
            )
            follower = StoreFollower(FollowerSettings(), hooks)
            (reading,) = follower.handle(Start(), 0.0)
            assert isinstance(reading, StoreRequest)
            follower.handle(StoreResponse(reading.operation_id, ReadResult((), 1)), 0.0)
            follower.set_poll_interval(pace, 0.0)
            now = 0.0
            pauses: list[float] = []
            for number in range(1, 9):
                broken = WatchBroken(f"follow-{number + (pace is not None)}", "down")
                waits = [
                    item for item in follower.handle(broken, now) if isinstance(item, Schedule)
                ]
                pauses.append(waits[0].at_seconds - now)
                now = waits[0].at_seconds
                follower.handle(waits[0].event, now)
            return max(pauses)

        self.assertAlmostEqual(2.0, longest_pause(None))
        self.assertAlmostEqual(1.0, longest_pause(0.3))


class OldRecordTest(TestCase):
    def test_a_replica_that_is_another_one_makes_the_node_look_at_the_store_soon(self) -> None:
        node = started("r0", "r1")
        usual = node.last(StartWatch).poll_interval_seconds
        node.request()
        node.answer(node.sends[0], 421, signature=None, is_other_replica=True)
        node.advance(0.55)
        self.assertLess(node.last(StartWatch).poll_interval_seconds, usual)
        self.assertLess(node.last(StartWatch).pause_seconds, 0.3)
        node.advance(1.0)
        node.change()
        self.assertEqual(usual, node.last(StartWatch).poll_interval_seconds)


class ConfigurationTest(TestCase):
    def test_an_older_version_never_replaces_a_newer_one(self) -> None:
        node = started()
        node.change(configuration=table(5, single_route("/new/")))
        node.change(configuration=table(3, single_route()))
        reply = node.replies[node.request("/one/x")]
        self.assertIsInstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NO_ROUTE, reply.kind)

    def test_a_store_that_cannot_be_reached_is_asked_again_with_pauses(self) -> None:
        node = started()
        for _ in range(10):
            node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
            node.advance(2.1)
        watches = [action for action in node.actions if isinstance(action, StartWatch)]
        self.assertEqual(11, len(watches))
        requests = [action for action in node.actions if isinstance(action, StoreRequest)]
        reads = [request for request in requests if isinstance(request.operation, Read)]
        self.assertEqual(1, len(reads))
        self.assertTrue(asked(node))

    def test_a_node_that_knows_nothing_asks_again_soon(self) -> None:
        node = OneNode()
        node.emit(Start())
        failure = Failure(StoreFailureKind.UNREACHABLE, "down")
        for _ in range(10):
            reads = [
                action
                for action in node.actions
                if isinstance(action, StoreRequest) and isinstance(action.operation, Read)
            ]
            node.emit(StoreResponse(reads[-1].operation_id, failure))
            node.advance(0.2)
        self.assertEqual(10, len(reads))

    def test_a_node_that_knows_nothing_begins_with_what_a_peer_knows(self) -> None:
        node = OneNode()
        node.emit(Start())
        read = node.last(StoreRequest)
        node.emit(StoreResponse(read.operation_id, Failure(StoreFailureKind.UNREACHABLE, "down")))
        self.assertIsNotNone(node.last(RequestPeerSnapshot))
        teacher = started()
        known = teacher.machine.store_snapshot()
        assert known is not None
        node.copy_formats_from(teacher)
        node.emit(PeerSnapshot(known.values, known.store_revision))
        self.assertEqual({"r0", "r1"}, asked(node))
        self.assertEqual(known.store_revision, node.last(StartWatch).from_store_revision)

    def test_a_peer_is_not_listened_to_once_the_store_has_spoken(self) -> None:
        node = started()
        before = len(node.actions)
        node.emit(PeerSnapshot((), 99))
        self.assertEqual(before, len(node.actions))

    def test_an_idle_time_that_shrinks_cuts_no_caller_off(self) -> None:
        node = started()
        longest = node.last(SetForwarding).limits.idle_seconds
        node.change(configuration=table(2, single_route()))
        self.assertEqual(longest, node.last(SetForwarding).limits.idle_seconds)


class StopTest(TestCase):
    def test_a_node_is_ready_with_configuration_and_replicas(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()))
        self.assertFalse(node.last(SetForwarding).is_ready)
        node.change(replica("r0", "s"))
        self.assertTrue(node.last(SetForwarding).is_ready)

    def test_a_stop_serves_what_still_comes_and_ends_within_its_time(self) -> None:
        node = started()
        node.emit(StopRequested())
        said = node.last(SetForwarding)
        self.assertFalse(said.is_ready)
        self.assertTrue(said.closes_connections)
        node.advance(2.5)
        number = node.request()
        self.assertEqual([], [action for action in node.actions if isinstance(action, Exit)])
        node.answer(node.sends[0])
        self.assertIn(number, node.replies)
        node.advance(1.0)
        self.assertEqual(0, node.last(Exit).cut_requests)

    def test_requests_that_were_on_their_way_when_a_stop_ends_get_the_rest_of_its_time(
        self,
    ) -> None:
        node = started()
        node.emit(StopRequested())
        node.advance(3.15)
        ended = node.last(Exit)
        self.assertAlmostEqual(5.2 - 3.0, ended.grace_seconds, delta=0.11)
        number = node.request()
        node.answer(node.sends[0])
        self.assertIsInstance(node.replies[number], ReplyUnchanged)

    def test_a_stop_waits_for_open_requests_but_not_for_ever(self) -> None:
        node = OneNode()
        node.start(table(1, single_route(timeout_seconds=30.0)), replica("r0", "s"))
        node.request(deadline_seconds=30.0)
        node.emit(StopRequested())
        node.advance(4.9)
        self.assertEqual([], [action for action in node.actions if isinstance(action, Exit)])
        node.advance(0.6)
        self.assertEqual(1, node.last(Exit).cut_requests)


class OutageTest(TestCase):
    """The store alone is in trouble: requests are none the worse for it."""

    def test_an_open_request_is_answered_while_the_store_is_away(self) -> None:
        for is_repeatable in (True, False):
            node = OneNode()
            route = single_route(is_repeatable=is_repeatable)
            node.start(table(1, route), replica("r0", "s"))
            number = node.request()
            node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
            node.emit(StopRequested())
            node.advance(1.0)
            node.answer(node.sends[0])
            self.assertIsInstance(node.replies[number], ReplyUnchanged)

    def test_a_lapsed_record_is_waited_for_within_the_time_of_a_drain(self) -> None:
        for drain_seconds in (0.3, 1.0, 3.0, 5.0, 30.0):
            gather_seconds = poll_interval_within(drain_seconds)
            grace_seconds = expiry_grace_seconds(gather_seconds, drain_seconds)
            self.assertLess(grace_seconds, drain_seconds)
            self.assertLessEqual(grace_seconds, 2.3 + gather_seconds)
        self.assertEqual(2.5, expiry_grace_seconds(poll_interval_within(3.0), 3.0))

    def test_records_that_stay_away_after_the_store_is_back_are_gone(self) -> None:
        node = OneNode()
        node.start(table(1, sharded_route(2)), replica("s0r0", "s0"))
        node.advance(10.0)
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
        node.advance(2.0)
        number = node.request("/all/x")
        self.assertNotIn(number, node.replies)
        node.advance(1.5)
        number = node.request("/all/x")
        self.assertEqual(node.now, node.replied_at[number])
