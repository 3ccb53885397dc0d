"""Delegation of the shards of wide requests, on the side of both nodes."""

from testtools import TestCase

from tests.forwarding.linked_nodes import (
    OBJECTIVE_SECONDS,
    OTHERS,
    OWN,
    SHARDS,
    delegated,
    join,
    node_in_group,
    sent_messages,
    whole_answer,
)
from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.ports.delegation import (
    AllowAttempts,
    CancelDelegation,
    DelegatedAnswer,
    DelegatedRequest,
)
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    OpaqueRequest,
    ReplyFailure,
    ReplyMerged,
    SendFailureKind,
)
from wingquay.ports.machine import StopRequested
from wingquay.ports.peer_link import (
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)


class DelegatingNodeTest(TestCase):
    """The node that received the caller's request."""

    def test_every_shard_is_contacted_by_exactly_one_node(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        delegated_shards = [shard for _, message in delegated(node) for shard in message.shards]
        own = [send.replica.service for send in node.sends]
        self.assertEqual({f"s{number}" for number in range(SHARDS)}, set(delegated_shards + own))
        self.assertEqual(SHARDS, len(delegated_shards + own))
        self.assertEqual([4, 4], [len(message.shards) for _, message in delegated(node)])

    def test_narrow_requests_and_small_groups_are_not_delegated(self) -> None:
        narrow = OneNode()
        records = [replica(f"r{number}", f"s{number}") for number in range(4)]
        narrow.start(table(1, sharded_route(4)), *records)
        narrow.emit(PeerLinkOpened(OWN))
        join(narrow, *OTHERS)
        narrow.request("/all/x")
        self.assertEqual((4, []), (len(narrow.sends), delegated(narrow)))
        small = node_in_group()
        small.emit(PeerLinkBroken(OTHERS[0].node_id, "test"))
        small.request("/all/x")
        self.assertEqual((SHARDS, []), (len(small.sends), delegated(small)))

    def test_answers_of_delegates_are_merged_with_own_ones(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for position, (sender, message) in enumerate(delegated(node)):
            body = bytes([position + 7]) * 16
            node.emit(PeerReceived(sender, whole_answer(message, body)))
        for send in list(node.sends):
            node.answer(send, body=b"\x01" * 16)
        reply = node.replies[number]
        assert isinstance(reply, ReplyMerged)
        self.assertEqual(b"\x08" * 16 + b"\x07" * 16 + b"\x01" * 16, reply.body)
        self.assertEqual((SHARDS, 0), (len(set(reply.signatures)), reply.missing_shards))

    def test_shards_of_a_silent_node_are_taken_over_and_the_node_is_avoided(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        (silent, message), (responsive, _) = delegated(node)
        node.emit(PeerReceived(responsive, DelegatedAnswer(delegated(node)[1][1].delegation_id)))
        before = len(node.sends)
        node.advance(OBJECTIVE_SECONDS * 0.6)
        direct = {send.replica.service for send in node.sends[before:]}
        self.assertEqual(set(message.shards), direct & set(message.shards))
        self.assertEqual("silent", node.logs("delegation_lost")[0]["reason"])
        node.request("/all/y")
        self.assertNotIn(silent, [to for to, _ in delegated(node)[2:]])

    def test_before_the_acknowledgement_one_attempt_is_left_to_the_delegate(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        _, message = delegated(node)[0]
        node.advance(OBJECTIVE_SECONDS * 0.9)
        shard = message.shards[0]
        direct = [send for send in node.all_sends if send.replica.service == shard]
        self.assertEqual(1, len(direct))
        node.fail(direct[0], SendFailureKind.BROKEN)
        node.advance(0.5)
        self.assertEqual(1, len([send for send in node.all_sends if send.replica.service == shard]))

    def test_after_the_acknowledgement_all_attempts_are_left_to_the_delegate(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
        self.assertEqual(
            [AllowAttempts(message.delegation_id, 2)], sent_messages(node, AllowAttempts)
        )
        node.emit(PeerLinkBroken(sender.node_id, "killed"))
        node.advance(0.3)
        direct = [send for send in node.all_sends if send.replica.service in message.shards]
        self.assertEqual([], direct)

    def test_an_acknowledgement_after_the_takeover_allows_no_further_attempts(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.advance(OBJECTIVE_SECONDS * 0.6)
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
        self.assertEqual([], sent_messages(node, AllowAttempts))

    def test_records_of_a_shard_that_both_nodes_contacted_count_once(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        (slow, message), (other, rest) = delegated(node)
        node.emit(PeerReceived(other, whole_answer(rest)))
        node.advance(OBJECTIVE_SECONDS * 0.5)
        for send in list(node.sends):
            is_direct = send.replica.service == message.shards[0]
            node.answer(send, body=b"\x05" * 16 if is_direct else b"")
            if is_direct:
                break
        node.emit(PeerReceived(slow, whole_answer(message, b"\x05" * 16)))
        for send in list(node.sends):
            node.answer(send)
        reply = node.replies[number]
        assert isinstance(reply, ReplyMerged)
        self.assertEqual(b"\x05" * 16, reply.body)
        self.assertEqual(SHARDS, len(reply.signatures))

    def test_shards_of_a_rejected_delegation_are_contacted_directly_at_once(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id, is_rejected=True)))
        direct = [send.replica.service for send in node.sends]
        self.assertEqual(set(message.shards), set(direct) & set(message.shards))

    def test_an_unreachable_delegate_uses_up_no_attempt(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerLinkBroken(sender.node_id, "dial failed", was_open=False))
        shard = message.shards[0]
        (send,) = [send for send in node.sends if send.replica.service == shard]
        node.fail(send, SendFailureKind.BROKEN)
        node.advance(0.04)
        again = [send for send in node.all_sends if send.replica.service == shard]
        self.assertEqual(2, len(again))

    def test_answers_of_other_nodes_than_the_delegate_are_ignored(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        (_, message), (other, _) = delegated(node)
        node.emit(PeerReceived(other, whole_answer(message)))
        for send in list(node.sends):
            node.answer(send)
        self.assertNotIn(number, node.replies)

    def test_delegations_are_cancelled_when_the_caller_leaves(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        node.leave(number)
        cancelled = {message.delegation_id for message in sent_messages(node, CancelDelegation)}
        self.assertEqual({message.delegation_id for _, message in delegated(node)}, cancelled)

    def test_a_request_with_too_many_lost_shards_fails_at_once(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for sender, message in delegated(node):
            node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
            node.emit(PeerLinkBroken(sender.node_id, "killed"))
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.FAILED, reply.kind)
        (line,) = node.logs("request_ended")
        self.assertIn("delegated to", str(line["unanswered"]))

    def test_a_request_with_too_many_exhausted_shards_fails_at_once(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for sender, message in delegated(node):
            positions = tuple(range(len(message.shards)))
            exhausted = DelegatedAnswer(message.delegation_id, exhausted=positions)
            node.emit(PeerReceived(sender, exhausted))
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.FAILED, reply.kind)

    def test_an_exhausted_shard_is_not_waited_for(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for sender, message in delegated(node):
            first, *rest = range(len(message.shards))
            signatures = tuple(f"{message.delegation_id}.{position}" for position in rest)
            answer = DelegatedAnswer(message.delegation_id, tuple(rest), signatures)
            node.emit(PeerReceived(sender, answer))
            exhausted = DelegatedAnswer(message.delegation_id, exhausted=(first,))
            node.emit(PeerReceived(sender, exhausted))
        self.assertNotIn(number, node.replies)
        for send in list(node.sends):
            node.answer(send)
        reply = node.replies[number]
        assert isinstance(reply, ReplyMerged)
        self.assertEqual(2, reply.missing_shards)


class SameZoneReplicaTest(TestCase):
    def test_an_owner_uses_same_zone_replicas_while_they_have_free_slots(self) -> None:
        node = OneNode(delegate_min_shards=10)
        records = [
            replica(f"r{number}-{zone}", f"s{number}", zone)
            for number in range(SHARDS)
            for zone in "abc"
        ]
        node.start(table(1, sharded_route(SHARDS)), *records)
        node.request("/all/x")
        node.request("/all/y")
        zones = [send.replica.zone for send in node.sends]
        self.assertGreater(zones.count("b") + zones.count("c"), 0)
        for send in list(node.sends):
            node.answer(send)
        node.emit(PeerLinkOpened(OWN))
        join(node, *OTHERS)
        node.advance(10.0)
        before = len(node.all_sends)
        node.request("/all/x")
        node.request("/all/y")
        self.assertEqual({"a"}, {send.replica.zone for send in node.all_sends[before:]})


class DelegateNodeTest(TestCase):
    """The node that received a delegated request."""

    def delegate(self, node: OneNode, delegation_id: int = 5) -> DelegatedRequest:
        message = DelegatedRequest(
            delegation_id=delegation_id,
            request_id="id-9",
            request=OpaqueRequest(b"GET", b"/all/x", ()),
            route_name="/all/",
            shards=("s0", "s1"),
            merged_records=3,
            priority=0,
            objective_seconds=OBJECTIVE_SECONDS,
            cutoff_seconds=0.09,
            remaining_seconds=1.0,
        )
        node.emit(PeerReceived(OTHERS[0], message))
        return message

    def test_the_request_is_acknowledged_before_it_is_sent(self) -> None:
        node = node_in_group()
        before = len(node.actions)
        self.delegate(node)
        self.assertEqual(SendToPeer(OTHERS[0], DelegatedAnswer(5)), node.actions[before])
        self.assertEqual(["s0", "s1"], [send.replica.service for send in node.sends])

    def test_answers_are_reported_once_all_have_arrived(self) -> None:
        node = node_in_group()
        self.delegate(node)
        first, second = node.sends
        node.answer(first, body=b"\x01" * 16, signature="one")
        self.assertEqual([DelegatedAnswer(5)], sent_messages(node, DelegatedAnswer))
        node.answer(second, body=b"\x02" * 16, signature="two")
        expected = DelegatedAnswer(5, (0, 1), ("one", "two"), b"\x02" * 16 + b"\x01" * 16)
        self.assertEqual(expected, sent_messages(node, DelegatedAnswer)[-1])

    def test_arrived_answers_are_reported_in_time_and_later_ones_on_arrival(self) -> None:
        node = node_in_group()
        self.delegate(node)
        first, second = node.sends
        node.answer(first, signature="one")
        node.advance(0.095)
        self.assertEqual(
            DelegatedAnswer(5, (0,), ("one",)), sent_messages(node, DelegatedAnswer)[-1]
        )
        node.answer(second, signature="two")
        self.assertEqual(
            DelegatedAnswer(5, (1,), ("two",)), sent_messages(node, DelegatedAnswer)[-1]
        )

    def test_arrived_answers_are_reported_before_the_last_moment(self) -> None:
        node = node_in_group()
        self.delegate(node)
        first, second = node.sends
        node.answer(first, signature="one")
        node.advance(0.062)
        self.assertEqual([DelegatedAnswer(5)], sent_messages(node, DelegatedAnswer))
        node.advance(0.002)
        early = DelegatedAnswer(5, (0,), ("one",))
        self.assertEqual([DelegatedAnswer(5), early], sent_messages(node, DelegatedAnswer))
        node.answer(second, signature="two")
        self.assertEqual(
            DelegatedAnswer(5, (1,), ("two",)), sent_messages(node, DelegatedAnswer)[-1]
        )

    def test_a_second_replica_is_contacted_only_once_allowed(self) -> None:
        node = node_in_group()
        self.delegate(node)
        node.advance(0.08)
        self.assertEqual(2, len(node.all_sends))
        node.emit(PeerReceived(OTHERS[0], AllowAttempts(5, 2)))
        node.advance(0.001)
        self.assertEqual(4, len(node.all_sends))

    def test_a_failed_attempt_is_retried_once_allowed(self) -> None:
        node = node_in_group()
        self.delegate(node)
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        self.assertEqual(2, len(node.all_sends))
        node.emit(PeerReceived(OTHERS[0], AllowAttempts(5, 2)))
        node.advance(0.04)
        self.assertIn("s0", [send.replica.service for send in node.all_sends[2:]])

    def test_an_exhausted_shard_is_reported_at_once(self) -> None:
        node = node_in_group()
        self.delegate(node)
        node.emit(PeerReceived(OTHERS[0], AllowAttempts(5, 2)))
        first, second = node.sends
        node.fail(first, SendFailureKind.MALFORMED)
        self.assertEqual([DelegatedAnswer(5)], sent_messages(node, DelegatedAnswer))
        again = next(send for send in node.sends if send is not second)
        node.fail(again, SendFailureKind.MALFORMED)
        self.assertEqual(
            DelegatedAnswer(5, exhausted=(0,)), sent_messages(node, DelegatedAnswer)[-1]
        )
        node.answer(second, signature="two")
        self.assertEqual(
            DelegatedAnswer(5, (1,), ("two",)), sent_messages(node, DelegatedAnswer)[-1]
        )
        self.assertEqual(3, len(sent_messages(node, DelegatedAnswer)))

    def test_no_shard_is_exhausted_before_further_attempts_are_allowed(self) -> None:
        node = node_in_group()
        self.delegate(node)
        first, second = node.sends
        node.answer(second, signature="two")
        node.fail(first, SendFailureKind.MALFORMED)
        self.assertEqual([DelegatedAnswer(5)], sent_messages(node, DelegatedAnswer))

    def test_work_stops_when_it_is_cancelled_or_the_link_breaks(self) -> None:
        for end in (
            PeerReceived(OTHERS[0], CancelDelegation(5)),
            PeerLinkBroken(OTHERS[0].node_id, "test"),
        ):
            node = node_in_group()
            self.delegate(node)
            node.emit(end)
            node.advance(0.3)
            self.assertEqual([], node.sends)
            self.assertEqual("id-9", node.logs("request_ended")[0]["request_id"])

    def test_a_stopping_node_rejects_delegations(self) -> None:
        node = node_in_group()
        node.emit(StopRequested())
        self.delegate(node)
        self.assertEqual(
            [DelegatedAnswer(5, is_rejected=True)], sent_messages(node, DelegatedAnswer)
        )
        self.assertEqual([], node.sends)
