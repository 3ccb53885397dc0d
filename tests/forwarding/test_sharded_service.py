"""Requests to all shards: merging, hedging, the cutoff, and the count of missing shards."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.forwarding.settling.cutoff import compute_cutoff_seconds
from wingquay.forwarding.settling.merging import RECORD_BYTES, merge_top_records
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyMerged,
    SendFailureKind,
)

SHARDS = 4


def record(number: int) -> bytes:
    return number.to_bytes(RECORD_BYTES, "big")


def node_with(*, copies: int = 2, shards: int = SHARDS, **route: object) -> OneNode:
    node = OneNode()
    records = [
        replica(f"s{shard}r{copy}", f"s{shard}")
        for shard in range(shards)
        for copy in range(copies)
    ]
    node.start(table(1, sharded_route(shards, **route)), *records)
    return node


class MergeTest(TestCase):
    def test_merged_records_are_in_descending_order_and_keep_duplicates(self) -> None:
        bodies = [record(5) + record(9), record(9) + record(1), b""]
        self.assertEqual(record(9) + record(9) + record(5), merge_top_records(bodies, 3))

    def test_incomplete_records_are_dropped(self) -> None:
        self.assertEqual(record(2), merge_top_records([record(2) + b"\xff" * 15], 3))


class AllShardsTest(TestCase):
    def test_every_shard_receives_one_request_and_all_answers_are_merged(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        self.assertEqual(SHARDS, len(node.sends))
        for index, send in enumerate(list(node.sends)):
            node.answer(send, body=record(index))
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyMerged)
        self.assertEqual(0, reply.missing_shards)
        self.assertEqual(SHARDS, len(set(reply.signatures)))
        self.assertEqual(record(3) + record(2) + record(1), reply.body)

    def test_an_open_request_keeps_its_configuration(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        node.change(configuration=table(2, sharded_route(2)))
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(SHARDS, len(node.replies[number].signatures))
        node.request("/all/y")
        self.assertEqual(2, len(node.sends))

    def test_an_answer_with_a_known_signature_does_not_count(self) -> None:
        node = node_with(max_attempts=1)
        number = node.request("/all/x")
        for send in list(node.sends):
            node.answer(send, signature="same")
        # One shard has answered and no attempts are left, so the request fails immediately.
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.FAILED, reply.kind)
        self.assertEqual(node.now, node.replied_at[number])

    def test_a_failure_of_a_replica_does_not_count(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        sends = list(node.sends)
        node.answer(sends[0], 500)
        for send in sends[1:]:
            node.answer(send)
        self.assertNotIn(number, node.replies)
        node.answer(node.sends[0])
        self.assertEqual(0, node.replies[number].missing_shards)


class CutoffTest(TestCase):
    def test_a_partial_answer_that_meets_the_minimum_share_is_sent_at_the_cutoff(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        for send in list(node.sends)[1:]:
            node.answer(send)
        node.advance(0.099)
        reply = node.replies[number]
        self.assertEqual(1, reply.missing_shards)
        self.assertLess(node.replied_at[number] - 100.0, 0.095)

    def test_after_the_cutoff_an_answer_is_sent_once_it_meets_the_minimum_share(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        sends = list(node.sends)
        for send in sends[2:]:
            node.answer(send)
        node.advance(0.3)
        self.assertNotIn(number, node.replies)
        node.answer(next(send for send in node.sends if send.replica.service == "s1"))
        self.assertEqual(1, node.replies[number].missing_shards)

    def test_a_shard_without_replicas_does_not_delay_the_answer(self) -> None:
        node = node_with()
        node.change(gone=("s0r0", "s0r1"))
        node.advance(2.0)
        number = node.request("/all/x")
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(1, node.replies[number].missing_shards)
        self.assertEqual(node.now, node.replied_at[number])

    def test_a_slow_shard_is_hedged_at_another_replica(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        sends = list(node.sends)
        for send in sends[1:]:
            node.answer(send)
        node.advance(0.05)
        hedge = node.sends[-1]
        self.assertEqual(sends[0].replica.service, hedge.replica.service)
        self.assertNotEqual(sends[0].replica.replica_id, hedge.replica.replica_id)
        node.answer(hedge)
        self.assertEqual(0, node.replies[number].missing_shards)

    def test_at_the_deadline_the_request_is_reported_as_timed_out(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        node.advance(1.2)
        self.assertIs(ForwardFailureKind.TIMED_OUT, node.replies[number].kind)

    def test_a_sufficient_answer_is_sent_at_a_deadline_before_the_objective(self) -> None:
        node = node_with()
        number = node.request("/all/x", deadline_seconds=0.06)
        for send in list(node.sends)[1:]:
            node.answer(send)
        node.advance(0.06)
        self.assertEqual(1, node.replies[number].missing_shards)

    def test_a_request_that_reached_no_shard_is_rejected_as_not_run(self) -> None:
        node = OneNode()
        node.start(table(1, sharded_route()), replica("r0", "other"))
        node.advance(10.0)
        number = node.request("/all/x")
        node.advance(0.1)
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)


class StalledReplicaTest(TestCase):
    def test_a_replica_with_an_overdue_attempt_receives_no_new_ones(self) -> None:
        node = node_with()
        node.request("/all/x")
        stalled = {send.replica.replica_id for send in node.sends}
        node.advance(0.06)
        before = len(node.all_sends)
        node.request("/all/y")
        fresh = {send.replica.replica_id for send in node.all_sends[before:]}
        self.assertEqual(set(), stalled & fresh)

    def test_an_unreachable_replica_is_excluded_for_a_while(self) -> None:
        node = node_with(copies=2, shards=1, min_share=1.0)
        node.request("/all/x")
        lost = node.sends[0]
        node.fail(lost, SendFailureKind.NOT_SENT)
        node.answer(node.sends[0])
        for _ in range(5):
            node.request("/all/x")
            self.assertNotEqual(lost.replica.replica_id, node.sends[0].replica.replica_id)
            node.answer(node.sends[0])

    def test_a_replica_that_sheds_or_fails_often_receives_few_requests(self) -> None:
        for status, not_run in ((503, True), (500, False)):
            node = node_with(copies=2, shards=1, min_share=1.0)
            for _ in range(100):
                node.request("/all/x")
                for _ in range(2):
                    for send in list(node.sends):
                        is_bad = send.replica.replica_id == "s0r0"
                        if is_bad:
                            node.answer(send, status, not_run=not_run)
                        else:
                            node.answer(send)
                node.advance(0.1)
            to_bad = sum(send.replica.replica_id == "s0r0" for send in node.all_sends)
            self.assertLess(to_bad, 15)


class TransitTest(TestCase):
    def test_the_cutoff_is_earlier_by_the_network_time_of_the_caller(self) -> None:
        replied = {}
        for transit_seconds in (0.0, 0.012):
            node = node_with()
            number = node.request("/all/x", transit_seconds=transit_seconds)
            for send in list(node.sends)[1:]:
                node.answer(send)
            node.advance(0.2)
            replied[transit_seconds] = node.replied_at[number]
        self.assertAlmostEqual(0.012, replied[0.0] - replied[0.012], places=6)


class ConnectionsTest(TestCase):
    def test_a_node_opens_one_connection_to_each_replica_after_the_start(self) -> None:
        node = node_with(copies=1, shards=1, objective_seconds=1.0, min_share=1.0)
        node.request("/all/x")
        node.request("/all/x")
        self.assertEqual(1, len(node.sends))
        node.answer(node.sends[0])
        node.answer(node.sends[0])
        node.advance(6.0)
        node.request("/all/x")
        node.request("/all/x")
        self.assertEqual(2, len(node.sends))

    def test_a_request_waits_when_all_connections_are_in_use(
        self,
    ) -> None:
        node = node_with(copies=1)
        node.request("/all/x")
        waiting = node.request("/all/x")
        node.advance(0.01)
        self.assertNotIn(waiting, node.replies)
        for send in list(node.sends):
            node.answer(send)
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(0, node.replies[waiting].missing_shards)


class SilentShardTest(TestCase):
    def test_an_answer_does_not_wait_for_a_shard_without_responsive_replicas(self) -> None:
        node = node_with(objective_seconds=0.5)
        for _ in range(3):
            node.request("/all/x")
            for send in list(node.sends):
                if send.replica.service != "s0":
                    node.answer(send)
            node.advance(0.6)
        number = node.request("/all/x")
        for send in list(node.sends):
            if send.replica.service != "s0":
                node.answer(send)
        self.assertEqual(1, node.replies[number].missing_shards)
        self.assertEqual(node.now, node.replied_at[number])


class MarginTest(TestCase):
    def test_the_cutoff_is_earlier_for_many_shards(self) -> None:
        settings = ForwardingSettings(zone="a")
        narrow, wide = (
            compute_cutoff_seconds(sharded_route(count), 0.0, settings) for count in (4, 104)
        )
        self.assertAlmostEqual(0.005, narrow - wide)
