"""The replica client with the platform's dialect, against a replica that sends raw bytes."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from unittest import mock

from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK, PATIENT_SECONDS, RawServer, run
from wingquay.adapters import replica_client
from wingquay.adapters.replica_client import CONNECT_SECONDS, SILENT_SECONDS, ReplicaClient
from wingquay.model.replica_record import ReplicaRecord
from wingquay.platform.replica_dialect import PlatformReplicaDialect
from wingquay.ports.forwarding import (
    CancelSend,
    OpaqueRequest,
    ReplicaAnswered,
    ReportedLoad,
    SendFailed,
    SendFailureKind,
    SendToReplica,
)
from wingquay.ports.machine import Count, Event


def answer(request_id: str, body: bytes, extra: str = "", status: str = "200 OK") -> bytes:
    head = f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Stamp: st-{request_id}\r\n"
    return f"{head}{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def rejection(request_id: str) -> bytes:
    return answer(request_id, b"", "Not-Executed: 1\r\n", "503 X")


OTHER_REPLICA = b"HTTP/1.1 421 X\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n"
"""A rejection by another replica, which does not carry the request's id back."""


class ScriptedReplica:
    """Answers the n-th request with the n-th script; ``None`` closes the connection."""

    def __init__(self, *scripts: list[bytes | None]) -> None:
        self._scripts = list(scripts)
        self.requests: list[bytes] = []
        self.ended = asyncio.Event()
        self.server = RawServer(self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                self.ended.set()
                return
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    head += await reader.readexactly(int(line.split(b":")[1]))
            self.requests.append(head)
            for part in self._scripts.pop(0) if self._scripts else []:
                if part is None:
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)


class Exchange:
    """The client, a replica and the events."""

    def __init__(
        self, *scripts: list[bytes | None], connect_seconds: float = PATIENT_SECONDS
    ) -> None:
        self.replica = ScriptedReplica(*scripts)
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.counts: list[Count] = []
        self.client = ReplicaClient(
            PlatformReplicaDialect(), self.events.put_nowait, self.counts.append, connect_seconds
        )
        self._attempts = 0

    async def start(self) -> None:
        self.port = await self.replica.server.start()

    async def send(self, request_id: str, body: bytes = b"") -> Event:
        self.begin(request_id, body)
        return await self.events.get()

    def begin(
        self,
        request_id: str,
        body: bytes = b"",
        host: bytes = b"search.example",
        replica_id: str = "i-1",
        born: int | None = None,
    ) -> int:
        self._attempts += 1
        record = ReplicaRecord(replica_id, "s", LOOPBACK, self.port, "a", 2, born=born)
        headers = ((b"Host", host), (b"Request-Id", request_id.encode()))
        request = OpaqueRequest(b"POST" if body else b"GET", b"/a/b?c=%20d", headers, body)
        self.client.send(SendToReplica(self._attempts, record, request_id, request, 1.5))
        return self._attempts


def play(test: Coroutine[Any, Any, None]) -> None:
    run(test)


class RequestBytesTest(TestCase):
    def test_the_request_is_passed_on_unchanged_with_the_replica_and_the_time_left(self) -> None:
        async def test() -> None:
            exchange = Exchange([answer("r1", b"x")])
            await exchange.start()
            with mock.patch.object(exchange.client._loop, "time", lambda: 100.0):
                await exchange.send("r1", b"the body")
            raw = exchange.replica.requests[0]
            self.assertTrue(raw.startswith(b"POST /a/b?c=%20d HTTP/1.1\r\n"))
            self.assertTrue(raw.endswith(b"\r\n\r\nthe body"))
            for line in (
                b"Host: search.example",
                b"Request-Id: r1",
                b"Deadline-Ms: 1500",
                b"Expected-Instance: i-1",
                b"Content-Length: 8",
            ):
                self.assertEqual(1, raw.count(line + b"\r\n"), line)

        play(test())


class AnswerBytesTest(TestCase):
    def test_answers_with_a_length_in_chunks_and_ended_by_close_are_whole(self) -> None:
        async def test() -> None:
            chunked = (
                b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Stamp: s\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            unframed = b"HTTP/1.1 200 OK\r\nRequest-Id: r3\r\nServer-Stamp: s\r\n\r\nabcde"
            exchange = Exchange([answer("r1", b"abcde")], [chunked], [unframed, None])
            await exchange.start()
            for request_id in ("r1", "r2", "r3"):
                event = await exchange.send(request_id)
                self.assertIsInstance(event, ReplicaAnswered, request_id)
                self.assertEqual(b"abcde", event.answer.body)
            self.assertEqual(1, exchange.replica.server.connections)

        play(test())

    def test_an_answer_that_is_cut_short_is_none(self) -> None:
        async def test() -> None:
            exchange = Exchange([answer("r1", b"abcdefgh")[:-3], None])
            await exchange.start()
            event = await exchange.send("r1")
            self.assertIsInstance(event, SendFailed)
            self.assertIsNot(SendFailureKind.NOT_SENT, event.kind)

        play(test())

    def test_bytes_that_are_no_answer_are_told_apart(self) -> None:
        async def test() -> None:
            exchange = Exchange([b"\x00\x01garbage\r\n\r\n"])
            await exchange.start()
            event = await exchange.send("r1")
            self.assertIs(SendFailureKind.MALFORMED, event.kind)

        play(test())

    def test_an_encoded_or_unsigned_answer_is_not_the_replicas(self) -> None:
        async def test() -> None:
            encoded = answer("r1", b"x", "Content-Encoding: gzip\r\n")
            unsigned = b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n"
            exchange = Exchange([encoded], [unsigned])
            await exchange.start()
            for request_id in ("r1", "r2"):
                event = await exchange.send(request_id)
                self.assertIsInstance(event, SendFailed, request_id)
                self.assertIs(SendFailureKind.MALFORMED, event.kind)

        play(test())

    def test_refusals_load_and_other_replicas_are_understood(self) -> None:
        async def test() -> None:
            named_other = OTHER_REPLICA.replace(b"Instance-Id", b"Request-Id: r2\r\nInstance-Id")
            exchange = Exchange(
                [rejection("r1")], [named_other], [answer("r3", b"", "Server-Load: 3,1,8\r\n")]
            )
            await exchange.start()
            self.assertTrue((await exchange.send("r1")).answer.not_run)
            self.assertTrue((await exchange.send("r2")).answer.is_other_replica)
            self.assertEqual(ReportedLoad(3, 1, 8), (await exchange.send("r3")).load)

        play(test())

    def test_an_answer_without_an_id_is_not_believed_to_say_not_run(self) -> None:
        async def test() -> None:
            shed = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            exchange = Exchange([shed], [OTHER_REPLICA])
            await exchange.start()
            for request_id in ("r1", "r2"):
                event = await exchange.send(request_id)
                self.assertIsInstance(event, SendFailed, request_id)
                self.assertIs(SendFailureKind.MALFORMED, event.kind)

        play(test())

    def test_a_load_is_read_with_the_pace_of_work_and_whatever_follows(self) -> None:
        cases: list[tuple[str, ReportedLoad | None]] = [
            ("3,1,8,250", ReportedLoad(3, 1, 8, 2.5)),
            ("3, 1, 8, 90, new", ReportedLoad(3, 1, 8, 0.9)),
            ("3,1", None),
            ("3,1,8,fast", None),
        ]

        async def test() -> None:
            scripts = [
                [answer(f"r{number}", b"", f"Server-Load: {text}\r\n")]
                for number, (text, _) in enumerate(cases)
            ]
            exchange = Exchange(*scripts)
            await exchange.start()
            for number, (text, expected) in enumerate(cases):
                event = await exchange.send(f"r{number}")
                self.assertEqual(expected, event.load, text)
            unreadable = Count("replica_loads_unreadable_total")
            self.assertEqual(2, exchange.counts.count(unreadable))

        play(test())


class SilentConnectionTest(TestCase):
    """Two connections are kept; one of them has gone silent when it is cancelled."""

    async def kept_after(self, seconds: float) -> int:
        """Return how many connections are idle after one was cancelled so late."""
        exchange = Exchange([answer("r1", b"x"), b""], [answer("r2", b"x")])
        await exchange.start()
        for request_id in ("r1", "r2"):
            exchange.begin(request_id)
        for _ in range(2):
            self.assertIsInstance(await exchange.events.get(), ReplicaAnswered)
        silent = exchange.begin("r3")
        begun_at = exchange.client._attempts[silent].begun_at
        with mock.patch.object(exchange.client._loop, "time", lambda: begun_at + seconds):
            exchange.client.cancel(CancelSend(silent))
        return sum(len(idle) for idle in exchange.client._idle.values())

    def test_the_others_of_its_address_are_dropped(self) -> None:
        async def test() -> None:
            self.assertEqual(0, await self.kept_after(SILENT_SECONDS + 0.01))

        play(test())

    def test_they_are_kept_while_it_is_early(self) -> None:
        async def test() -> None:
            self.assertEqual(1, await self.kept_after(SILENT_SECONDS - 0.01))

        play(test())


class SlowLoopTest(TestCase):
    def test_a_connection_that_had_to_wait_for_the_loop_has_longer(self) -> None:
        async def allowed_after(lag_seconds: float) -> float:
            exchange = Exchange([answer("r1", b"x")], connect_seconds=CONNECT_SECONDS)
            await exchange.start()
            loop = exchange.client._loop
            wrapped = mock.patch.object(replica_client.asyncio, "timeout", wraps=asyncio.timeout)
            with mock.patch.object(loop, "time", lambda: 100.0), wrapped as made:
                address = (LOOPBACK, exchange.port)
                await exchange.client._new_connection(address, 100.0 - lag_seconds)
            return float(made.call_args.args[0])

        async def test() -> None:
            self.assertAlmostEqual(0.04, await allowed_after(0.0))
            self.assertAlmostEqual(0.13, await allowed_after(0.03))

        play(test())


class RepeatingReplica:
    """Repeats its last answer on a connection in the place of the next one there.

    It rejects the first ``rejections`` requests and runs the others.
    """

    def __init__(self, rejections: int) -> None:
        self._rejections = rejections
        self.runs: list[str] = []
        self.carried: list[list[str]] = []
        """The ids of the requests on each connection."""
        self.server = RawServer(self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = b""
        carried: list[str] = []
        self.carried.append(carried)
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            request_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
            carried.append(request_id)
            writer.write(last)
            if self._rejections:
                self._rejections -= 1
                last = rejection(request_id)
            else:
                self.runs.append(request_id)
                last = answer(request_id, b"ran")
            writer.write(last)


class SecondAttemptTest(TestCase):
    """Guards against a late repeat of a rejection that is taken for the answer to a retry."""

    def test_a_late_repeat_of_a_rejection_is_not_the_answer_to_the_retry(self) -> None:
        async def test() -> None:
            exchange = Exchange()
            replica = RepeatingReplica(rejections=1)
            exchange.port = await replica.server.start()
            event = await exchange.send("r1")
            self.assertTrue(event.answer.not_run)
            event = await exchange.send("r1")
            self.assertEqual((b"ran", False), (event.answer.body, event.answer.not_run))
            self.assertEqual(["r1"], replica.runs)

        play(test())

    def test_a_retry_uses_another_idle_connection_and_both_are_kept(self) -> None:
        async def test() -> None:
            exchange = Exchange()
            replica = RepeatingReplica(rejections=2)
            exchange.port = await replica.server.start()
            for request_id in ("r1", "r2"):
                exchange.begin(request_id)
            for _ in range(2):
                await exchange.events.get()
            for request_id in ("r2", "r1"):
                event = await exchange.send(request_id)
                self.assertEqual(b"ran", event.answer.body)
            for carried in replica.carried:
                self.assertEqual(len(set(carried)), len(carried), carried)
            connected = Count("replica_connections_total")
            self.assertEqual(2, exchange.counts.count(connected))

        play(test())

    def test_the_number_of_connections_stays_within_the_requests_in_flight(self) -> None:
        async def test() -> None:
            exchange = Exchange(*[[rejection("r1")] for _ in range(4)])
            await exchange.start()
            for _ in range(4):
                await exchange.send("r1")
                self.assertEqual(1, sum(len(idle) for idle in exchange.client._idle.values()))
                self.assertEqual(1, len(exchange.client._open))

        play(test())

    def test_requests_that_cannot_be_retried_any_more_are_forgotten(self) -> None:
        async def test() -> None:
            ids = [f"r{number}" for number in range(20)]
            exchange = Exchange(*[[rejection(request_id)] for request_id in ids])
            await exchange.start()
            loop = exchange.client._loop
            began_at = loop.time()
            for number, request_id in enumerate(ids):
                with mock.patch.object(loop, "time", lambda: began_at + number * 1.0):  # noqa: B023
                    await exchange.send(request_id)
            ((connection,),) = exchange.client._idle.values()
            self.assertLess(len(connection._carried), 4)
            self.assertTrue(connection.has_carried(ids[-1]))

        play(test())

    def test_surplus_answers_are_counted(self) -> None:
        async def test() -> None:
            exchange = Exchange()
            replica = RepeatingReplica(rejections=0)
            exchange.port = await replica.server.start()
            for request_id in ("r1", "r2"):
                await exchange.send(request_id)
            surplus = Count("replica_surplus_answers_total", 1)
            self.assertEqual(1, exchange.counts.count(surplus))

        play(test())


class UnansweredTest(TestCase):
    """A replica that ends under a request closes its connections without a byte of an answer."""

    def outcome(self, *script: bytes | None) -> SendFailed:
        ended: list[Event] = []

        async def test() -> None:
            exchange = Exchange(list(script))
            await exchange.start()
            ended.append(await exchange.send("r1"))

        play(test())
        event = ended[0]
        assert isinstance(event, SendFailed)
        return event

    def test_a_connection_that_ends_without_a_byte_is_told_as_unanswered(self) -> None:
        self.assertTrue(self.outcome(None).is_unanswered)

    def test_one_that_ends_within_an_answer_is_not(self) -> None:
        self.assertFalse(self.outcome(answer("r1", b"one")[:20], None).is_unanswered)

    def test_nor_one_that_never_came_up(self) -> None:
        ended: list[Event] = []

        async def test() -> None:
            exchange = Exchange([])
            await exchange.start()
            await exchange.replica.server.stop()
            ended.append(await exchange.send("r1"))

        play(test())
        event = ended[0]
        assert isinstance(event, SendFailed)
        self.assertIs(SendFailureKind.NOT_SENT, event.kind)
        self.assertFalse(event.is_unanswered)


class UnsendableTest(TestCase):
    def test_a_request_without_a_form_on_the_wire_fails_and_its_connection_is_kept(self) -> None:
        async def test() -> None:
            exchange = Exchange([answer("r2", b"x")])
            await exchange.start()
            exchange.begin("r1", host=b"a\nb")
            event = await exchange.events.get()
            self.assertIsInstance(event, SendFailed)
            self.assertIs(SendFailureKind.NOT_SENT, event.kind)
            self.assertIn("no form on the wire", event.reason)
            await exchange.send("r2")
            connected = Count("replica_connections_total")
            self.assertEqual(1, exchange.counts.count(connected))

        play(test())


class SurplusTest(TestCase):
    def test_a_surplus_answer_in_the_place_of_the_next_is_passed_over(self) -> None:
        async def test() -> None:
            surplus = answer("r1", b"old")
            exchange = Exchange([answer("r1", b"one")], [surplus + answer("r2", b"two")])
            await exchange.start()
            await exchange.send("r1")
            event = await exchange.send("r2")
            self.assertEqual(b"two", event.answer.body)

        play(test())

    def test_a_surplus_answer_that_comes_in_pieces_is_passed_over(self) -> None:
        async def test() -> None:
            surplus = answer("r1", b"old")
            parts = [surplus[:20], surplus[20:], answer("r2", b"two")]
            exchange = Exchange([answer("r1", b"one")], list(parts))
            await exchange.start()
            await exchange.send("r1")
            self.assertEqual(b"two", (await exchange.send("r2")).answer.body)

        play(test())

    def test_a_connection_with_surplus_bytes_serves_nothing_more(self) -> None:
        async def test() -> None:
            surplus = answer("r1", b"one") + answer("r1", b"again")
            exchange = Exchange([surplus], [answer("r2", b"two")])
            await exchange.start()
            self.assertEqual(b"one", (await exchange.send("r1")).answer.body)
            self.assertEqual(b"two", (await exchange.send("r2")).answer.body)
            self.assertEqual(2, exchange.replica.server.connections)

        play(test())

    def test_a_late_surplus_answer_ends_the_idle_connection(self) -> None:
        async def test() -> None:
            exchange = Exchange(
                [answer("r1", b"one"), answer("r1", b"again")], [answer("r2", b"two")]
            )
            await exchange.start()
            await exchange.send("r1")
            await asyncio.wait_for(exchange.replica.ended.wait(), 5.0)
            self.assertEqual(b"two", (await exchange.send("r2")).answer.body)

        play(test())


class ConnectionTest(TestCase):
    def test_a_connection_that_the_replica_closes_is_not_used_again(self) -> None:
        async def test() -> None:
            closing = answer("r1", b"x", "Connection: close\r\n")
            exchange = Exchange([closing], [answer("r2", b"x")])
            await exchange.start()
            await exchange.send("r1")
            self.assertIsInstance(await exchange.send("r2"), ReplicaAnswered)
            self.assertEqual(2, exchange.replica.server.connections)

        play(test())

    def test_a_connection_about_to_reach_its_idle_time_is_not_used_again(self) -> None:
        async def test() -> None:
            short = answer("r1", b"x", "Keep-Alive: timeout=0\r\n")
            exchange = Exchange([short], [answer("r2", b"x")])
            await exchange.start()
            await exchange.send("r1")
            await exchange.send("r2")
            self.assertEqual(2, exchange.replica.server.connections)

        play(test())

    def test_a_cancelled_attempt_closes_its_connection_and_says_nothing(self) -> None:
        async def test() -> None:
            exchange = Exchange([])
            await exchange.start()
            attempt_id = exchange.begin("r1")
            while not exchange.replica.requests:
                await asyncio.sleep(0.001)
            exchange.client.cancel(CancelSend(attempt_id))
            await asyncio.wait_for(exchange.replica.ended.wait(), 5.0)
            self.assertTrue(exchange.events.empty())

        play(test())

    def test_a_dead_port_left_no_byte(self) -> None:
        async def test() -> None:
            exchange = Exchange()
            await exchange.start()
            exchange.replica.server._server.close()
            await exchange.replica.server._server.wait_closed()
            event = await exchange.send("r1")
            self.assertIs(SendFailureKind.NOT_SENT, event.kind)

        play(test())


class TimeLeftTest(TestCase):
    def test_the_replica_is_told_what_is_left_when_the_request_leaves(self) -> None:
        record = ReplicaRecord("i-1", "s", LOOPBACK, 80, "a", 2)
        request = OpaqueRequest(b"GET", b"/a", ())
        action = SendToReplica(1, record, "r1", request, 1.5)
        for waited_seconds, expected in ((0.0, b"1500"), (0.4, b"1100"), (2.0, b"1")):
            headers = dict(PlatformReplicaDialect().own_headers(action, waited_seconds))
            self.assertEqual(expected, headers[b"Deadline-Ms"])


class LivesTest(TestCase):
    def connections(self, *lives: tuple[str, int | None]) -> int:
        """Return how many connections a request to each of these lives takes."""
        counts: list[Count] = []

        async def test() -> None:
            scripts = [[answer(f"r{number}", b"x")] for number in range(len(lives))]
            exchange = Exchange(*scripts)
            await exchange.start()
            for number, (replica_id, born) in enumerate(lives):
                exchange.begin(f"r{number}", replica_id=replica_id, born=born)
                self.assertIsInstance(await exchange.events.get(), ReplicaAnswered)
            counts.extend(exchange.counts)

        play(test())
        return sum(item.name == "replica_connections_total" for item in counts)

    def test_a_kept_connection_serves_the_life_to_which_it_was_opened(self) -> None:
        self.assertEqual(1, self.connections(("i-1", 5), ("i-1", 5), ("i-1", 5)))

    def test_another_life_gets_a_connection_of_its_own(self) -> None:
        self.assertEqual(2, self.connections(("i-1", 5), ("i-1", 6), ("i-1", 6)))
        self.assertEqual(2, self.connections(("i-1", None), ("i-1", 6)))
        self.assertEqual(2, self.connections(("i-1", 6), ("i-1", 5)))

    def test_connections_to_the_life_before_are_closed(self) -> None:
        async def test() -> None:
            exchange = Exchange([answer("r1", b"x")], [answer("r2", b"x")])
            await exchange.start()
            exchange.begin("r1", born=5)
            await exchange.events.get()
            exchange.begin("r2", born=6)
            await exchange.events.get()
            await asyncio.wait_for(exchange.replica.ended.wait(), PATIENT_SECONDS)

        play(test())
