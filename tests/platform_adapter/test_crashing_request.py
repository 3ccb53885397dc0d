"""A request that ends the replicas that run it, over real sockets: ends, refusals and the key."""

import asyncio

import orjson
from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK
from tests.platform_adapter.stand_in_platform import StandInReplica, read_request
from tests.platform_adapter.test_node import Platform, play, request
from wingquay.forwarding.crashing.suspects import CRASHES_BEFORE_HOLD, HOLD_SECONDS
from wingquay.platform.standins.store import StandInStore

CRASHING = "/one/crash"
REPLICAS = 5


class EndingReplica(StandInReplica):
    """Closes its port and all connections once it begins to run one target."""

    def __init__(self, replica_id: str) -> None:
        super().__init__(replica_id, "single", b"bytes")
        self.has_ended = False
        self._writers: list[asyncio.StreamWriter] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        while True:
            try:
                _, target, headers, _ = await read_request(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            if target == CRASHING:
                self.has_ended = True
                self._server.close()
                for other in self._writers:
                    other.close()
                return
            request_id = headers["request-id"]
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Stamp: {self.replica_id}.{request_id}\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n"
            )
            writer.write(head.encode() + self.body)


class CrashingRequestTest(TestCase):
    def test_it_ends_three_replicas_and_is_refused_by_this_node_and_the_next(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                replicas = await with_ending_replicas(platform.store)
                await platform.configure()
                heads = [await status_of(platform, CRASHING) for _ in range(6)]
                self.assertEqual(
                    CRASHES_BEFORE_HOLD, sum(replica.has_ended for replica in replicas)
                )
                self.assertIn("HTTP/1.1 503", heads[-1])
                self.assertIn("retry-after: ", heads[-1].lower())
                self.assertIn("HTTP/1.1 200", await status_of(platform, "/one/other"))
                value = await held_value(platform.store)
                self.assertEqual(
                    (CRASHING, LOOPBACK, "n"), (value["target"], value["caller"], value["found_by"])
                )
                self.assertAlmostEqual(HOLD_SECONDS, float(str(value["seconds"])), delta=60.0)

        play(test())

    def test_a_node_that_reads_the_key_of_another_one_sends_nothing(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                replicas = await with_ending_replicas(platform.store)
                await platform.configure()
                for _ in range(6):
                    await status_of(platform, CRASHING)
                await held_value(platform.store)
                (key,) = held_keys(platform.store)
                value = platform.store.contents.items[key].value
                async with Platform() as later:
                    fresh = await with_ending_replicas(later.store)
                    later.store.put(key, value)
                    await later.configure()
                    self.assertIn("HTTP/1.1 503", await status_of(later, CRASHING))
                    self.assertEqual(0, sum(replica.has_ended for replica in fresh))
                self.assertEqual(
                    CRASHES_BEFORE_HOLD, sum(replica.has_ended for replica in replicas)
                )

        play(test())


async def with_ending_replicas(store: StandInStore) -> list[EndingReplica]:
    """Start replicas of the single service that may end, in place of the usual one."""
    del store.contents.items["servers/i-2"]
    replicas = [EndingReplica(f"e-{number}") for number in range(REPLICAS)]
    for replica in replicas:
        await replica.start(store)
    return replicas


async def status_of(platform: Platform, path: str) -> str:
    head, _ = await platform.exchange(request(path))
    return head


def held_keys(store: StandInStore) -> list[str]:
    return [key for key in store.contents.items if key.startswith("wingquay/held/")]


async def held_value(store: StandInStore) -> dict[str, object]:
    """Wait until the node has written the key of what it holds; return its value."""
    while not held_keys(store):
        await asyncio.sleep(0.01)
    (key,) = held_keys(store)
    document: dict[str, object] = orjson.loads(store.contents.items[key].value)
    return document
