"""Keys, tenants and public routes, from the arrival of a request to the reply."""

from testtools import TestCase

from tests.forwarding.known_callers import (
    ADMITTED,
    ARCHIVE,
    BARE_HEADERS,
    KIOSK,
    OTHER_SECRET,
    SECRET,
    FakeLimits,
    FakeProof,
    output_without_replies,
    request_ended_lines,
    send_request,
    tenant_counts,
    with_tenants,
)
from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.arrival.admission import Rejected
from wingquay.forwarding.arrival.request_identity import compute_identity
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    OpaqueRequest,
    ReplyFailure,
    ReplyUnchanged,
    SendFailureKind,
)

OVER_LIMIT = Rejected(ForwardFailureKind.OVER_LIMIT, "the tenant has reached its limit", 1.25)
PUBLIC = "/open/"
UNKNOWN_KEY = "the key in the request belongs to no tenant"
NO_KEY = "the request contains no key, or several"
UNPROVEN = "the configuration may be too old to authenticate the key"


def bare(path: str = "/one/x") -> OpaqueRequest:
    return OpaqueRequest(b"GET", path.encode(), BARE_HEADERS)


def node_with(
    *tenants: Tenant,
    replicas: int = 2,
    limits: FakeLimits | None = None,
    proof: FakeProof | None = None,
) -> OneNode:
    """Return a node with tenants, a route that requires a key and a public one."""
    node = OneNode()
    routes = (single_route(), single_route(PUBLIC, is_public=True))
    records = [replica(f"r{number}", "s") for number in range(replicas)]
    node.start(with_tenants(table(4, *routes), *tenants), *records)
    admission = node.machine._forwarding.admission
    admission.limits = FakeLimits() if limits is None else limits
    admission.proof = FakeProof() if proof is None else proof
    return node


class KnownCallerTest(TestCase):
    def test_the_replica_receives_the_request_without_the_key_and_with_the_tenant(self) -> None:
        for key, forged, name in (
            (SECRET, "", "kiosk"),
            (SECRET, "archive", "kiosk"),
            (OTHER_SECRET, "kiosk", "archive"),
        ):
            node = node_with(KIOSK, ARCHIVE)
            number = send_request(node, 1, key, forged_tenant=forged)
            (send,) = node.sends
            self.assertEqual((bare(), name), (send.request, send.tenant))
            node.answer(send)
            self.assertIsInstance(node.replies[number], ReplyUnchanged)
            self.assertEqual([("other", "allowed")], tenant_counts(node))

    def test_a_public_route_needs_no_key_and_sends_no_tenant(self) -> None:
        for key, forged in (("", ""), (SECRET, ""), ("unknown", ""), ("", "kiosk"), (SECRET, "x")):
            limits, proof = FakeLimits(), FakeProof()
            proof.proven = False
            node = node_with(KIOSK, limits=limits, proof=proof)
            send_request(node, 1, key, f"{PUBLIC}x", forged)
            (send,) = node.sends
            self.assertEqual((bare(f"{PUBLIC}x"), ""), (send.request, send.tenant))
            node.answer(send)
            self.assertEqual(([], []), (limits.admit_calls, tenant_counts(node)))

    def test_a_retry_sends_the_same_request_and_tenant(self) -> None:
        node = node_with(KIOSK)
        send_request(node, 1, SECRET, forged_tenant="archive")
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        self.assertEqual(
            [(bare(), "kiosk")] * 2, [(send.request, send.tenant) for send in node.all_sends]
        )

    def test_the_tenants_priority_replaces_that_of_the_route(self) -> None:
        for tenant, route_priority, expected in (
            (Tenant("kiosk", (SECRET,), 3), 1, 3),
            (Tenant("kiosk", (SECRET,), 0), 1, 0),
            (Tenant("kiosk", (SECRET,)), 1, 1),
        ):
            node = OneNode()
            route = single_route(priority=route_priority)
            node.start(with_tenants(table(4, route), tenant), replica("r0", "s"))
            for number in (1, 2):
                send_request(node, number, SECRET)
                self.assertEqual(expected, open_route(node, number).priority)
            self.assertIs(open_route(node, 1), open_route(node, 2))

    def test_a_new_priority_applies_to_new_requests(self) -> None:
        node = OneNode()
        route = single_route(priority=1)
        node.start(with_tenants(table(4, route), KIOSK), replica("r0", "s"))
        send_request(node, 1, SECRET)
        node.change(configuration=with_tenants(table(5, route), Tenant("kiosk", (SECRET,), 7)))
        send_request(node, 2, SECRET)
        self.assertEqual([3, 7], [open_route(node, number).priority for number in (1, 2)])

    def test_a_changed_route_applies_with_an_unchanged_priority(self) -> None:
        node = OneNode()
        node.start(with_tenants(table(4, single_route()), KIOSK), replica("r0", "s"))
        send_request(node, 1, SECRET)
        changed = single_route(objective_seconds=0.9)
        node.change(configuration=with_tenants(table(5, changed), KIOSK))
        send_request(node, 2, SECRET)
        routes = [open_route(node, number) for number in (1, 2)]
        self.assertEqual(
            [(0.4, 3), (0.9, 3)], [(route.objective_seconds, route.priority) for route in routes]
        )

    def test_a_request_uses_one_configuration_version_until_it_ends(self) -> None:
        node = node_with(KIOSK)
        number = send_request(node, 1, SECRET)
        node.change(configuration=with_tenants(table(5, single_route()), ARCHIVE))
        node.fail(node.sends[0], SendFailureKind.BROKEN)
        (send,) = node.sends
        self.assertEqual("kiosk", send.tenant)
        node.answer(send)
        self.assertIsInstance(node.replies[number], ReplyUnchanged)
        self.assertIs(
            ForwardFailureKind.UNKNOWN_CALLER, reply_to(node, send_request(node, 2, SECRET)).kind
        )


class RejectedCallerTest(TestCase):
    def test_an_unknown_key_is_rejected_at_once(self) -> None:
        for key, reason in (("", NO_KEY), ("other", UNKNOWN_KEY), (SECRET.upper(), UNKNOWN_KEY)):
            limits = FakeLimits()
            node = node_with(KIOSK, limits=limits)
            number = send_request(node, 1, key)
            self.assertEqual(
                ReplyFailure(1, ForwardFailureKind.UNKNOWN_CALLER, reason), node.replies[number]
            )
            self.assertEqual(([], [], []), (node.all_sends, limits.admit_calls, limits.given_back))
            self.assertEqual([("none", "unknown_caller")], tenant_counts(node))
            self.assertEqual(0, node.machine._forwarding.open_exchanges)

    def test_without_tenants_in_the_configuration_every_key_is_unknown(self) -> None:
        node = node_with()
        self.assertIs(
            ForwardFailureKind.UNKNOWN_CALLER, reply_to(node, send_request(node, 1, SECRET)).kind
        )

    def test_a_tenant_without_keys_matches_no_key(self) -> None:
        node = node_with(Tenant("kiosk", ()))
        for number, key in enumerate(("", SECRET), 1):
            kind = reply_to(node, send_request(node, number, key)).kind
            self.assertIs(ForwardFailureKind.UNKNOWN_CALLER, kind)

    def test_without_proof_no_key_is_rejected_as_unknown(self) -> None:
        for key in ("", "other", SECRET):
            limits, proof = FakeLimits(), FakeProof()
            proof.proven = False
            node = node_with(KIOSK, limits=limits, proof=proof)
            number = send_request(node, 1, key)
            self.assertEqual(
                ReplyFailure(1, ForwardFailureKind.NOT_RUN, UNPROVEN, 0.7), node.replies[number]
            )
            self.assertEqual(([], []), (node.all_sends, limits.admit_calls))
            self.assertEqual([("none", "unproven")], tenant_counts(node))

    def test_over_the_limit_the_reply_contains_the_retry_time(self) -> None:
        limits = FakeLimits(OVER_LIMIT)
        node = node_with(KIOSK, limits=limits)
        number = send_request(node, 1, SECRET)
        self.assertEqual(
            ReplyFailure(1, ForwardFailureKind.OVER_LIMIT, OVER_LIMIT.reason, 1.25),
            node.replies[number],
        )
        self.assertEqual(
            ([], [("kiosk", 1)], []), (node.all_sends, limits.admit_calls, limits.given_back)
        )

    def test_missing_routes_and_late_requests_are_rejected_before_the_key_is_checked(self) -> None:
        proof = FakeProof()
        proof.proven = False
        limits = FakeLimits()
        node = node_with(KIOSK, limits=limits, proof=proof)
        self.assertIs(
            ForwardFailureKind.NO_ROUTE,
            reply_to(node, send_request(node, 1, "other", "/none/")).kind,
        )
        node.machine._forwarding.lag.measured_seconds = 3.0
        reply = reply_to(node, send_request(node, 2, "other"))
        self.assertEqual("the request's deadline passed before it was read", reply.reason)
        self.assertEqual([], limits.admit_calls)

    def test_without_a_configuration_no_key_is_rejected_as_unknown(self) -> None:
        node = OneNode()
        node.start(None)
        reply = reply_to(node, send_request(node, 1, SECRET))
        self.assertEqual(
            ReplyFailure(1, ForwardFailureKind.NOT_RUN, "no configuration yet", 0.3), reply
        )


class GivenBackTest(TestCase):
    def test_a_request_without_replicas_is_given_back_once(self) -> None:
        limits = FakeLimits()
        node = node_with(KIOSK, replicas=0, limits=limits)
        node.advance(10.0)
        number = send_request(node, 1, SECRET)
        node.advance(10.0)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply_to(node, number).kind)
        self.assertEqual([("kiosk", 1)], limits.given_back)

    def test_a_request_that_replicas_did_not_run_is_given_back_once(self) -> None:
        limits = FakeLimits()
        node = node_with(KIOSK, limits=limits)
        number = send_request(node, 1, SECRET)
        while number not in node.replies:
            for send in list(node.sends):
                node.answer(send, 503, signature=None, not_run=True)
            node.advance(0.01)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply_to(node, number).kind)
        node.leave(number)
        node.advance(10.0)
        self.assertEqual([("kiosk", 1)], limits.given_back)
        self.assertIn(("other", "given_back"), tenant_counts(node))

    def test_a_request_that_may_have_run_is_not_given_back(self) -> None:
        for end in ("answer", "leave", "fail", "time"):
            limits = FakeLimits()
            node = node_with(KIOSK, replicas=1, limits=limits)
            number = send_request(node, 1, SECRET)
            if end == "answer":
                node.answer(node.sends[0])
            elif end == "leave":
                node.leave(number)
            elif end == "fail":
                node.fail(node.sends[0], SendFailureKind.BROKEN)
            node.advance(10.0)
            self.assertEqual(([("kiosk", 1)], []), (limits.admit_calls, limits.given_back), end)

    def test_a_request_with_several_attempts_counts_once(self) -> None:
        limits = FakeLimits()
        node = node_with(KIOSK, limits=limits)
        send_request(node, 1, SECRET)
        node.advance(0.3)
        self.assertEqual(2, len(node.all_sends))
        self.assertEqual([("kiosk", 1)], limits.admit_calls)


class KeySecrecyTest(TestCase):
    def test_no_action_contains_the_key_and_log_lines_name_the_tenant(self) -> None:
        proof = FakeProof()
        limits = FakeLimits()
        node = node_with(KIOSK, limits=limits, proof=proof)
        send_request(node, 1, SECRET)
        node.answer(node.sends[0])
        send_request(node, 2, SECRET)
        node.leave(2)
        send_request(node, 3, SECRET)
        node.advance(10.0)
        limits.answer = OVER_LIMIT
        send_request(node, 4, SECRET)
        proof.proven = False
        send_request(node, 5, SECRET)
        send_request(node, 6, SECRET, "/none/")
        proof.proven = True
        limits.answer = ADMITTED
        node.machine._forwarding.lag.measured_seconds = 3.0
        send_request(node, 7, SECRET)
        self.assertNotIn(SECRET, output_without_replies(node))
        lines = [dict(line.fields) for line in request_ended_lines(node)]
        logged = {(line["request_id"], line["outcome"], line.get("tenant", "")) for line in lines}
        self.assertEqual(
            {
                ("id-2", "caller_left", "kiosk"),
                ("id-3", "timed_out", "kiosk"),
                ("id-4", "over_limit", "kiosk"),
                ("id-5", "refused", ""),
                ("id-6", "no_route", ""),
                ("id-7", "refused", ""),
            },
            logged,
        )

    def test_the_logged_digest_covers_the_tenant_but_not_the_key(self) -> None:
        node = node_with(KIOSK, limits=FakeLimits(OVER_LIMIT))
        send_request(node, 1, SECRET)
        send_request(node, 2, "other")
        digests = [dict(line.fields)["digest"] for line in request_ended_lines(node)]
        self.assertEqual(
            [compute_identity(bare(), "kiosk").hex(), compute_identity(bare()).hex()], digests
        )

    def test_without_a_configuration_the_digest_does_not_cover_the_key(self) -> None:
        node = OneNode()
        node.start(None)
        send_request(node, 1, SECRET)
        self.assertEqual(
            compute_identity(bare()).hex(), dict(request_ended_lines(node)[0].fields)["digest"]
        )


class WithoutTenantsTest(TestCase):
    def test_all_headers_are_forwarded_unchanged_and_no_check_runs(self) -> None:
        limits, proof = FakeLimits(), FakeProof()
        proof.proven = False
        for key, forged in (("", ""), (SECRET, ""), ("", "mine"), (SECRET, "mine")):
            node = OneNode()
            node.start(table(4, single_route(priority=2)), replica("r0", "s"))
            node.machine._forwarding.admission.limits = limits
            node.machine._forwarding.admission.proof = proof
            number = send_request(node, 1, key, forged_tenant=forged)
            (send,) = node.sends
            headers = BARE_HEADERS
            if key:
                headers += ((b"Authorization", b"Bearer " + key.encode()),)
            if forged:
                headers += ((b"Tenant", forged.encode()),)
            request = OpaqueRequest(b"GET", b"/one/x", headers)
            self.assertEqual((request, ""), (send.request, send.tenant))
            self.assertEqual(2, open_route(node, 1).priority)
            self.assertEqual(compute_identity(request), open_exchange(node, 1).identity)
            node.answer(send, body=b"body")
            self.assertEqual(b"body", node.replies[number].answer.body)
            self.assertEqual([], tenant_counts(node))
        self.assertEqual([], limits.admit_calls)


def reply_to(node: OneNode, number: int) -> ReplyFailure:
    reply = node.replies[number]
    assert isinstance(reply, ReplyFailure), reply
    return reply


def open_exchange(node: OneNode, number: int) -> object:
    exchange = node.machine._forwarding._settlement.get(number)
    assert exchange is not None
    return exchange


def open_route(node: OneNode, number: int) -> object:
    return open_exchange(node, number).route
