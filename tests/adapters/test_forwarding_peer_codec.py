"""The messages between forwarding nodes, as bytes and over a real link."""

import asyncio
import zlib

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK, run
from wingquay.adapters import forwarding_peer_codec as codec
from wingquay.adapters.deferred_peer_link import DeferredPeerLink
from wingquay.adapters.peer_codec_error import PeerCodecFailureKind
from wingquay.adapters.proto import peer_pb2
from wingquay.model.failure import Failure
from wingquay.ports.crash_messages import CrashReport, ReportedCrash
from wingquay.ports.delegation import (
    AllowAttempts,
    CancelDelegation,
    DelegatedAnswer,
    DelegatedRequest,
    PrewarmMessage,
)
from wingquay.ports.forwarding import OpaqueRequest
from wingquay.ports.machine import Event
from wingquay.ports.peer import ConfigurationFetch
from wingquay.ports.peer_link import (
    NodeIdentity,
    OpenPeerLink,
    PeerLinkOpened,
    PeerMessage,
    PeerReceived,
    SendToPeer,
)
from wingquay.ports.proof_messages import ProofReply, ProofRequest
from wingquay.ports.reach_news import ReachabilityReport
from wingquay.ports.store import StoredValue
from wingquay.ports.store_update import StoreUpdate

SENDER = NodeIdentity("n-1", "", "a", "127.0.0.1", 7)
NUMBERS = st.integers(0, 2**63)
SECONDS = st.floats(0.0, 1e6)
HEADERS = st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9)), max_size=4).map(tuple)
REQUESTS = st.builds(
    DelegatedRequest,
    delegation_id=NUMBERS,
    request_id=st.text(max_size=9),
    request=st.builds(
        OpaqueRequest,
        st.binary(max_size=9),
        st.binary(max_size=9),
        HEADERS,
        st.binary(max_size=9),
    ),
    route_name=st.text(max_size=9),
    shards=st.lists(st.text(max_size=9), max_size=5).map(tuple),
    merged_records=st.integers(0, 2**31),
    priority=st.integers(0, 2**31),
    objective_seconds=SECONDS,
    cutoff_seconds=SECONDS,
    remaining_seconds=SECONDS,
    is_group_share=st.booleans(),
    tenant=st.text(max_size=9),
)
ANSWERS = st.lists(st.tuples(st.integers(0, 2**31), st.text(max_size=9)), max_size=5).flatmap(
    lambda pairs: st.builds(
        DelegatedAnswer,
        NUMBERS,
        st.just(tuple(place for place, _ in pairs)),
        st.just(tuple(text for _, text in pairs)),
        st.binary(max_size=40),
        st.booleans(),
        st.lists(st.integers(0, 2**31), max_size=3).map(tuple),
        st.just(tuple(place for place, _ in pairs)),
        st.just(tuple(len(text) for _, text in pairs)),
        SECONDS,
        st.lists(st.integers(0, 2**31), max_size=3).map(tuple),
    )
)
CRASH_NEWS = st.builds(
    CrashReport,
    st.binary(max_size=16),
    st.lists(
        st.builds(ReportedCrash, st.text(max_size=9), st.text(max_size=9), SECONDS, SECONDS),
        max_size=3,
    ).map(tuple),
    SECONDS,
    st.booleans(),
)
ITEMS = st.builds(
    StoredValue, st.text(max_size=9), st.binary(max_size=9), NUMBERS, NUMBERS, NUMBERS
)
NEWS = st.builds(
    StoreUpdate,
    NUMBERS,
    NUMBERS,
    st.lists(ITEMS, max_size=3).map(tuple),
    st.lists(st.text(max_size=9), max_size=3).map(tuple),
    st.booleans(),
    st.booleans(),
)
ZONES = st.lists(st.text(max_size=9), max_size=4).map(tuple)
BY_KIND: dict[type[PeerMessage], st.SearchStrategy[PeerMessage]] = {
    DelegatedRequest: REQUESTS,
    DelegatedAnswer: ANSWERS,
    StoreUpdate: NEWS,
    CrashReport: CRASH_NEWS,
    AllowAttempts: st.builds(AllowAttempts, NUMBERS, st.integers(0, 2**31)),
    CancelDelegation: st.builds(CancelDelegation, NUMBERS),
    ProofRequest: st.builds(ProofRequest, NUMBERS),
    ProofReply: st.builds(ProofReply, NUMBERS, SECONDS, NUMBERS),
    PrewarmMessage: st.just(PrewarmMessage()),
    ReachabilityReport: st.builds(ReachabilityReport, ZONES, ZONES, st.booleans()),
}
MESSAGES = st.one_of(list(BY_KIND.values()))
PORTS = (
    "wingquay.ports.crash_messages",
    "wingquay.ports.delegation",
    "wingquay.ports.proof_messages",
    "wingquay.ports.reach_news",
    "wingquay.ports.store_update",
)
"""Their messages are those between forwarding nodes."""


class CodecTest(TestCase):
    @given(MESSAGES)
    def test_what_is_written_is_read(self, message: object) -> None:
        self.assertEqual((SENDER, message), codec.decode(codec.encode(message, SENDER)))

    @given(st.binary(max_size=60))
    def test_any_bytes_are_read_or_refused(self, data: bytes) -> None:
        codec.decode(data)

    def test_every_message_of_the_ports_is_drawn(self) -> None:
        # A decorator makes a class anew, and the one before stays a subclass until it is collected.
        names = {kind.__name__ for kind in PeerMessage.__subclasses__() if kind.__module__ in PORTS}
        self.assertEqual({kind.__name__ for kind in BY_KIND}, names)

    def test_messages_of_another_kind_are_refused(self) -> None:
        self.assertRaises(ValueError, codec.encode, ConfigurationFetch(1), SENDER)
        envelope = peer_pb2.Envelope(sender=b"")
        envelope.configuration_fetch.known_revision = 1
        failure = codec.decode(envelope.SerializeToString())
        assert isinstance(failure, Failure)
        self.assertEqual(PeerCodecFailureKind.UNKNOWN_MESSAGE, failure.kind)

    def test_an_answer_that_gives_back_shards_without_their_arrivals_is_refused(self) -> None:
        envelope = peer_pb2.Envelope(sender=b"")
        envelope.delegated_answer.given_back.append(1)
        failure = codec.decode(envelope.SerializeToString())
        assert isinstance(failure, Failure)
        self.assertEqual(PeerCodecFailureKind.MALFORMED, failure.kind)

    def test_an_answer_with_more_shards_than_signatures_is_refused(self) -> None:
        envelope = peer_pb2.Envelope(sender=b"")
        envelope.delegated_answer.shards.append(1)
        failure = codec.decode(envelope.SerializeToString())
        assert isinstance(failure, Failure)
        self.assertEqual(PeerCodecFailureKind.MALFORMED, failure.kind)


class LargeNewsTest(TestCase):
    """Whoever has read the store tells some ten nodes over one link."""

    def setUp(self) -> None:
        super().setUp()
        routes = b",".join(b'{"name":"r%d","service":"s","timeoutMs":900}' % i for i in range(2000))
        self.configuration = StoreUpdate(1, 9, (StoredValue("configuration", routes, 9),))
        entry = (
            b'{"service":"s%d","address":"10.1.2.%d:8080","zone":"a","version":"v1","capacity":2}'
        )
        entries = [StoredValue(f"servers/i-{n:08x}", entry % (n, n), n) for n in range(400)]
        self.replicas = StoreUpdate(1, 400, tuple(entries), ("gone",))

    def test_they_are_a_fraction_of_their_size_on_the_wire(self) -> None:
        for news in (self.configuration, self.replicas):
            data = codec.encode(news, SENDER)
            plain = sum(len(item.key) + len(item.value) for item in news.changed)
            self.assertLess(len(data), plain / 4)
            self.assertEqual((SENDER, news), codec.decode(data))

    def packed(self) -> peer_pb2.Envelope:
        return peer_pb2.Envelope.FromString(codec.encode(self.replicas, SENDER))

    def assert_refused(self, envelope: peer_pb2.Envelope) -> None:
        failure = codec.decode(envelope.SerializeToString())
        assert isinstance(failure, Failure)
        self.assertEqual(PeerCodecFailureKind.MALFORMED, failure.kind)

    def test_news_of_another_size_than_they_say_are_refused(self) -> None:
        for size in (10, self.packed().packed_store_news.plain_bytes + 1, 2**31):
            envelope = self.packed()
            envelope.packed_store_news.plain_bytes = size
            self.assert_refused(envelope)

    def test_news_that_are_not_packed_as_they_say_are_refused(self) -> None:
        for packed in (b"plain", zlib.compress(b"\xff" * 9)):
            envelope = self.packed()
            envelope.packed_store_news.packed = packed
            envelope.packed_store_news.plain_bytes = 9
            self.assert_refused(envelope)


class _Node:
    def __init__(self, name: str, port: int = 0) -> None:
        self.events: list[Event] = []
        self.changed = asyncio.Event()
        self.link = DeferredPeerLink(name, "a", LOOPBACK, port, self._take, lambda _: None)

    def _take(self, event: Event) -> None:
        self.events.append(event)
        self.changed.set()

    async def open(self) -> NodeIdentity:
        self.link.open(OpenPeerLink(b"a secret of the cluster that is long enough"))
        event = await self.next(PeerLinkOpened)
        assert isinstance(event, PeerLinkOpened)
        return event.identity

    async def next(self, kind: type[Event]) -> Event:
        async with asyncio.timeout(20.0):
            while True:
                found = next((event for event in self.events if isinstance(event, kind)), None)
                if found is not None:
                    return found
                self.changed.clear()
                await self.changed.wait()


class DeferredLinkTest(TestCase):
    def test_a_message_reaches_another_node(self) -> None:
        async def scenario() -> None:
            here, there = _Node("here"), _Node("there")
            identity = await here.open()
            other = await there.open()
            here.link.send(SendToPeer(other, CancelDelegation(3)))
            received = await there.next(PeerReceived)
            self.assertEqual(PeerReceived(identity, CancelDelegation(3)), received)
            await here.link.close()
            await there.link.close()

        run(scenario())

    def test_a_node_is_reached_by_what_was_known_of_its_last_life(self) -> None:
        async def scenario() -> None:
            here, there = _Node("here"), _Node("there")
            identity = await here.open()
            last_life = await there.open()
            await there.link.close()
            again = _Node("there", last_life.port)
            self.assertEqual(last_life, await again.open())
            here.link.send(SendToPeer(last_life, CancelDelegation(3)))
            received = await again.next(PeerReceived)
            self.assertEqual(PeerReceived(identity, CancelDelegation(3)), received)
            await here.link.close()
            await again.link.close()

        run(scenario())

    def test_an_address_that_is_taken_is_said(self) -> None:
        async def scenario() -> None:
            here = _Node("here")
            identity = await here.open()
            lines: list[object] = []
            second = DeferredPeerLink(
                "second", "a", LOOPBACK, identity.port, lambda _: None, lines.append
            )
            second.open(OpenPeerLink(b"a secret of the cluster that is long enough"))
            async with asyncio.timeout(20.0):
                while not lines:
                    await asyncio.sleep(0.01)
            self.assertIn("peer_link_unavailable", str(lines[0]))
            second.send(SendToPeer(identity, CancelDelegation(3)))
            await second.close()
            await here.link.close()

        run(scenario())
