"""Requests to all shards: merged, hedged, cut off in time, counted truly."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.forwarding.settling.cutoff import in_time_seconds
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
    def test_the_greatest_records_come_first_and_equal_ones_all_count(self) -> None:
        bodies = [record(5) + record(9), record(9) + record(1), b""]
        self.assertEqual(record(9) + record(9) + record(5), merge_top_records(bodies, 3))

    def test_remaining_bytes_form_no_record(self) -> None:
        self.assertEqual(record(2), merge_top_records([record(2) + b"\xff" * 15], 3))


class GatherTest(TestCase):
    def test_every_shard_is_asked_once_and_all_answers_are_merged(self) -> None:
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

    def test_one_configuration_serves_a_request_from_beginning_to_end(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        node.change(configuration=table(2, sharded_route(2)))
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(SHARDS, len(node.replies[number].signatures))
        node.request("/all/y")
        self.assertEqual(2, len(node.sends))

    def test_a_signature_that_is_already_in_is_no_part(self) -> None:
        node = node_with(max_attempts=1)
        number = node.request("/all/x")
        for send in list(node.sends):
            node.answer(send, signature="same")
        # One part is in, no attempt is left: the final answer is a failure, at once.
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.FAILED, reply.kind)
        self.assertEqual(node.now, node.replied_at[number])

    def test_a_replicas_failure_is_no_part(self) -> None:
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
    def test_what_is_in_leaves_in_time_when_it_is_enough(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        for send in list(node.sends)[1:]:
            node.answer(send)
        node.advance(0.099)
        reply = node.replies[number]
        self.assertEqual(1, reply.missing_shards)
        self.assertLess(node.replied_at[number] - 100.0, 0.095)

    def test_too_little_waits_and_leaves_as_soon_as_it_is_enough(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        sends = list(node.sends)
        for send in sends[2:]:
            node.answer(send)
        node.advance(0.3)
        self.assertNotIn(number, node.replies)
        node.answer(next(send for send in node.sends if send.replica.service == "s1"))
        self.assertEqual(1, node.replies[number].missing_shards)

    def test_a_shard_without_replicas_does_not_hold_the_rest_up(self) -> None:
        node = node_with()
        node.change(gone=("s0r0", "s0r1"))
        node.advance(2.0)
        number = node.request("/all/x")
        for send in list(node.sends):
            node.answer(send)
        self.assertEqual(1, node.replies[number].missing_shards)
        self.assertEqual(node.now, node.replied_at[number])

    def test_a_slow_shard_is_hedged_at_its_other_replica(self) -> None:
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

    def test_when_time_is_over_it_is_said_that_it_may_have_run(self) -> None:
        node = node_with()
        number = node.request("/all/x")
        node.advance(1.2)
        self.assertIs(ForwardFailureKind.TIMED_OUT, node.replies[number].kind)

    def test_what_is_enough_leaves_when_time_is_over_before_the_objective(self) -> None:
        node = node_with()
        number = node.request("/all/x", deadline_seconds=0.06)
        for send in list(node.sends)[1:]:
            node.answer(send)
        node.advance(0.06)
        self.assertEqual(1, node.replies[number].missing_shards)

    def test_a_request_that_reached_no_shard_is_refused(self) -> None:
        node = OneNode()
        node.start(table(1, sharded_route()), replica("r0", "other"))
        node.advance(10.0)
        number = node.request("/all/x")
        node.advance(0.1)
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)


class StalledReplicaTest(TestCase):
    def test_a_replica_with_an_overdue_attempt_gets_no_new_ones(self) -> None:
        node = node_with()
        node.request("/all/x")
        stalled = {send.replica.replica_id for send in node.sends}
        node.advance(0.06)
        before = len(node.all_sends)
        node.request("/all/y")
        fresh = {send.replica.replica_id for send in node.all_sends[before:]}
        self.assertEqual(set(), stalled & fresh)

    def test_a_replica_that_cannot_be_reached_is_left_out_for_a_while(self) -> None:
        node = node_with(copies=2, shards=1, min_share=1.0)
        node.request("/all/x")
        lost = node.sends[0]
        node.fail(lost, SendFailureKind.NOT_SENT)
        node.answer(node.sends[0])
        for _ in range(5):
            node.request("/all/x")
            self.assertNotEqual(lost.replica.replica_id, node.sends[0].replica.replica_id)
            node.answer(node.sends[0])

    def test_a_replica_that_refuses_or_fails_often_gets_little(self) -> None:
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
    def test_time_on_the_network_is_taken_from_the_time_for_shards(self) -> None:
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
    def test_a_node_opens_one_connection_to_each_replica_at_first(self) -> None:
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
    def test_an_answer_does_not_wait_for_a_shard_whose_replicas_stay_silent(self) -> None:
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
    def test_an_answer_of_many_shards_leaves_earlier(self) -> None:
        settings = ForwardingSettings(zone="a")
        narrow, wide = (in_time_seconds(sharded_route(count), 0.0, settings) for count in (4, 104))
        self.assertAlmostEqual(0.005, narrow - wide)
