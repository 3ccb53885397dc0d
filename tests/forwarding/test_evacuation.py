"""Replicas of an evacuated zone receive no requests until the evacuation ends."""

from testtools import TestCase

from tests.forwarding.one_node import (
    EVACUATION_PREFIX,
    OneNode,
    replica,
    sharded_route,
    single_route,
    table,
)
from wingquay.ports.delegation import DelegatedAnswer, DelegatedRequest
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    OpaqueRequest,
    ReplyFailure,
    SendFailureKind,
)
from wingquay.ports.peer_link import NodeIdentity, PeerLinkOpened, PeerReceived, SendToPeer
from wingquay.ports.store import StoredValue
from wingquay.ports.store_update import StoreUpdate

KEY = EVACUATION_PREFIX + "b"
EVACUATED = StoredValue(KEY, b"{}", 9)
OWN = NodeIdentity("node-1-a", "", "a", "10.0.1.1", 7)
OTHER = NodeIdentity("node-2-a", "", "a", "10.0.1.2", 7)


def two_zones(values: tuple[StoredValue, ...] = ()) -> OneNode:
    node = OneNode()
    records = [replica(f"{zone}{number}", "s", zone) for zone in "ab" for number in range(3)]
    node.start(table(1, single_route()), *records, values=values)
    return node


def zones_of_requests(node: OneNode, requests: int = 40) -> set[str]:
    """Return the zones to which requests are sent while the local replicas are busy."""
    before = len(node.all_sends)
    for _ in range(requests):
        node.request()
    zones = {send.replica.zone for send in node.all_sends[before:]}
    while node.sends:
        node.answer(node.sends[0])
    return zones


class EvacuationTest(TestCase):
    def test_no_request_is_sent_to_an_evacuated_zone(self) -> None:
        node = two_zones()
        self.assertEqual({"a", "b"}, zones_of_requests(node))
        node.change(values=(EVACUATED,))
        self.assertEqual({"a"}, zones_of_requests(node))
        self.assertEqual([{"zone": "b", "zones": 1}], node.logs("zone_evacuated"))

    def test_requests_resume_when_the_key_is_deleted(self) -> None:
        node = two_zones()
        node.change(values=(EVACUATED,))
        node.change(gone_keys=(KEY,))
        self.assertEqual({"a", "b"}, zones_of_requests(node))
        self.assertEqual(1, len(node.logs("zone_taken_back")))

    def test_an_evacuation_applies_to_a_node_that_starts(self) -> None:
        self.assertEqual({"a"}, zones_of_requests(two_zones((EVACUATED,))))

    def test_requests_resume_when_a_listing_lacks_the_key(self) -> None:
        node = two_zones((EVACUATED,))
        node.machine._contents.apply_listing((), node.now)
        self.assertEqual(frozenset(), node.machine._directory.evacuated_zones)

    def test_hedges_and_retries_avoid_an_evacuated_zone(self) -> None:
        node = OneNode()
        records = [replica("a0", "s"), replica("b0", "s", "b")]
        node.start(table(1, single_route()), *records)
        node.request()
        (first,) = node.sends
        node.change(values=(StoredValue(EVACUATION_PREFIX + "b", b"{}", 9),))
        node.advance(0.3)
        self.assertEqual([first], node.all_sends)
        node.fail(first, SendFailureKind.BROKEN)
        node.advance(0.3)
        self.assertEqual({"a"}, {send.replica.zone for send in node.all_sends})

    def test_a_request_is_refused_if_all_replicas_are_evacuated(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("b0", "s", "b"))
        node.advance(10.0)
        node.change(values=(EVACUATED,))
        number = node.request()
        reply = node.replies[number]
        self.assertIsInstance(reply, ReplyFailure)
        self.assertIs(ForwardFailureKind.NOT_RUN, reply.kind)
        self.assertEqual([], node.all_sends)

    def test_delegated_sub_requests_avoid_an_evacuated_zone(self) -> None:
        node = OneNode(delegate_min_shards=10)
        shards = tuple(f"s{number}" for number in range(12))
        records = [replica(f"{zone}{name}", name, zone) for name in shards for zone in "ab"]
        node.start(table(1, sharded_route(12)), *records)
        node.emit(PeerLinkOpened(OWN))
        node.change(values=(StoredValue(EVACUATION_PREFIX + "a", b"{}", 9), EVACUATED))
        node.change(gone_keys=(EVACUATION_PREFIX + "a",))
        request = OpaqueRequest(b"GET", b"/all/x", ())
        message = DelegatedRequest(1, "id-9", request, "/all/", shards, 3, 1, 0.1, 0.08, 1.0)
        node.emit(PeerReceived(OTHER, message))
        self.assertEqual({"a"}, {send.replica.zone for send in node.all_sends})
        answers = [item.message for item in node.actions if isinstance(item, SendToPeer)]
        taken = [item for item in answers if isinstance(item, DelegatedAnswer)]
        self.assertEqual([()], [item.declined for item in taken])

    def test_an_evacuation_reported_by_another_node_applies(self) -> None:
        node = two_zones()
        revision = node.store_revision
        node.emit(PeerReceived(OTHER, StoreUpdate(revision, revision + 1, (EVACUATED,))))
        self.assertEqual({"a"}, zones_of_requests(node))
