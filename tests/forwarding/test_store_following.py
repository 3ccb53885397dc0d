"""A node follows the store's configuration and replicas; drains, readiness and stop."""

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


def started(*replicas: str, seed: int = 1) -> OneNode:
    node = OneNode(seed=seed)
    records = [replica(replica_id, "s") for replica_id in replicas or ("r0", "r1")]
    node.start(table(1, single_route()), *records)
    return node


def chosen_replicas(node: OneNode, requests: int = 12, answer_seconds: float = 0.0) -> set[str]:
    """Return the replicas to which a few requests are sent, one after the other."""
    before = len(node.all_sends)
    for _ in range(requests):
        node.request()
        for send in list(node.sends):
            node.advance(answer_seconds)
            node.answer(send)
    return {send.replica.replica_id for send in node.all_sends[before:]}


class ReplicaRecordsTest(TestCase):
    def test_draining_replica_gets_no_requests(self) -> None:
        node = started()
        node.change(replica("r0", "s", is_draining=True))
        self.assertEqual({"r1"}, chosen_replicas(node))

    def test_vanished_replica_gets_no_requests_while_others_exist(self) -> None:
        node = started()
        node.change(gone=("r0",))
        self.assertEqual({"r1"}, chosen_replicas(node))

    def test_last_vanished_replica_is_used_during_the_grace_period_only(self) -> None:
        node = started("r0")
        node.change(gone=("r0",))
        self.assertEqual({"r0"}, chosen_replicas(node))
        node.advance(1.1)
        self.assertEqual(set(), chosen_replicas(node))

    def test_grace_period_is_longer_after_a_store_outage(self) -> None:
        node = started("r0")
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
        node.advance(0.5)
        node.change(gone=("r0",))
        node.advance(2.0)
        self.assertEqual({"r0"}, chosen_replicas(node))

    def test_replica_that_left_gets_no_requests_during_a_store_outage(self) -> None:
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
                    self.assertEqual(set(), chosen_replicas(node, 1))

    def test_listing_removes_replicas_that_are_not_in_it(self) -> None:
        node = started()
        node.emit(WatchBroken(node.last(StartWatch).watch_id, "gone", history_lost=True))
        node.list_store(table(1, single_route()), replica("r1", "s"))
        self.assertEqual({"r1"}, chosen_replicas(node))

    def test_slow_replica_is_tried_again_after_a_while(self) -> None:
        for seed in range(40):
            node = started(seed=seed)
            for _ in range(60):
                node.request()
                for send in list(node.sends):
                    node.advance(0.05 if send.replica.replica_id == "r0" else 0.005)
                    node.answer(send)
            node.advance(10.0)
            self.assertEqual({"r0", "r1"}, chosen_replicas(node, answer_seconds=0.02))


class FailedPollTest(TestCase):
    def test_failed_poll_is_logged_with_its_times(self) -> None:
        node = started()
        node.advance(4.0)
        node.emit(WatchBroken(node.last_watch_id, "no answer"))
        expected = {
            "reason": "no answer",
            "consecutive_failures": 1,
            "waited_ms": 2700,
            "since_answer_ms": 4000,
            "pause_ms": 150,
        }
        self.assertEqual([expected], node.logs("store_poll_failed"))


class MissingRecordsTest(TestCase):
    """A node that starts after a store outage, when replica records have expired."""

    def node_with_one_shard(self) -> OneNode:
        node = OneNode()
        node.start(table(1, sharded_route(2)), replica("s0r0", "s0"))
        return node

    def test_requests_are_held_until_records_return(self) -> None:
        node = self.node_with_one_shard()
        number = node.request("/all/x")
        self.assertEqual([], node.sends)
        node.advance(0.1)
        node.change(replica("s1r0", "s1"))
        node.advance(0.05)
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(0, node.replies[number].missing_shards)

    def test_requests_are_refused_if_records_do_not_return(self) -> None:
        node = self.node_with_one_shard()
        number = node.request("/all/x")
        node.advance(0.4)
        self.assertIs(ForwardFailureKind.NOT_RUN, node.replies[number].kind)
        self.assertEqual([], node.all_sends)

    def test_later_requests_are_refused_at_once(self) -> None:
        node = self.node_with_one_shard()
        node.advance(10.0)
        number = node.request("/all/x")
        self.assertEqual(node.now, node.replied_at[number])

    def test_store_is_polled_more_often_while_requests_are_held(self) -> None:
        node = self.node_with_one_shard()
        usual = node.last(StartWatch).poll_interval_seconds
        node.request("/all/x")
        self.assertLess(node.last(StartWatch).poll_interval_seconds, usual)
        node.change(replica("s1r0", "s1"))
        node.advance(1.0)
        # The poll under way returns all changes at once; the next one uses the usual interval.
        node.change()
        self.assertEqual(usual, node.last(StartWatch).poll_interval_seconds)
        self.assertAlmostEqual(usual, node.last(StartWatch).pause_seconds)


class PollIntervalTest(TestCase):
    def test_listing_counts_as_a_poll(self) -> None:
        node = started()
        usual = node.last(StartWatch).poll_interval_seconds
        self.assertAlmostEqual(usual, node.last(StartWatch).pause_seconds)

    def test_node_that_cannot_serve_polls_at_once(self) -> None:
        node = OneNode()
        node.start(None)
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)
        node.change(configuration=table(1, single_route()))
        node.request()
        self.assertEqual(0.3, node.last(StartWatch).poll_interval_seconds)

    def test_snapshot_from_another_node_does_not_count_as_a_poll(self) -> None:
        node = OneNode()
        node.emit(Start())
        values = (node.stored_table(table(1, single_route())), node.stored(replica("r0", "s")))
        node.emit(PeerSnapshot(values, 7))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)

    def test_backoff_is_shorter_while_a_change_is_urgent(self) -> None:
        def max_pause(poll_interval_seconds: float | None) -> float:
            hooks = FollowerHooks(
                lambda *_: [],
                lambda *_: [],
                lambda _: None,
                lambda *_: [],
                lambda: False,
                lambda: True,
                lambda: 0.0,
                lambda: True,
            )
            follower = StoreFollower(FollowerSettings(), hooks)
            (reading,) = follower.handle(Start(), 0.0)
            assert isinstance(reading, StoreRequest)
            follower.handle(StoreResponse(reading.operation_id, ReadResult((), 1)), 0.0)
            follower.set_poll_interval(poll_interval_seconds, 0.0)
            now = 0.0
            pauses: list[float] = []
            for number in range(1, 9):
                broken = WatchBroken(
                    f"follow-{number + (poll_interval_seconds is not None)}", "down"
                )
                waits = [
                    item for item in follower.handle(broken, now) if isinstance(item, Schedule)
                ]
                pauses.append(waits[0].at_seconds - now)
                now = waits[0].at_seconds
                follower.handle(waits[0].event, now)
            return max(pauses)

        self.assertAlmostEqual(2.0, max_pause(None))
        self.assertAlmostEqual(1.0, max_pause(0.3))


class StaleRecordTest(TestCase):
    def test_stale_replica_record_triggers_a_poll(self) -> None:
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
    def test_older_version_never_replaces_a_newer_one(self) -> None:
        node = started()
        node.change(configuration=table(5, single_route("/new/")))
        node.change(configuration=table(3, single_route()))
        reply = node.replies[node.request("/one/x")]
        self.assertIsInstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NO_ROUTE, reply.kind)

    def test_failed_polls_are_retried_with_backoff(self) -> None:
        node = started()
        for _ in range(10):
            node.emit(WatchBroken(node.last(StartWatch).watch_id, "down"))
            node.advance(2.1)
        watches = [action for action in node.actions if isinstance(action, StartWatch)]
        self.assertEqual(11, len(watches))
        requests = [action for action in node.actions if isinstance(action, StoreRequest)]
        reads = [request for request in requests if isinstance(request.operation, Read)]
        self.assertEqual(1, len(reads))
        self.assertTrue(chosen_replicas(node))

    def test_first_listing_is_retried_soon(self) -> None:
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

    def test_node_starts_with_the_snapshot_of_a_peer(self) -> None:
        node = OneNode()
        node.emit(Start())
        read = node.last(StoreRequest)
        node.emit(StoreResponse(read.operation_id, Failure(StoreFailureKind.UNREACHABLE, "down")))
        self.assertIsNotNone(node.last(RequestPeerSnapshot))
        peer = started()
        known = peer.machine.store_snapshot()
        assert known is not None
        node.copy_formats_from(peer)
        node.emit(PeerSnapshot(known.values, known.store_revision))
        self.assertEqual({"r0", "r1"}, chosen_replicas(node))
        self.assertEqual(known.store_revision, node.last(StartWatch).from_store_revision)

    def test_snapshot_of_a_peer_is_ignored_after_a_listing(self) -> None:
        node = started()
        before = len(node.actions)
        node.emit(PeerSnapshot((), 99))
        self.assertEqual(before, len(node.actions))

    def test_shorter_idle_time_is_not_applied(self) -> None:
        node = started()
        longest = node.last(SetForwarding).limits.idle_seconds
        node.change(configuration=table(2, single_route()))
        self.assertEqual(longest, node.last(SetForwarding).limits.idle_seconds)


class StopTest(TestCase):
    def test_node_is_ready_with_configuration_and_replicas(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()))
        self.assertFalse(node.last(SetForwarding).is_ready)
        node.change(replica("r0", "s"))
        self.assertTrue(node.last(SetForwarding).is_ready)

    def test_stopping_node_serves_late_requests_and_exits_in_time(self) -> None:
        node = started()
        node.emit(StopRequested())
        forwarding = node.last(SetForwarding)
        self.assertFalse(forwarding.is_ready)
        self.assertTrue(forwarding.closes_connections)
        node.advance(2.5)
        number = node.request()
        self.assertEqual([], [action for action in node.actions if isinstance(action, Exit)])
        node.answer(node.sends[0])
        self.assertIn(number, node.replies)
        node.advance(1.0)
        self.assertEqual(0, node.last(Exit).cut_requests)

    def test_requests_received_at_exit_get_the_rest_of_the_stop_time(
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

    def test_stop_waits_for_open_requests_up_to_a_limit(self) -> None:
        node = OneNode()
        node.start(table(1, single_route(timeout_seconds=30.0)), replica("r0", "s"))
        number = node.request(deadline_seconds=30.0)
        node.emit(StopRequested())
        node.advance(4.9)
        self.assertEqual([], [action for action in node.actions if isinstance(action, Exit)])
        self.assertEqual({}, node.replies)
        node.advance(0.6)
        self.assertEqual(0, node.last(Exit).cut_requests)
        self.assertIsInstance(node.replies[number], ReplyFailure)


class OutageTest(TestCase):
    """A store outage alone does not affect requests."""

    def test_open_request_is_answered_during_a_store_outage(self) -> None:
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

    def test_expiry_grace_period_ends_within_the_drain_time(self) -> None:
        for drain_seconds in (0.3, 1.0, 3.0, 5.0, 30.0):
            poll_interval_seconds = poll_interval_within(drain_seconds)
            grace_seconds = expiry_grace_seconds(poll_interval_seconds, drain_seconds)
            self.assertLess(grace_seconds, drain_seconds)
            self.assertLessEqual(grace_seconds, 2.3 + poll_interval_seconds)
        self.assertEqual(2.5, expiry_grace_seconds(poll_interval_within(3.0), 3.0))

    def test_records_missing_after_a_store_outage_are_gone(self) -> None:
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
