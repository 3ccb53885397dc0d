"""Shards of wide requests that other nodes of the group are asked for, and both sides of it."""

from testtools import TestCase

from tests.forwarding.linked_nodes import (
    OBJECTIVE_SECONDS,
    OTHERS,
    OWN,
    SHARDS,
    delegated,
    join,
    node_in_group,
    told,
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


class AskingTest(TestCase):
    """The node that a caller's request reached."""

    def test_every_shard_is_asked_once_by_one_node_of_the_group(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        asked = [shard for _, message in delegated(node) for shard in message.shards]
        own = [send.replica.service for send in node.sends]
        self.assertEqual({f"s{number}" for number in range(SHARDS)}, set(asked + own))
        self.assertEqual(SHARDS, len(asked + own))
        self.assertEqual([4, 4], [len(message.shards) for _, message in delegated(node)])

    def test_narrow_requests_and_small_groups_are_asked_directly(self) -> None:
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

    def test_answers_of_nodes_are_merged_with_own_ones(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for place, (sender, message) in enumerate(delegated(node)):
            body = bytes([place + 7]) * 16
            node.emit(PeerReceived(sender, whole_answer(message, body)))
        for send in list(node.sends):
            node.answer(send, body=b"\x01" * 16)
        reply = node.replies[number]
        assert isinstance(reply, ReplyMerged)
        self.assertEqual(b"\x08" * 16 + b"\x07" * 16 + b"\x01" * 16, reply.body)
        self.assertEqual((SHARDS, 0), (len(set(reply.signatures)), reply.missing_shards))

    def test_a_node_that_says_nothing_is_stepped_in_for_and_passed_over(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        (silent, message), (lively, _) = delegated(node)
        node.emit(PeerReceived(lively, DelegatedAnswer(delegated(node)[1][1].delegation_id)))
        before = len(node.sends)
        node.advance(OBJECTIVE_SECONDS * 0.6)
        direct = {send.replica.service for send in node.sends[before:]}
        self.assertEqual(set(message.shards), direct & set(message.shards))
        self.assertEqual("silent", node.logs("delegation_lost")[0]["reason"])
        node.request("/all/y")
        self.assertNotIn(silent, [to for to, _ in delegated(node)[2:]])

    def test_until_a_node_is_heard_one_attempt_is_its_and_the_others_are_ours(self) -> None:
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

    def test_a_node_that_is_heard_gets_all_attempts(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
        self.assertEqual([AllowAttempts(message.delegation_id, 2)], told(node, AllowAttempts))
        node.emit(PeerLinkBroken(sender.node_id, "killed"))
        node.advance(0.3)
        direct = [send for send in node.all_sends if send.replica.service in message.shards]
        self.assertEqual([], direct)

    def test_a_node_heard_after_we_stepped_in_gets_no_further_attempts(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.advance(OBJECTIVE_SECONDS * 0.6)
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
        self.assertEqual([], told(node, AllowAttempts))

    def test_records_of_a_shard_that_both_asked_count_once(self) -> None:
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

    def test_a_rejected_request_is_asked_directly_at_once(self) -> None:
        node = node_in_group()
        node.request("/all/x")
        sender, message = delegated(node)[0]
        node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id, is_rejected=True)))
        direct = [send.replica.service for send in node.sends]
        self.assertEqual(set(message.shards), set(direct) & set(message.shards))

    def test_a_node_that_was_never_reached_costs_no_attempt(self) -> None:
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

    def test_answers_of_strangers_are_passed_over(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        (_, message), (other, _) = delegated(node)
        node.emit(PeerReceived(other, whole_answer(message)))
        for send in list(node.sends):
            node.answer(send)
        self.assertNotIn(number, node.replies)

    def test_a_caller_that_leaves_ends_the_work_of_nodes(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        node.leave(number)
        cancelled = {message.delegation_id for message in told(node, CancelDelegation)}
        self.assertEqual({message.delegation_id for _, message in delegated(node)}, cancelled)

    def test_a_request_that_lost_too_much_fails_at_once(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for sender, message in delegated(node):
            node.emit(PeerReceived(sender, DelegatedAnswer(message.delegation_id)))
            node.emit(PeerLinkBroken(sender.node_id, "killed"))
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.FAILED, reply.kind)
        (line,) = node.logs("request_ended")
        self.assertIn("asked through", str(line["unanswered"]))

    def test_shards_of_which_nothing_comes_any_more_make_it_fail_at_once(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for sender, message in delegated(node):
            places = tuple(range(len(message.shards)))
            exhausted = DelegatedAnswer(message.delegation_id, exhausted=places)
            node.emit(PeerReceived(sender, exhausted))
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.FAILED, reply.kind)

    def test_a_shard_of_which_nothing_comes_any_more_is_not_waited_for(self) -> None:
        node = node_in_group()
        number = node.request("/all/x")
        for sender, message in delegated(node):
            first, *rest = range(len(message.shards))
            signatures = tuple(f"{message.delegation_id}.{place}" for place in rest)
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


class NearReplicaTest(TestCase):
    def test_an_owner_stays_in_its_zone_while_a_near_replica_has_a_free_slot(self) -> None:
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


class AskedTest(TestCase):
    """The node that another one asked."""

    def ask(self, node: OneNode, delegation_id: int = 5) -> DelegatedRequest:
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
        self.ask(node)
        self.assertEqual(SendToPeer(OTHERS[0], DelegatedAnswer(5)), node.actions[before])
        self.assertEqual(["s0", "s1"], [send.replica.service for send in node.sends])

    def test_what_came_in_is_told_once_all_is_in(self) -> None:
        node = node_in_group()
        self.ask(node)
        first, second = node.sends
        node.answer(first, body=b"\x01" * 16, signature="one")
        self.assertEqual([DelegatedAnswer(5)], told(node, DelegatedAnswer))
        node.answer(second, body=b"\x02" * 16, signature="two")
        expected = DelegatedAnswer(5, (0, 1), ("one", "two"), b"\x02" * 16 + b"\x01" * 16)
        self.assertEqual(expected, told(node, DelegatedAnswer)[-1])

    def test_what_is_in_is_told_in_time_and_the_rest_as_it_comes(self) -> None:
        node = node_in_group()
        self.ask(node)
        first, second = node.sends
        node.answer(first, signature="one")
        node.advance(0.095)
        self.assertEqual(DelegatedAnswer(5, (0,), ("one",)), told(node, DelegatedAnswer)[-1])
        node.answer(second, signature="two")
        self.assertEqual(DelegatedAnswer(5, (1,), ("two",)), told(node, DelegatedAnswer)[-1])

    def test_most_of_it_is_told_before_the_last_moment(self) -> None:
        node = node_in_group()
        self.ask(node)
        first, second = node.sends
        node.answer(first, signature="one")
        node.advance(0.062)
        self.assertEqual([DelegatedAnswer(5)], told(node, DelegatedAnswer))
        node.advance(0.002)
        early = DelegatedAnswer(5, (0,), ("one",))
        self.assertEqual([DelegatedAnswer(5), early], told(node, DelegatedAnswer))
        node.answer(second, signature="two")
        self.assertEqual(DelegatedAnswer(5, (1,), ("two",)), told(node, DelegatedAnswer)[-1])

    def test_a_second_replica_is_asked_only_once_that_is_allowed(self) -> None:
        node = node_in_group()
        self.ask(node)
        node.advance(0.08)
        self.assertEqual(2, len(node.all_sends))
        node.emit(PeerReceived(OTHERS[0], AllowAttempts(5, 2)))
        node.advance(0.001)
        self.assertEqual(4, len(node.all_sends))

    def test_a_failed_attempt_is_made_good_once_that_is_allowed(self) -> None:
        node = node_in_group()
        self.ask(node)
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        self.assertEqual(2, len(node.all_sends))
        node.emit(PeerReceived(OTHERS[0], AllowAttempts(5, 2)))
        node.advance(0.04)
        self.assertIn("s0", [send.replica.service for send in node.all_sends[2:]])

    def test_that_nothing_comes_of_a_shard_any_more_is_told_at_once(self) -> None:
        node = node_in_group()
        self.ask(node)
        node.emit(PeerReceived(OTHERS[0], AllowAttempts(5, 2)))
        first, second = node.sends
        node.fail(first, SendFailureKind.MALFORMED)
        self.assertEqual([DelegatedAnswer(5)], told(node, DelegatedAnswer))
        again = next(send for send in node.sends if send is not second)
        node.fail(again, SendFailureKind.MALFORMED)
        self.assertEqual(DelegatedAnswer(5, exhausted=(0,)), told(node, DelegatedAnswer)[-1])
        node.answer(second, signature="two")
        self.assertEqual(DelegatedAnswer(5, (1,), ("two",)), told(node, DelegatedAnswer)[-1])
        self.assertEqual(3, len(told(node, DelegatedAnswer)))

    def test_before_further_attempts_are_allowed_nothing_is_given_up(self) -> None:
        node = node_in_group()
        self.ask(node)
        first, second = node.sends
        node.answer(second, signature="two")
        node.fail(first, SendFailureKind.MALFORMED)
        self.assertEqual([DelegatedAnswer(5)], told(node, DelegatedAnswer))

    def test_work_ends_when_nobody_waits_for_it(self) -> None:
        for end in (
            PeerReceived(OTHERS[0], CancelDelegation(5)),
            PeerLinkBroken(OTHERS[0].node_id, "test"),
        ):
            node = node_in_group()
            self.ask(node)
            node.emit(end)
            node.advance(0.3)
            self.assertEqual([], node.sends)
            self.assertEqual("id-9", node.logs("request_ended")[0]["request_id"])

    def test_a_node_that_stops_rejects(self) -> None:
        node = node_in_group()
        node.emit(StopRequested())
        self.ask(node)
        self.assertEqual([DelegatedAnswer(5, is_rejected=True)], told(node, DelegatedAnswer))
        self.assertEqual([], node.sends)
