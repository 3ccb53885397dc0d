"""Delegated requests contain the tenant and the priority, but never the key."""

from dataclasses import replace

from testtools import TestCase

from tests.forwarding.known_callers import (
    ARCHIVE,
    BARE_HEADERS,
    KIOSK,
    OTHER_SECRET,
    SECRET,
    FakeLimits,
    output_without_replies,
    send_request,
    tenant_counts,
    with_tenants,
)
from tests.forwarding.linked_nodes import (
    OBJECTIVE_SECONDS,
    OTHERS,
    OWN,
    REMOTE_NODES,
    SHARDS,
    delegated,
    join,
    sent_messages,
)
from tests.forwarding.one_node import (
    HELD_PREFIX,
    OneNode,
    replica,
    sharded_route,
    single_route,
    table,
)
from wingquay.forwarding.arrival.request_identity import compute_identity
from wingquay.forwarding.crashing.guard import REPORT_DELAY_SECONDS
from wingquay.model.routing_table import RoutingTable
from wingquay.ports.crash_messages import CrashReport
from wingquay.ports.delegation import CancelDelegation, DelegatedAnswer, DelegatedRequest
from wingquay.ports.forwarding import ForwardFailureKind, OpaqueRequest, ReplyFailure
from wingquay.ports.peer_link import PeerLinkOpened, PeerReceived
from wingquay.ports.store import CompareAndSwap, LeaseState, StoreRequest, StoreResponse

BARE = OpaqueRequest(b"GET", b"/all/x", BARE_HEADERS)
CRASHING = OpaqueRequest(b"GET", b"/one/crash", BARE_HEADERS)
HELD_SECONDS = 60.0


def linked_node(configuration: RoutingTable, zone: str = "a") -> OneNode:
    """Return a node with an open link, shards with replicas in a zone and a single service."""
    node = OneNode(delegate_min_shards=10)
    shards = [
        replica(f"r{number}-{copy}", f"s{number}", zone)
        for number in range(SHARDS)
        for copy in "abc"
    ]
    singles = [replica(f"single-{number}", "s") for number in range(6)]
    node.start(configuration, *shards, *singles)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS, *REMOTE_NODES)
    return node


def configured(zone: str = "a", limits: FakeLimits | None = None) -> OneNode:
    """Return such a node with two tenants in its configuration."""
    routes = (sharded_route(SHARDS, priority=1), single_route())
    node = linked_node(with_tenants(table(4, *routes), KIOSK, ARCHIVE), zone)
    node.machine._forwarding.admission.limits = FakeLimits() if limits is None else limits
    return node


def message(tenant: str = "kiosk", request: OpaqueRequest = BARE) -> DelegatedRequest:
    return DelegatedRequest(
        delegation_id=5,
        request_id="id-9",
        request=request,
        route_name="/all/",
        shards=("s0", "s1"),
        merged_records=3,
        priority=3,
        objective_seconds=OBJECTIVE_SECONDS,
        cutoff_seconds=0.09,
        remaining_seconds=1.0,
        tenant=tenant,
    )


class DelegatingNodeTest(TestCase):
    def test_owners_and_relays_receive_tenant_and_priority_but_no_key(self) -> None:
        for zone in "ab":
            node = configured(zone)
            send_request(node, 1, SECRET, "/all/x", forged_tenant="archive")
            messages = [delegated_request for _, delegated_request in delegated(node)]
            self.assertNotEqual([], messages)
            for delegated_request in messages:
                self.assertEqual(
                    (BARE, "kiosk", 3),
                    (
                        delegated_request.request,
                        delegated_request.tenant,
                        delegated_request.priority,
                    ),
                )
            for send in node.sends:
                self.assertEqual((BARE, "kiosk"), (send.request, send.tenant))
            self.assertNotIn(SECRET, output_without_replies(node))

    def test_without_tenants_they_receive_the_request_unchanged(self) -> None:
        node = linked_node(table(4, sharded_route(SHARDS, priority=1)))
        send_request(node, 1, SECRET, "/all/x", forged_tenant="mine")
        own = ((b"Authorization", b"Bearer " + SECRET.encode()), (b"Tenant", b"mine"))
        request = OpaqueRequest(b"GET", b"/all/x", (*BARE_HEADERS, *own))
        messages = [delegated_request for _, delegated_request in delegated(node)]
        self.assertNotEqual([], messages)
        for delegated_request in messages:
            self.assertEqual(
                (request, "", 1),
                (delegated_request.request, delegated_request.tenant, delegated_request.priority),
            )

    def test_a_wide_request_counts_once(self) -> None:
        limits = FakeLimits()
        node = configured(limits=limits)
        send_request(node, 1, SECRET, "/all/x")
        self.assertEqual([("kiosk", 1)], limits.admit_calls)

    def test_a_request_that_no_node_accepted_is_given_back_once(self) -> None:
        limits = FakeLimits()
        node = configured(limits=limits)
        number = send_request(node, 1, SECRET, "/all/x", deadline_seconds=0.09)
        for sender, delegated_request in delegated(node):
            rejected = DelegatedAnswer(delegated_request.delegation_id, is_rejected=True)
            node.emit(PeerReceived(sender, rejected))
        while number not in node.replies:
            for send in list(node.sends):
                node.answer(send, 503, signature=None, not_run=True)
            node.advance(0.01)
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([("kiosk", 1)], limits.given_back)

    def test_a_request_that_another_node_may_have_sent_is_not_given_back(self) -> None:
        limits = FakeLimits()
        node = configured(limits=limits)
        number = send_request(node, 1, SECRET, "/all/x")
        node.leave(number)
        node.advance(5.0)
        self.assertEqual([], limits.given_back)


class DelegateNodeTest(TestCase):
    def test_replicas_receive_the_tenant_named_by_the_delegating_node(self) -> None:
        # The delegate may have an older configuration, or a newer one without the tenant.
        without = linked_node(table(3, sharded_route(SHARDS)))
        for node in (configured(), without):
            node.emit(PeerReceived(OTHERS[0], message()))
            self.assertEqual(
                [(BARE, "kiosk")] * 2, [(send.request, send.tenant) for send in node.sends]
            )
            exchange = next(iter(node.machine._forwarding._settlement._exchanges.values()))
            self.assertEqual(3, exchange.route.priority)

    def test_a_delegated_request_is_not_counted_again(self) -> None:
        limits = FakeLimits()
        node = configured(limits=limits)
        node.emit(PeerReceived(OTHERS[0], message()))
        while node.sends:
            node.answer(node.sends[0], 503, signature=None, not_run=True)
        node.emit(PeerReceived(OTHERS[0], CancelDelegation(5)))
        node.advance(5.0)
        self.assertEqual(([], [], []), (limits.admit_calls, limits.given_back, tenant_counts(node)))
        (line,) = node.logs("request_ended")
        self.assertEqual(("id-9", "kiosk"), (line["request_id"], line["tenant"]))


class CrashIdentityTest(TestCase):
    def crash_three(self, node: OneNode, key: str) -> None:
        """Let a request of a caller crash three replicas."""
        for number in range(1, 4):
            if not node.sends:
                send_request(node, number, key, "/one/crash")
            node.crash_replica(node.sends[0])
            node.advance(REPORT_DELAY_SECONDS + 0.05)

    def test_it_covers_the_request_without_the_key_and_the_tenant(self) -> None:
        expected = compute_identity(CRASHING, "kiosk")
        node = configured()
        self.crash_three(node, SECRET)
        self.assertEqual(
            {expected},
            {
                item.identity
                for item in sent_messages(node, CrashReport)
                if isinstance(item, CrashReport)
            },
        )
        (line,) = node.logs("request_held")
        self.assertEqual(
            (expected.hex(), "kiosk", "/one/crash"),
            (line["digest"], line["tenant"], line["target"]),
        )
        requests = [item for item in node.actions if isinstance(item, StoreRequest)]
        (delegated_request,) = [
            item for item in requests if item.operation_id.startswith("held-request-")
        ]
        node.emit(StoreResponse(delegated_request.operation_id, LeaseState(7, HELD_SECONDS)))
        written = node.last(StoreRequest).operation
        assert isinstance(written, CompareAndSwap)
        self.assertEqual(HELD_PREFIX + expected.hex(), written.key)
        self.assertNotIn(SECRET.encode(), written.value or b"")
        self.assertNotIn(SECRET, output_without_replies(node))

    def test_the_same_request_of_another_tenant_is_not_held(self) -> None:
        limits = FakeLimits()
        node = configured(limits=limits)
        self.crash_three(node, SECRET)
        before = len(node.all_sends)
        reply = node.replies[send_request(node, 8, SECRET, "/one/crash", forged_tenant="x")]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertNotIn(("kiosk", 8), limits.admit_calls)
        self.assertEqual(("other", "held"), tenant_counts(node)[-1])
        send_request(node, 9, OTHER_SECRET, "/one/crash")
        self.assertEqual(before + 1, len(node.all_sends))

    def test_a_delegate_holds_the_same_request(self) -> None:
        node = configured()
        news = CrashReport(compute_identity(BARE, "kiosk"), held_seconds=HELD_SECONDS)
        node.emit(PeerReceived(OTHERS[1], news))
        node.emit(PeerReceived(OTHERS[0], message()))
        self.assertEqual([], node.sends)
        answer = sent_messages(node, DelegatedAnswer)[-1]
        self.assertEqual(DelegatedAnswer(5, held_seconds=HELD_SECONDS), answer)
        node.emit(PeerReceived(OTHERS[0], replace(message("archive"), delegation_id=6)))
        self.assertEqual(2, len(node.sends))

    def test_the_digest_depends_on_the_tenant_if_there_is_one(self) -> None:
        digests = {compute_identity(BARE, name) for name in ("", "a", "b", "ab")}
        self.assertEqual(4, len(digests))
        self.assertEqual(compute_identity(BARE), compute_identity(BARE, ""))
