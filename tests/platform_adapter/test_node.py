"""A whole node on loopback: settings, store, replicas, callers, readiness, metrics, stop."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK, PATIENT_SECONDS, run
from tests.platform_adapter.stand_in_platform import StandInReplica
from wingquay.adapters.deferred_peer_link import CLOSE_SECONDS
from wingquay.adapters.http_server import HttpServer
from wingquay.adapters.listening import open_listening_socket
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.platform.node import RESPONSE_GRACE_SECONDS, PlatformNode, most_stop_seconds
from wingquay.platform.settings import ListenAddress, PlatformSettings
from wingquay.platform.standins.store import StandInStore
from wingquay.ports.machine import Exit, StopRequested

GRACE_SECONDS = 6.0
SHORT_GRACE_SECONDS = 2.0
"""Idle connections are closed after 1.0 s of a stop, and what is open ends after 1.2 s."""
LIMITS = {
    "maxHeaderBytes": 2000,
    "maxBodyBytes": 5000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def configuration(version: int = 1) -> dict[str, object]:
    shared = {"host": "search.example", "maxAttempts": 2, "routeType": "idempotent"}
    return {
        "version": version,
        "routes": [
            {
                **shared,
                "name": "all",
                "pathPrefix": "/all/",
                "timeoutMs": 2000,
                "targetLatencyMs": 1500,
                "fanoutServices": ["s0", "s1"],
                "topK": 2,
                "minShardRatio": 0.5,
            },
            {
                **shared,
                "name": "one",
                "pathPrefix": "/one/",
                "timeoutMs": 2000,
                "targetLatencyMs": 1500,
                "service": "single",
            },
        ],
        "services": [],
        "limits": LIMITS,
    }


class Platform:
    """The stand-ins and a node that runs against them."""

    def __init__(
        self, seeds: tuple[ListenAddress, ...] = (), grace_seconds: float = GRACE_SECONDS
    ) -> None:
        self._seeds = seeds
        self._grace_seconds = grace_seconds

    async def __aenter__(self) -> "Platform":
        self.store = StandInStore()
        store_port = await self.store.start()
        self.replicas = [
            StandInReplica("i-0", "s0", b"\x01" * 16 + b"\x05" * 16),
            StandInReplica("i-1", "s1", b"\x03" * 16),
            StandInReplica("i-2", "single", b"the replica's bytes"),
        ]
        for replica in self.replicas:
            await replica.start(self.store)
        self.listening = open_listening_socket(LOOPBACK, 0)
        self.port = self.listening.getsockname()[1]
        settings = PlatformSettings(
            node="n",
            zone="z",
            processor=1.0,
            zones=("z",),
            callers=ListenAddress(LOOPBACK, self.port),
            readiness=ListenAddress(LOOPBACK, 0),
            store=ListenAddress(LOOPBACK, store_port),
            drain_seconds=3.0,
            configuration_seconds=3.0,
            evacuation_seconds=None,
            contact_seconds=None,
            metrics=None,
            peers=None,
            peer_link=None,
            seeds=self._seeds,
            retry_ratio=0.2,
            retry_slack=56.0,
            retry_window_seconds=10.0,
            cold_overage=1.0,
            cold_slack=0.0,
            grace_seconds=self._grace_seconds,
        )
        self.node = PlatformNode(settings, PATIENT_SECONDS)
        self.task = asyncio.create_task(self.node.run(self.listening))
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def exchange(self, data: bytes, port: int | None = None) -> tuple[str, bytes]:
        """Send bytes on a new connection; return the head and the body of the answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, port or self.port)
        writer.write(data)
        answer = await read_answer(reader)
        writer.close()
        return answer

    async def configure(self, document: dict[str, object] | None = None) -> None:
        """Let the operator write the first configuration and wait until the node is ready."""
        self.store.put("op/config", document or configuration())
        request = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
        head = ""
        while " 200 " not in head:
            await asyncio.sleep(0.01)
            if self.node.readiness_port:
                head, _ = await self.exchange(request, self.node.readiness_port)


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the head and the body of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.lower().split("\r\n")
    length = next(line for line in lines if line.startswith("content-length:"))
    return head, await reader.readexactly(int(length.split(":")[1]))


def request(path: str, extra: str = "", body: bytes = b"") -> bytes:
    method = "POST" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: r1\r\n"
    return f"{head}Deadline-Ms: 1500\r\n{extra}{length}\r\n".encode() + body


def play(test: Coroutine[Any, Any, None]) -> None:
    run(test)


class NodeTest(TestCase):
    def test_one_replica_is_passed_through(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                data = request("/one/a%20b?c=1&c=2", "X-Mine: 1\r\n", b"the body")
                head, body = await platform.exchange(data)
                self.assertIn("HTTP/1.1 200", head)
                self.assertIn("server-stamp: i-2.r1", head.lower())
                self.assertIn("x-own: yes", head.lower())
                self.assertEqual(b"the replica's bytes", body)
                method, target, headers, sent = platform.replicas[2].requests[0]
                self.assertEqual(
                    ("POST", "/one/a%20b?c=1&c=2", b"the body"), (method, target, sent)
                )
                self.assertEqual("1", headers["x-mine"])
                self.assertEqual("i-2", headers["expected-instance"])
                self.assertLessEqual(int(headers["deadline-ms"]), 1500)

        play(test())

    def test_shards_are_merged(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                head, body = await platform.exchange(request("/all/x"))
                self.assertIn("part-stamps: i-0.r1, i-1.r1", head.lower())
                self.assertNotIn("missing-shards", head.lower())
                self.assertEqual(b"\x05" * 16 + b"\x03" * 16, body)

        play(test())

    def test_callers_that_came_before_the_configuration_are_served(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                early = asyncio.create_task(platform.exchange(request("/one/x")))
                await asyncio.sleep(0)
                await platform.configure()
                head, _ = await early
                self.assertIn("HTTP/1.1 200", head)

        play(test())

    def test_a_node_that_cannot_reach_the_store_learns_from_another(self) -> None:
        async def test() -> None:
            async with Platform() as other:
                await other.configure()
                peers = HttpServer(other.node.peers.answer)
                seed = ListenAddress(LOOPBACK, await peers.start(LOOPBACK, 0))
                dead = ListenAddress(LOOPBACK, 1)
                async with Platform((dead, seed)) as platform:
                    platform.store.statuses += [503] * 1000
                    head, _ = await platform.exchange(request("/one/x"))
                    self.assertIn("HTTP/1.1 200", head)
                    self.assertEqual(1, len(other.replicas[2].requests))
                await peers.close()

        play(test())

    def test_own_answers(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                for data, status in (
                    (request("/none/x"), 404),
                    (request("/one/x").replace(b"Request-Id: r1\r\n", b""), 400),
                    (request("/one/x", body=b"x" * 6000), 413),
                    (request("/one/x", f"X-Long: {'x' * 3000}\r\n"), 431),
                ):
                    head, body = await platform.exchange(data)
                    self.assertIn(f"HTTP/1.1 {status}", head)
                    self.assertIn(b'"error":', body)

        play(test())

    def test_a_body_in_chunks_is_passed_on_whole(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                data = request("/one/x", "Transfer-Encoding: chunked\r\n") + chunks
                await platform.exchange(data.replace(b"GET", b"PUT", 1))
                self.assertEqual(b"abcde", platform.replicas[2].requests[0][3])

        play(test())

    def test_a_planned_stop_closes_connections_politely_and_ends(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                platform.node.emit(StopRequested())
                head, _ = await platform.exchange(request("/one/x"))
                self.assertIn("HTTP/1.1 200", head)
                self.assertIn("connection: close", head.lower())
                ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
                head, _ = await platform.exchange(ready, platform.node.readiness_port)
                self.assertIn("HTTP/1.1 503", head)
                ended = await platform.task
                self.assertEqual(0, ended.cut_requests)
                self.assertLess(0.0, ended.grace_seconds)

        play(test())

    def test_a_request_that_was_on_its_way_when_the_end_was_decided_is_answered(self) -> None:
        async def test() -> None:
            async with Platform() as platform:
                await platform.configure()
                platform.replicas[2].answers_after_seconds = 2.5 * RESPONSE_GRACE_SECONDS
                asked = asyncio.create_task(platform.exchange(request("/one/x")))
                while not platform.replicas[2].requests:
                    await asyncio.sleep(0.01)
                platform.node.perform(Exit(0, grace_seconds=5.0))
                head, body = await asked
                self.assertIn("HTTP/1.1 200", head)
                self.assertEqual(b"the replica's bytes", body)
                self.assertEqual(5.0, (await platform.task).grace_seconds)

        play(test())


class StopOnKeptConnectionsTest(TestCase):
    """Guards against requests on kept connections that a planned stop cuts without an answer."""

    async def end_slow_request(self, platform: Platform) -> tuple[bytes, tuple[str, bytes]]:
        """Stop the node during a slow request; return what a kept and a busy connection get."""
        await platform.configure()
        kept, kept_writer = await asyncio.open_connection(LOOPBACK, platform.port)
        kept_writer.write(request("/one/x"))
        await read_answer(kept)
        platform.replicas[2].answers_after_seconds = PATIENT_SECONDS
        slow = request("/one/x").replace(b"Deadline-Ms: 1500", b"Deadline-Ms: 9000")
        asked = asyncio.create_task(platform.exchange(slow))
        while len(platform.replicas[2].requests) < 2:
            await asyncio.sleep(0.01)
        platform.node.emit(StopRequested())
        received = await kept.read()
        self.assertFalse(asked.done())
        return received, await asked

    def test_idle_connections_are_closed_before_the_last_request_ends(self) -> None:
        async def test() -> None:
            async with Platform(grace_seconds=SHORT_GRACE_SECONDS) as platform:
                received, _ = await self.end_slow_request(platform)
                self.assertEqual(b"", received)

        play(test())

    def test_an_open_request_gets_a_final_answer_before_the_process_ends(self) -> None:
        async def test() -> None:
            async with Platform(grace_seconds=SHORT_GRACE_SECONDS) as platform:
                _, (head, body) = await self.end_slow_request(platform)
                self.assertIn("HTTP/1.1 502", head)
                self.assertIn(b"stopped", body)
                self.assertEqual(0, (await platform.task).cut_requests)

        play(test())


class EndTest(TestCase):
    def test_a_stop_is_over_within_the_time_of_grace_in_any_case(self) -> None:
        closing_seconds = RESPONSE_GRACE_SECONDS + CLOSE_SECONDS
        for grace_seconds in (3.0, 6.0, 30.0):
            stop_seconds = most_stop_seconds(grace_seconds)
            self.assertLess(stop_seconds + closing_seconds, grace_seconds - 0.2)
            self.assertGreaterEqual(stop_seconds, grace_seconds / 2)

    def test_a_short_time_of_grace_is_shared_evenly(self) -> None:
        self.assertEqual(0.5, most_stop_seconds(1.0))
        self.assertEqual(ForwardingSettings(zone="z").max_stop_seconds, most_stop_seconds(6.0))
