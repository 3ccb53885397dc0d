"""Responses to callers while the configuration is not proven."""

from testtools import TestCase

from tests.forwarding.known_callers import KIOSK, SECRET, send_request, with_tenants
from tests.forwarding.one_node import OneNode, replica, single_route, table
from tests.forwarding.test_configuration_proof import answer_poll, strict_settings
from wingquay.model.routing_table import RoutingTable
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import ForwardFailureKind, ReplyFailure
from wingquay.ports.machine import ProcessResumed, Start
from wingquay.ports.peer_link import NodeIdentity, PeerReceived
from wingquay.ports.peer_snapshot import PeerSnapshot
from wingquay.ports.store import WatchBroken, WatchChanged
from wingquay.ports.store_update import StoreUpdate

PUBLIC = "/open/"
NEW_SECRET = "k-9e11"
OTHER = NodeIdentity("node-2-a", "", "a", "10.0.1.2", 7)
SERVED = "served"


def configuration(version: int, *tenants: Tenant) -> RoutingTable:
    routes = (single_route(), single_route(PUBLIC, is_public=True))
    return with_tenants(table(version, *routes), *tenants)


def started() -> OneNode:
    """Return a node whose listing started at the current time."""
    node = OneNode(follower=strict_settings())
    node.emit(Start())
    node.list_store(configuration(1, KIOSK), replica("r0", "s"), begun_at=node.now)
    return node


class RevocationTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.numbers = iter(range(10_000, 20_000))

    def outcome(self, node: OneNode, key: str = SECRET, path: str = "/one/x") -> str:
        """Return the outcome of a request: served, or the failure kind."""
        number = send_request(node, next(self.numbers), key, path)
        for send in list(node.sends):
            node.answer(send)
        reply = node.replies[number]
        return reply.kind.value if isinstance(reply, ReplyFailure) else SERVED

    def outcomes(self, node: OneNode) -> tuple[str, str, str]:
        """Return the outcomes for a known key, for a newer key and for a public route."""
        return (
            self.outcome(node),
            self.outcome(node, NEW_SECRET),
            self.outcome(node, "", f"{PUBLIC}x"),
        )

    def test_each_failure_ends_only_the_service_of_keys_in_time(self) -> None:
        proven = (SERVED, ForwardFailureKind.UNKNOWN_CALLER.value, SERVED)
        unproven = (ForwardFailureKind.NOT_RUN.value, ForwardFailureKind.NOT_RUN.value, SERVED)
        for name, cause_failure, expected in (
            ("no answer", self.no_answer, unproven),
            ("rejected poll", self.rejected_poll, unproven),
            ("update without proof", self.update_without_proof, unproven),
            ("incomplete answer", self.incomplete_answer, unproven),
            ("late answer of a long poll", self.late_long_poll, unproven),
            ("answered poll", self.answered_poll, proven),
        ):
            node = started()
            node.advance(4.8)
            self.assertEqual(proven, self.outcomes(node), name)
            cause_failure(node)
            node.advance(0.2)
            self.assertEqual(expected, self.outcomes(node), name)

    def no_answer(self, node: OneNode) -> None:
        """Let no message arrive."""

    def rejected_poll(self, node: OneNode) -> None:
        node.emit(WatchBroken(node.last_watch_id, "the store answered 429"))

    def update_without_proof(self, node: OneNode) -> None:
        update = StoreUpdate(node.store_revision, node.store_revision + 1)
        node.emit(PeerReceived(OTHER, update))

    def incomplete_answer(self, node: OneNode) -> None:
        answer_poll(node, 0.0, may_have_more=True)

    def late_long_poll(self, node: OneNode) -> None:
        answer_poll(node, 4.8)

    def answered_poll(self, node: OneNode) -> None:
        answer_poll(node, 1.8)

    def test_suspended_node_serves_no_key_by_its_old_configuration(self) -> None:
        node = started()
        node.now += 5.0
        node.emit(ProcessResumed(5.0))
        node.advance(0.1)
        self.assertEqual("not_run", self.outcome(node))

    def test_node_with_a_neighbours_copy_serves_public_routes_only(self) -> None:
        node = OneNode(follower=strict_settings())
        node.emit(Start())
        values = (node.stored_table(configuration(1, KIOSK)), node.stored(replica("r0", "s")))
        node.emit(PeerSnapshot(values, 1))
        self.assertEqual(("not_run", "not_run", SERVED), self.outcomes(node))
        answer_poll(node, 0.0)
        self.assertEqual((SERVED, "unknown_caller", SERVED), self.outcomes(node))

    def test_retry_after_leads_to_the_next_poll(self) -> None:
        node = started()
        for _ in range(3):
            node.advance(2.0)
            node.emit(WatchBroken(node.last_watch_id, "down"))
        number = send_request(node, next(self.numbers), SECRET)
        reply = node.replies[number]
        assert isinstance(reply, ReplyFailure)
        # The third backoff after a failed poll, plus the answer time.
        self.assertEqual(0.7, round(reply.retry_after_seconds or 0.0, 6))
        node.advance(0.6)
        self.apply_version(node, configuration(2, Tenant("kiosk", (NEW_SECRET,))))
        self.assertEqual(("unknown_caller", SERVED, SERVED), self.outcomes(node))

    def apply_version(self, node: OneNode, version: RoutingTable) -> None:
        """Answer the poll under way with a version."""
        node.store_revision += 1
        item = node.stored_table(version)
        watch_id = node.last_watch_id
        revision = node.store_revision
        node.emit(WatchChanged(watch_id, (item,), (), revision, begun_at=node.now))

    def test_unreadable_configuration_revokes_no_key(self) -> None:
        node = started()
        node.advance(3.0)
        item = node.stored_table(configuration(2))
        node._tables.clear()
        watch_id = node.last_watch_id
        node.emit(WatchChanged(watch_id, (item,), (), 2, begun_at=node.now))
        self.assertEqual(1, len(node.logs("configuration_unreadable")))
        self.assertEqual(SERVED, self.outcome(node))
