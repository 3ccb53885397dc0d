"""Tenant and priority go with the work that other nodes do; the key goes nowhere."""

from dataclasses import replace

from testtools import TestCase

from tests.forwarding.known_callers import (
    ARCHIVE,
    BARE_HEADERS,
    KIOSK,
    OTHER_SECRET,
    SECRET,
    Limits,
    ask,
    everything_but_replies,
    tenant_counts,
    with_tenants,
)
from tests.forwarding.linked_nodes import (
    FAR_NODES,
    OBJECTIVE_SECONDS,
    OTHERS,
    OWN,
    SHARDS,
    delegated,
    join,
    told,
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
    """Return a node whose link is open, with shards and single replicas in a zone."""
    node = OneNode(delegate_min_shards=10)
    shards = [
        replica(f"r{number}-{copy}", f"s{number}", zone)
        for number in range(SHARDS)
        for copy in "abc"
    ]
    singles = [replica(f"single-{number}", "s") for number in range(6)]
    node.start(configuration, *shards, *singles)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS, *FAR_NODES)
    return node


def configured(zone: str = "a", limits: Limits | None = None) -> OneNode:
    """Return such a node that knows two tenants."""
    routes = (sharded_route(SHARDS, priority=1), single_route())
    node = linked_node(with_tenants(table(4, *routes), KIOSK, ARCHIVE), zone)
    node.machine._forwarding.admission.limits = Limits() if limits is None else limits
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


class AskingNodeTest(TestCase):
    def test_owners_and_relays_are_told_tenant_and_priority_and_get_the_bare_request(self) -> None:
        for zone in "ab":
            node = configured(zone)
            ask(node, 1, SECRET, "/all/x", forged_tenant="archive")
            messages = [asked for _, asked in delegated(node)]
            self.assertNotEqual([], messages)
            for asked in messages:
                self.assertEqual((BARE, "kiosk", 3), (asked.request, asked.tenant, asked.priority))
            for send in node.sends:
                self.assertEqual((BARE, "kiosk"), (send.request, send.tenant))
            self.assertNotIn(SECRET, everything_but_replies(node))

    def test_without_tenants_they_get_what_came(self) -> None:
        node = linked_node(table(4, sharded_route(SHARDS, priority=1)))
        ask(node, 1, SECRET, "/all/x", forged_tenant="mine")
        own = ((b"Authorization", b"Bearer " + SECRET.encode()), (b"Tenant", b"mine"))
        request = OpaqueRequest(b"GET", b"/all/x", (*BARE_HEADERS, *own))
        messages = [asked for _, asked in delegated(node)]
        self.assertNotEqual([], messages)
        for asked in messages:
            self.assertEqual((request, "", 1), (asked.request, asked.tenant, asked.priority))

    def test_a_wide_request_counts_once(self) -> None:
        limits = Limits()
        node = configured(limits=limits)
        ask(node, 1, SECRET, "/all/x")
        self.assertEqual([("kiosk", 1)], limits.asked)

    def test_what_no_node_took_is_given_back_once(self) -> None:
        limits = Limits()
        node = configured(limits=limits)
        number = ask(node, 1, SECRET, "/all/x", deadline_seconds=0.09)
        for sender, asked in delegated(node):
            rejected = DelegatedAnswer(asked.delegation_id, is_rejected=True)
            node.emit(PeerReceived(sender, rejected))
        while number not in node.replies:
            for send in list(node.sends):
                node.answer(send, 503, signature=None, not_run=True)
            node.advance(0.01)
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([("kiosk", 1)], limits.given_back)

    def test_what_another_node_may_have_sent_is_not_given_back(self) -> None:
        limits = Limits()
        node = configured(limits=limits)
        number = ask(node, 1, SECRET, "/all/x")
        node.leave(number)
        node.advance(5.0)
        self.assertEqual([], limits.given_back)


class AskedNodeTest(TestCase):
    def test_replicas_are_told_the_tenant_that_the_asking_node_told(self) -> None:
        # The asked node may go by an older configuration, or by a newer one without the tenant.
        without = linked_node(table(3, sharded_route(SHARDS)))
        for node in (configured(), without):
            node.emit(PeerReceived(OTHERS[0], message()))
            self.assertEqual(
                [(BARE, "kiosk")] * 2, [(send.request, send.tenant) for send in node.sends]
            )
            exchange = next(iter(node.machine._forwarding._settlement._exchanges.values()))
            self.assertEqual(3, exchange.route.priority)

    def test_it_counts_nothing_and_gives_nothing_back(self) -> None:
        limits = Limits()
        node = configured(limits=limits)
        node.emit(PeerReceived(OTHERS[0], message()))
        while node.sends:
            node.answer(node.sends[0], 503, signature=None, not_run=True)
        node.emit(PeerReceived(OTHERS[0], CancelDelegation(5)))
        node.advance(5.0)
        self.assertEqual(([], [], []), (limits.asked, limits.given_back, tenant_counts(node)))
        (line,) = node.logs("request_ended")
        self.assertEqual(("id-9", "kiosk"), (line["request_id"], line["tenant"]))


class CrashIdentityTest(TestCase):
    def end_three(self, node: OneNode, key: str) -> None:
        """Let a request of a caller end three replicas."""
        for number in range(1, 4):
            if not node.sends:
                ask(node, number, key, "/one/crash")
            node.crash_replica(node.sends[0])
            node.advance(REPORT_DELAY_SECONDS + 0.05)

    def test_it_is_made_of_the_bare_request_and_the_tenant(self) -> None:
        expected = compute_identity(CRASHING, "kiosk")
        node = configured()
        self.end_three(node, SECRET)
        self.assertEqual(
            {expected},
            {item.identity for item in told(node, CrashReport) if isinstance(item, CrashReport)},
        )
        (line,) = node.logs("request_held")
        self.assertEqual(
            (expected.hex(), "kiosk", "/one/crash"),
            (line["digest"], line["tenant"], line["target"]),
        )
        requests = [item for item in node.actions if isinstance(item, StoreRequest)]
        (asked,) = [item for item in requests if item.operation_id.startswith("held-request-")]
        node.emit(StoreResponse(asked.operation_id, LeaseState(7, HELD_SECONDS)))
        written = node.last(StoreRequest).operation
        assert isinstance(written, CompareAndSwap)
        self.assertEqual(HELD_PREFIX + expected.hex(), written.key)
        self.assertNotIn(SECRET.encode(), written.value or b"")
        self.assertNotIn(SECRET, everything_but_replies(node))

    def test_another_tenants_same_request_is_another_one(self) -> None:
        limits = Limits()
        node = configured(limits=limits)
        self.end_three(node, SECRET)
        before = len(node.all_sends)
        reply = node.replies[ask(node, 8, SECRET, "/one/crash", forged_tenant="x")]
        assert isinstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertNotIn(("kiosk", 8), limits.asked)
        self.assertEqual(("other", "held"), tenant_counts(node)[-1])
        ask(node, 9, OTHER_SECRET, "/one/crash")
        self.assertEqual(before + 1, len(node.all_sends))

    def test_the_asked_node_holds_the_same_request_back(self) -> None:
        node = configured()
        news = CrashReport(compute_identity(BARE, "kiosk"), held_seconds=HELD_SECONDS)
        node.emit(PeerReceived(OTHERS[1], news))
        node.emit(PeerReceived(OTHERS[0], message()))
        self.assertEqual([], node.sends)
        answer = told(node, DelegatedAnswer)[-1]
        self.assertEqual(DelegatedAnswer(5, held_seconds=HELD_SECONDS), answer)
        node.emit(PeerReceived(OTHERS[0], replace(message("archive"), delegation_id=6)))
        self.assertEqual(2, len(node.sends))

    def test_a_digest_tells_tenants_apart_and_is_as_before_without_one(self) -> None:
        digests = {compute_identity(BARE, name) for name in ("", "a", "b", "ab")}
        self.assertEqual(4, len(digests))
        self.assertEqual(compute_identity(BARE), compute_identity(BARE, ""))
