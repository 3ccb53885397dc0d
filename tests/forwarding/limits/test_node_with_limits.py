"""Tenant limits at a complete node, from the caller's request to the reply."""

from testtools import TestCase

from tests.forwarding.known_callers import SECRET, send_request, with_tenants
from tests.forwarding.linked_nodes import OTHERS, OWN, join
from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import ForwardFailureKind, ReplyFailure
from wingquay.ports.limit_messages import (
    LimitAcknowledgement,
    LimitReply,
    LimitReport,
    LimitRequest,
    LimitVerdict,
)
from wingquay.ports.peer_link import (
    NodeIdentity,
    PeerLinkOpened,
    PeerMessage,
    PeerReceived,
    SendToPeer,
)

CONFIGURATION = table(4, single_route())


def limited(name: str, rate: float = 10.0) -> Tenant:
    return Tenant(name, (SECRET,), None, rate, 0.0)


def linked(tenant: Tenant) -> OneNode:
    """Return a node in a group of three, with an open link and one tenant."""
    node = OneNode()
    records = (replica("r0", "s"), replica("r1", "s"))
    node.start(with_tenants(CONFIGURATION, tenant), *records)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS)
    return node


def sent(node: OneNode, kind: type[PeerMessage]) -> list[tuple[NodeIdentity, PeerMessage]]:
    found = [action for action in node.actions if isinstance(action, SendToPeer)]
    return [(action.to, action.message) for action in found if isinstance(action.message, kind)]


def node_with_pending_query() -> tuple[OneNode, NodeIdentity, LimitRequest]:
    """Return a node that has queried another one about request 1 of a tenant."""
    for number in range(20):
        node = linked(limited(f"tenant-{number}"))
        send_request(node, 1, SECRET)
        asks = sent(node, LimitRequest)
        if asks:
            owner, message = asks[0]
            assert isinstance(message, LimitRequest)
            return node, owner, message
    raise AssertionError("this node owns all tenants")


class NodeWithLimitsTest(TestCase):
    def test_a_request_is_sent_once_the_owner_permits_it(self) -> None:
        node, owner, message = node_with_pending_query()
        self.assertEqual([], node.sends)
        node.emit(PeerReceived(owner, LimitReply(message.ask_id, LimitVerdict.GRANTED)))
        self.assertEqual(1, len(node.sends))

    def test_beyond_the_limit_it_is_refused_with_the_owners_retry_time(self) -> None:
        node, owner, message = node_with_pending_query()
        node.emit(PeerReceived(owner, LimitReply(message.ask_id, LimitVerdict.EXCEEDED, 2.0)))
        reply = node.replies[1]
        assert isinstance(reply, ReplyFailure) and reply.retry_after_seconds is not None
        self.assertEqual(ForwardFailureKind.OVER_LIMIT, reply.kind)
        self.assertTrue(2.0 <= reply.retry_after_seconds <= 2.2, reply)
        self.assertEqual([], node.sends)

    def test_without_a_reply_it_is_refused_as_not_run(self) -> None:
        node, _, _ = node_with_pending_query()
        node.advance(0.5)
        reply = node.replies[1]
        assert isinstance(reply, ReplyFailure)
        self.assertEqual(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([], node.sends)

    def test_a_permit_after_the_refusal_is_given_back(self) -> None:
        node, owner, message = node_with_pending_query()
        node.advance(0.5)
        node.actions.clear()
        node.emit(PeerReceived(owner, LimitReply(message.ask_id, LimitVerdict.GRANTED)))
        node.advance(0.1)
        reports = [item for to, item in sent(node, LimitReport) if to == owner]
        counts = [count for item in reports for count in item.counts]  # type: ignore[attr-defined]
        self.assertEqual([-1], counts)
        self.assertEqual([], node.sends)

    def test_an_owner_permits_its_own_requests_and_replies_to_others(self) -> None:
        for number in range(20):
            name = f"tenant-{number}"
            node = linked(limited(name))
            node.machine._presence._listed_until = float("inf")  # its key stays in the store
            node.advance(12.0)
            node.actions.clear()
            node.emit(PeerReceived(OTHERS[0], LimitRequest(7, name)))
            ((to, answer),) = sent(node, LimitReply)
            assert isinstance(answer, LimitReply)
            self.assertEqual((OTHERS[0], 7), (to, answer.ask_id))
            if answer.verdict is LimitVerdict.GRANTED:
                send_request(node, 1, SECRET)
                if len(node.sends) == 1:
                    return
        self.fail("this node owns no tenant")

    def test_a_request_before_the_link_opens_is_decided_afterwards(self) -> None:
        node = OneNode()
        node.start(with_tenants(CONFIGURATION, limited("t")), replica("r0", "s"))
        send_request(node, 1, SECRET)
        self.assertEqual(([], {}), (node.sends, node.replies))
        node.emit(PeerLinkOpened(OWN))
        reply = node.replies[1]
        assert isinstance(reply, ReplyFailure)  # a new owner without a spare permits nothing
        self.assertEqual(ForwardFailureKind.NOT_RUN, reply.kind)

    def test_without_limits_no_message_is_sent_and_no_module_loaded(self) -> None:
        node = linked(limited("free", rate=0.0))
        send_request(node, 1, SECRET)
        self.assertEqual(1, len(node.all_sends))
        node.advance(6.0)
        kinds = (LimitRequest, LimitReport, LimitAcknowledgement)
        self.assertEqual([], [message for kind in kinds for message in sent(node, kind)])
        self.assertIsNone(node.machine._limits._distributed)
