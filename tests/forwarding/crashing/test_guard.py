"""Guards against requests that crash one replica after another, on one node and across nodes."""

from testtools import TestCase

from tests.forwarding.linked_nodes import OTHERS, OWN, delegated, join, node_in_group, sent_messages
from tests.forwarding.one_node import (
    HELD_PREFIX,
    OneNode,
    replica,
    sharded_route,
    single_route,
    table,
)
from wingquay.adapters.held_record import held_value, parse_held
from wingquay.forwarding.crashing.guard import REPORT_DELAY_SECONDS
from wingquay.forwarding.crashing.suspects import HOLD_SECONDS
from wingquay.ports.crash_messages import CrashReport, HeldRequest, ReportedCrash
from wingquay.ports.delegation import DelegatedAnswer, DelegatedRequest
from wingquay.ports.forwarding import (
    ConnectionTried,
    ForwardFailureKind,
    OpaqueRequest,
    ReplyFailure,
    SendToReplica,
)
from wingquay.ports.peer_link import PeerLinkOpened, PeerReceived
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    LeaseState,
    StoredValue,
    StoreRequest,
    StoreResponse,
    SwapResult,
)

SHARDS = 6
HELD_KEY_BYTES = 32
TWO_CRASHES = (ReportedCrash("x1", "far", 9.0, 8.9), ReportedCrash("x2", "far", 5.0, 4.9))


def node(**route: object) -> OneNode:
    """Return a node with a route over six shards and one to a single service, two replicas each."""
    one = OneNode()
    records = [
        replica(f"r{number}-{copy}", f"s{number}") for number in range(SHARDS) for copy in "ab"
    ]
    singles = [replica(f"single-{number}", "s") for number in range(6)]
    routes = (sharded_route(SHARDS, **route), single_route())
    one.start(table(1, *routes), *records, *singles)
    one.advance(0.5)
    return one


def linked_node() -> OneNode:
    """Return such a node with links to two other nodes."""
    one = node()
    one.emit(PeerLinkOpened(OWN))
    join(one, *OTHERS)
    return one


def node_with_held_request() -> OneNode:
    """Return a node at which a request to a single service has crashed three replicas."""
    one = linked_node()
    crash_single_service(one, 3)
    return one


def crash_single_service(one: OneNode, replicas: int) -> None:
    """Repeat a request until it has crashed a number of replicas."""
    for _ in range(replicas):
        if not one.sends:
            one.request("/one/crash")
        one.crash_replica(one.sends[0])
        one.advance(REPORT_DELAY_SECONDS + 0.05)


class CrashDetectionTest(TestCase):
    def test_a_disconnect_probes_the_replica_and_retries_at_another(self) -> None:
        one = node()
        one.request("/one/x")
        (send,) = one.sends
        self.assertEqual([send.replica], one.disconnect(send))
        self.assertEqual(1, len(one.sends))

    def test_a_replica_that_accepts_a_connection_has_not_crashed(self) -> None:
        one = node()
        for _ in range(4):
            one.request("/one/x")
            for send in list(one.sends):
                for record in one.disconnect(send):
                    one.emit(ConnectionTried(record.replica_id))
            one.advance(3.0)
        self.assertEqual([], one.logs("replica_ended_under_request"))

    def test_a_replica_that_is_leaving_is_not_probed(self) -> None:
        one = node()
        one.request("/one/x")
        (send,) = one.sends
        one.change(gone=(send.replica.replica_id,))
        self.assertEqual([], one.disconnect(send))

    def test_missing_answers_and_own_cancellations_are_no_crashes(self) -> None:
        one = node()
        number = one.request("/one/x")
        one.leave(number)
        one.advance(3.0)
        self.assertEqual([], one.logs("replica_ended_under_request"))
        self.assertEqual([], one.sends)

    def test_after_three_crashes_only_that_request_is_rejected(self) -> None:
        one = node_with_held_request()
        reply = one.replies[one.request("/one/crash")]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertAlmostEqual(HOLD_SECONDS, reply.retry_after_seconds or 0.0, delta=1.0)
        self.assertEqual([], one.sends)
        one.request("/one/other")
        self.assertEqual(1, len(one.sends))

    def test_requests_that_crashed_replicas_are_answered_as_failed(self) -> None:
        one = node_with_held_request()
        failures = [reply for reply in one.replies.values() if isinstance(reply, ReplyFailure)]
        kinds = {reply.kind for reply in failures}
        self.assertEqual({ForwardFailureKind.FAILED}, kinds)

    def test_the_number_of_probes_is_limited(self) -> None:
        one = node()
        for number in range(400):
            one.request(f"/one/{number}")
        probed = sum(len(one.disconnect(send)) for send in list(one.sends))
        self.assertLessEqual(probed, 6)


class SequentialSendingTest(TestCase):
    def begin(self, **route: object) -> tuple[OneNode, int]:
        one = node(**route)
        number = one.request("/all/crash")
        self.assertEqual(SHARDS, len(one.sends))
        one.advance(0.02)
        return one, number

    def test_after_two_disconnects_nothing_is_sent_while_attempts_are_in_flight(self) -> None:
        one, _ = self.begin()
        for send in list(one.sends)[:3]:
            one.disconnect(send)
        # The first disconnect alone does not make the request sequential: it was retried.
        self.assertEqual(SHARDS - 3 + 1, len(one.sends))

    def test_attempts_are_sent_one_at_a_time_until_the_request_is_held(self) -> None:
        one, number = self.begin()
        for send in list(one.sends):
            one.crash_replica(send)
        while number not in one.replies:
            self.assertEqual(1, len(one.sends))
            one.advance(0.02)
            one.crash_replica(one.sends[0])
        reply = one.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.FAILED, reply.kind)
        self.assertEqual(1, len(one.logs("request_held")))
        self.assertLessEqual(len(one.all_sends), SHARDS + 3)

    def test_an_answer_sends_all_remaining_calls(self) -> None:
        one, number = self.begin(min_share=1.0)
        lost = list(one.sends)
        for send in lost[:4]:
            one.crash_replica(send)
        one.answer(lost[4], body=b"x" * 16)
        self.assertEqual(SHARDS - 1, len(one.sends))
        for send in list(one.sends):
            one.answer(send, body=b"y" * 16)
        self.assertEqual(0, one.replies[number].missing_shards)  # type: ignore[union-attr]

    def test_successful_probes_send_all_remaining_calls(self) -> None:
        one, _ = self.begin()
        probed = [record for send in list(one.sends)[:3] for record in one.disconnect(send)]
        before = len(one.all_sends)
        for record in probed:
            one.emit(ConnectionTried(record.replica_id))
        self.assertEqual(SHARDS + 1, before)
        self.assertEqual(SHARDS + 3, len(one.all_sends))

    def test_a_suspect_request_starts_with_one_replica(self) -> None:
        one = linked_node()
        one.request("/all/crash")
        one.advance(0.02)
        for send in list(one.sends):
            one.crash_replica(send)
        one.advance(2.0)
        sent = len(one.all_sends)
        number = one.request("/all/crash")
        self.assertEqual(sent + 1, len(one.all_sends))
        one.answer(one.sends[0])
        self.assertEqual(sent + SHARDS, len(one.all_sends))
        self.assertEqual(1, len(one.logs("request_cleared")))
        self.assertNotIn(number, one.replies)


class CrashReportTest(TestCase):
    def test_a_hold_is_reported_to_other_nodes(self) -> None:
        one = node_with_held_request()
        reports = [item for item in sent_messages(one, CrashReport) if item.held_seconds]  # type: ignore[attr-defined]
        self.assertEqual(len(OTHERS), len(reports))
        self.assertEqual(3, len(reports[0].crashes))  # type: ignore[attr-defined]

    def test_a_crash_is_not_reported_immediately(self) -> None:
        one = linked_node()
        one.request("/one/crash")
        one.crash_replica(one.sends[0])
        self.assertEqual([], sent_messages(one, CrashReport))

    def test_crashes_of_a_request_that_is_answered_soon_are_not_reported(self) -> None:
        one = linked_node()
        one.request("/one/x")
        one.crash_replica(one.sends[0])
        one.answer(one.sends[0])
        one.advance(REPORT_DELAY_SECONDS + 0.05)
        self.assertEqual([], [item for item in sent_messages(one, CrashReport) if item.crashes])  # type: ignore[attr-defined]

    def test_crashes_are_reported_before_the_request_is_held(self) -> None:
        one = linked_node()
        crash_single_service(one, 2)
        self.assertEqual([], one.logs("request_held"))
        self.assertEqual(2, max(len(item.crashes) for item in sent_messages(one, CrashReport)))  # type: ignore[attr-defined]

    def test_crashes_reported_by_another_node_count(self) -> None:
        one, two = linked_node(), linked_node()
        crash_single_service(one, 2)
        two.emit(PeerReceived(OTHERS[0], sent_messages(one, CrashReport)[-1]))  # type: ignore[arg-type]
        two.advance(0.2)
        crash_single_service(two, 1)
        self.assertEqual(1, len(two.logs("request_held")))

    def test_a_reported_hold_ends_open_exchanges_and_rejects_new_requests(self) -> None:
        one, two = node_with_held_request(), linked_node()
        number = two.request("/one/crash")
        (send,) = two.sends
        (report, *_) = [item for item in sent_messages(one, CrashReport) if item.held_seconds]  # type: ignore[attr-defined]
        two.emit(PeerReceived(OTHERS[0], report))  # type: ignore[arg-type]
        self.assertEqual([send.attempt_id], two.cancelled)
        self.assertIs(ForwardFailureKind.FAILED, two.replies[number].kind)  # type: ignore[union-attr]
        self.assertIsInstance(two.replies[two.request("/one/crash")], ReplyFailure)
        self.assertEqual([], two.sends)

    def test_a_report_is_forwarded_once(self) -> None:
        one, two = node_with_held_request(), linked_node()
        (report, *_) = [item for item in sent_messages(one, CrashReport) if item.held_seconds]  # type: ignore[attr-defined]
        for _ in range(3):
            two.emit(PeerReceived(OTHERS[0], report))  # type: ignore[arg-type]
        self.assertEqual(1, len(sent_messages(two, CrashReport)))

    def test_an_answer_at_one_node_clears_the_request_at_others(self) -> None:
        one, two = linked_node(), linked_node()
        crash_single_service(one, 2)
        two.emit(PeerReceived(OTHERS[0], sent_messages(one, CrashReport)[-1]))  # type: ignore[arg-type]
        two.request("/one/crash")
        two.answer(two.sends[0])
        cleared = [item for item in sent_messages(two, CrashReport) if item.is_cleared]  # type: ignore[attr-defined]
        one.emit(PeerReceived(OTHERS[0], cleared[0]))  # type: ignore[arg-type]
        crash_single_service(one, 1)
        self.assertEqual([], one.logs("request_held"))

    def test_a_delegate_reports_a_hold_and_the_delegating_node_stops(self) -> None:
        owner = node_with_held_request()
        delegating = node_in_group()
        number = delegating.request("/all/crash")
        to, message = delegated(delegating)[0]
        held = DelegatedAnswer(message.delegation_id, held_seconds=9.0)
        delegating.emit(PeerReceived(to, held))
        self.assertIsInstance(delegating.replies[number], ReplyFailure)
        self.assertIsInstance(delegating.replies[delegating.request("/all/crash")], ReplyFailure)
        self.assertEqual([], delegating.sends)
        request = DelegatedRequest(1, "id", opaque_of(owner), "one", ("s",), 0, 0, 1.0, 1.0, 1.0)
        owner.emit(PeerReceived(OTHERS[0], request))
        (answer,) = sent_messages(owner, DelegatedAnswer)
        self.assertGreater(answer.held_seconds, 0.0)  # type: ignore[attr-defined]
        self.assertEqual([], owner.sends)


class DelegateTest(TestCase):
    """A delegate returns its shards to the delegating node once replicas may have crashed."""

    def test_shards_are_returned_after_disconnects(self) -> None:
        one = linked_node()
        request = DelegatedRequest(
            5,
            "id",
            OpaqueRequest(b"GET", b"/all/crash", ()),
            "all",
            tuple(f"s{number}" for number in range(SHARDS)),
            3,
            0,
            0.1,
            0.1,
            1.0,
        )
        one.emit(PeerReceived(OTHERS[0], request))
        for send in list(one.sends):
            one.disconnect(send)
        returned = [
            position for item in sent_messages(one, DelegatedAnswer) for position in item.given_back
        ]  # type: ignore[attr-defined]
        # Also after the first disconnect, the delegate may not send to a second replica.
        self.assertEqual(list(range(SHARDS)), sorted(returned))
        self.assertEqual([], one.sends)


class HeldRequestKeyTest(TestCase):
    def stored(self, one: OneNode, identity: bytes) -> StoredValue:
        value = held_value(HeldRequest(200.0, "/one/crash", "10.0.0.9", "node-7"))
        return StoredValue(HELD_PREFIX + identity.hex(), value, one.store_revision + 1)

    def held_identity(self, one: OneNode) -> bytes:
        return bytes.fromhex(str(one.logs("request_held")[0]["digest"]))

    def test_the_node_that_starts_the_hold_writes_a_key_with_a_lease(self) -> None:
        one = node_with_held_request()
        requests = [item for item in one.actions if isinstance(item, StoreRequest)]
        (lease_request,) = [
            item for item in requests if item.operation_id.startswith("held-request-")
        ]
        self.assertEqual(GrantLease(int(HOLD_SECONDS)), lease_request.operation)
        one.emit(StoreResponse(lease_request.operation_id, LeaseState(7, HOLD_SECONDS)))
        operation = one.last(StoreRequest).operation
        assert isinstance(operation, CompareAndSwap)
        self.assertEqual(HELD_PREFIX + self.held_identity(one).hex(), operation.key)
        held = parse_held(operation.value or b"")
        assert held is not None
        self.assertEqual(("/one/crash", "node-1"), (held.target, held.found_by))
        one.emit(StoreResponse(lease_request.operation_id, SwapResult(True, 9)))
        self.assertEqual(operation, one.last(StoreRequest).operation)

    def test_a_node_that_starts_later_rejects_the_request(self) -> None:
        identity = self.held_identity(node_with_held_request())
        one = OneNode()
        value = self.stored(one, identity)
        one.start(table(1, single_route()), replica("r", "s"), values=(value,))
        reply = one.replies[one.request("/one/crash")]
        assert isinstance(reply, ReplyFailure)
        self.assertAlmostEqual(200.0, reply.retry_after_seconds or 0.0, delta=1.0)

    def test_the_hold_ends_when_its_key_is_deleted(self) -> None:
        one = node_with_held_request()
        value = self.stored(one, self.held_identity(one))
        one.change(values=(value,))
        one.change(gone_keys=(value.key,))
        self.assertEqual(1, len(one.logs("request_hold_ended")))
        one.request("/one/crash")
        self.assertEqual(1, len(one.sends))

    def test_a_known_key_that_a_listing_lacks_is_reported_as_missing(self) -> None:
        one = node_with_held_request()
        value = self.stored(one, self.held_identity(one))
        one.change(values=(value,))
        missing = one.machine._held_request_keys.missing_from(set())
        self.assertEqual((value.key,), missing)

    def test_an_unreadable_key_is_logged_and_ignored(self) -> None:
        one = node()
        for key, text in ((HELD_PREFIX + "zz", b"{}"), (HELD_PREFIX + "00", b"no")):
            one.change(values=(StoredValue(key, text, one.store_revision + 1),))
        self.assertEqual(2, len(one.logs("held_request_unreadable")))


def opaque_of(one: OneNode) -> object:
    """Return the crashing request as the node has sent it."""
    sends = [item for item in one.actions if isinstance(item, SendToReplica)]
    return next(item.request for item in sends if item.request.target == b"/one/crash")
