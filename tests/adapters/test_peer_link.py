import asyncio
import contextlib
import dataclasses

import testtools

from wingquay.adapters import peer_codec
from wingquay.adapters.peer_channel import PeerLinkSettings
from wingquay.adapters.peer_link import PeerLink
from wingquay.ports.peer import (
    CancelSubRequests,
    Gossip,
    NodeIdentity,
    NodeListRequest,
    PeerLinkBroken,
    PeerReceived,
    Ping,
    SendToPeer,
)

KEY = b"a key of the cluster that is long enough"
PATIENCE_SECONDS = 20.0


class Node:
    def __init__(self, node_id, key=KEY, settings=None, port=0):
        identity = NodeIdentity(node_id, "ro-nord", "dej", "127.0.0.1", port)
        self.events, self.logs = [], []
        self.changed = asyncio.Event()
        self.link = PeerLink(identity, key, peer_codec, self.take, self.logs.append, settings)

    def take(self, event):
        self.events.append(event)
        self.changed.set()

    async def wait_for(self, condition):
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def wait_for_events(self, count):
        await self.wait_for(lambda: len(self.events) >= count)
        return self.events[:count]

    def send(self, other, message):
        self.link.perform(SendToPeer(other.link.identity, message))

    def log_names(self):
        return [entry.message for entry in self.logs]


@contextlib.asynccontextmanager
async def running(*nodes):
    for node in nodes:
        await node.link.start()
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.link.close()


def text(size):
    return CancelSubRequests(("x" * size,))


async def until(condition):
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


class PeerLinkTest(testtools.TestCase):
    def run_async(self, scenario):
        asyncio.run(asyncio.wait_for(scenario(), 3 * PATIENCE_SECONDS))

    def test_messages_of_one_iteration_arrive_in_order_in_one_write(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, NodeListRequest())
                await b.wait_for_events(1)
                writes_before = a.link.counters.writes
                messages = [text(size) for size in range(50)]
                for message in messages:
                    a.send(b, message)
                received = await b.wait_for_events(51)
                self.assertEqual(
                    [PeerReceived(a.link.identity, message) for message in messages], received[1:]
                )
                self.assertEqual(1, a.link.counters.writes - writes_before)

        self.run_async(scenario)

    def test_answers_use_the_same_connection(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, text(1))
                await b.wait_for_events(1)
                b.send(a, text(2))
                self.assertEqual(
                    [PeerReceived(b.link.identity, text(2))], await a.wait_for_events(1)
                )
                self.assertEqual(1, len(b.link._connections))

        self.run_async(scenario)

    def test_a_message_for_several_nodes_is_encoded_once(self):
        async def scenario():
            async with running(Node("a"), Node("b"), Node("c")) as (a, b, c):
                encoded = []

                class CountingCodec:
                    decode = staticmethod(peer_codec.decode)

                    @staticmethod
                    def encode(message, sender):
                        encoded.append(message)
                        return peer_codec.encode(message, sender)

                a.link._codec = CountingCodec
                first, second = text(1), text(2)
                for message in (first, second):
                    for other in (b, c):
                        a.send(other, message)
                for other in (b, c):
                    received = await other.wait_for_events(2)
                    self.assertEqual([first, second], [event.message for event in received])
                self.assertEqual([first, second], encoded)

        self.run_async(scenario)

    def test_simultaneous_dials_lose_nothing(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, text(1))
                b.send(a, text(2))
                self.assertEqual(
                    [PeerReceived(a.link.identity, text(1))], await b.wait_for_events(1)
                )
                self.assertEqual(
                    [PeerReceived(b.link.identity, text(2))], await a.wait_for_events(1)
                )
                await until(lambda: len(a.link._connections) == len(b.link._connections) == 1)

        self.run_async(scenario)

    def test_membership_messages_travel_as_datagrams(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                ping = Ping(7, Gossip(3))
                a.send(b, ping)
                self.assertEqual([PeerReceived(a.link.identity, ping)], await b.wait_for_events(1))
                self.assertEqual(0, a.link.counters.writes)

        self.run_async(scenario)

    def test_node_without_the_key_is_refused_and_logged(self):
        async def scenario():
            stranger = Node("stranger", key=b"another key, also long enough")
            async with running(Node("a"), stranger) as (a, stranger):
                stranger.send(a, Ping(1, Gossip(0)))
                stranger.send(a, text(1))
                (broken,) = await stranger.wait_for_events(1)
                self.assertIsInstance(broken, PeerLinkBroken)
                await until(lambda: a.link.counters.refused >= 1)
                self.assertEqual([], a.events)
                self.assertIn("peer_refused", a.log_names())

        self.run_async(scenario)

    def test_failed_dial_is_told(self):
        async def scenario():
            async with running(Node("a")) as (a,):
                gone = Node("gone")
                await gone.link.start()
                await gone.link.close()
                a.send(gone, text(1))
                (broken,) = await a.wait_for_events(1)
                self.assertEqual("gone", broken.node_id)

        self.run_async(scenario)

    def test_restarted_node_is_not_taken_for_its_predecessor(self):
        async def scenario():
            async with running(Node("a"), Node("b-2")) as (a, b):
                before = dataclasses.replace(b.link.identity, node_id="b-1")
                a.link.perform(SendToPeer(before, text(1)))
                (broken,) = await a.wait_for_events(1)
                self.assertEqual("b-1", broken.node_id)
                self.assertEqual([], b.events)

        self.run_async(scenario)

    def test_silent_listener_is_given_up(self):
        async def scenario():
            settings = PeerLinkSettings(dial_timeout_seconds=0.05)
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            async with running(Node("a", settings=settings)) as (a,):
                silent = NodeIdentity("silent", "ro-nord", "dej", "127.0.0.1", port)
                a.link.perform(SendToPeer(silent, text(1)))
                (broken,) = await a.wait_for_events(1)
                self.assertEqual(PeerLinkBroken("silent", "dial timed out", was_open=False), broken)
            server.close()

        self.run_async(scenario)

    def test_full_write_buffer_breaks_the_link_instead_of_growing(self):
        async def scenario():
            settings = PeerLinkSettings(write_buffer_limit_bytes=100_000)
            async with running(Node("a", settings=settings), Node("b")) as (a, b):
                for _ in range(3):
                    a.send(b, text(60_000))
                (broken,) = await a.wait_for_events(1)
                self.assertIn("the limit is 100000", broken.reason)

        self.run_async(scenario)

    def test_peer_that_does_not_read_breaks_the_link(self):
        async def scenario():
            settings = PeerLinkSettings(write_buffer_limit_bytes=100_000)
            async with running(Node("a", settings=settings), Node("b")) as (a, b):
                a.send(b, text(1))
                await b.wait_for_events(1)
                for connection in b.link._connections:
                    connection._transport.pause_reading()
                for _ in range(2_000):
                    a.send(b, text(50_000))
                    await asyncio.sleep(0)
                    if a.events:
                        break
                self.assertIn("the limit is 100000", a.events[0].reason)

        self.run_async(scenario)

    def test_strangers_bytes_do_no_harm(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                host, port = b.link.identity.host, b.link.identity.port
                loop = asyncio.get_running_loop()
                datagrams, _ = await loop.create_datagram_endpoint(
                    asyncio.DatagramProtocol, remote_addr=(host, port)
                )
                for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\4junk", b"\xff" * 5000):
                    datagrams.sendto(data)
                    reader, writer = await asyncio.open_connection(host, port)
                    writer.write(data)
                    with contextlib.suppress(ConnectionError):
                        await reader.read()
                    writer.close()
                datagrams.close()
                await until(lambda: b.link.counters.refused >= 4)
                a.send(b, text(1))
                self.assertEqual(text(1), (await b.wait_for_events(1))[0].message)

        self.run_async(scenario)

    def test_break_is_told_on_both_sides(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, text(1))
                await b.wait_for_events(1)
                for connection in list(a.link._connections):
                    connection.abort("test")
                await b.wait_for_events(2)
                self.assertEqual([PeerLinkBroken("b", "test")], await a.wait_for_events(1))
                self.assertEqual("a", b.events[1].node_id)
                a.send(b, text(2))
                self.assertEqual(text(2), (await b.wait_for_events(3))[2].message)

        self.run_async(scenario)

    def test_close_sends_what_is_buffered(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, text(1))
                await b.wait_for_events(1)
                a.send(b, text(4_000_000))
                b.send(a, text(1_000_000))
                await a.link.close()
                received = await b.wait_for_events(2)
                self.assertEqual(text(4_000_000), received[1].message)

        self.run_async(scenario)

    def test_message_without_wire_form_breaks_the_link(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, CancelSubRequests(("\ud800",)))
                (broken,) = await a.wait_for_events(1)
                self.assertEqual("b", broken.node_id)
                self.assertIn("peer_message_unsendable", a.log_names())

        self.run_async(scenario)

    def test_peer_cannot_speak_as_another_on_its_connection(self):
        async def scenario():
            async with running(Node("a"), Node("b")) as (a, b):
                a.send(b, text(1))
                await b.wait_for_events(1)
                a.link.identity = dataclasses.replace(a.link.identity, node_id="c")
                a.send(b, text(2))
                await until(lambda: b.link.counters.refused == 1)
                self.assertEqual(1, len(b.events))

        self.run_async(scenario)
