"""The HTTP client and server against each other and against raw sockets on loopback."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any
from unittest import mock

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_client_connection import ClientConnection, OutgoingRequest
from wingquay.adapters.http_messages import (
    HttpFailureKind,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from wingquay.adapters.http_server import HttpServer
from wingquay.model.failure import Failure

LOOPBACK = "127.0.0.1"
TEST_LIMIT_SECONDS = 20.0
SMALL_LIMITS = HttpLimits(
    header_bytes=1_024,
    body_bytes=4_096,
    idle_seconds=5.0,
    request_read_seconds=5.0,
    connections=4,
)
RawPeer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
WHOLE_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
FRAGMENTS = [
    WHOLE_REQUEST,
    b"POST /a?b=%ff&c HTTP/1.1\r\nhost: a\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\nupgrade: x\r\n",
    b"GET / HTTP/1.0\r\n",
    b"HEAD / HTTP/1.1\r\n",
    b"content-length: 3\r\n",
    b"content-length: " + b"9" * 5_000 + b"\r\n",
    b"transfer-encoding: chunked\r\n",
    b"expect: 100-continue\r\n",
    b"\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"\xff\x00: \x00\r\n",
]
WHOLE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test, bounded in time."""
    asyncio.run(asyncio.wait_for(test, TEST_LIMIT_SECONDS))


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, {"x-path": request.path}, request.body)


async def send_raw(port: int, data: bytes, then_end: bool = False) -> bytes:
    """Send bytes and return everything that comes until the server ends the connection."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(data)
    if then_end:
        writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


class RawServer:
    """Runs ``peer`` for each connection and counts them."""

    def __init__(self, peer: RawPeer) -> None:
        self.connections = 0
        self._peer = peer

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await self._peer(reader, writer)


def replying(data: bytes, then_close: bool = True) -> RawPeer:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(65_536):
            writer.write(data)
            if then_close:
                writer.close()
                return

    return peer


class HttpServerTest(testtools.TestCase):
    def exchange_raw(self, data: bytes, limits: HttpLimits = SMALL_LIMITS) -> bytes:
        received = b""

        async def test() -> None:
            nonlocal received
            server = HttpServer(echo, limits)
            port = await server.start(LOOPBACK, 0)
            received = await send_raw(port, data)
            await server.close()

        run(test())
        return received

    def assert_status(self, status: int, received: bytes) -> None:
        self.assertTrue(received.startswith(b"HTTP/1.1 %d " % status), received)

    def test_malformed_requests_are_answered_400(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        ):
            self.assert_status(400, self.exchange_raw(data))

    def test_huge_headers_are_answered_431(self) -> None:
        whole = b"GET / HTTP/1.1\r\nhost: a\r\nx: %s\r\n\r\n" % (b"y" * 2_000)
        self.assert_status(431, self.exchange_raw(whole))
        endless = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 500_000
        self.assert_status(431, self.exchange_raw(endless))

    def test_huge_bodies_are_answered_413(self) -> None:
        announced = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000000\r\n\r\n"
        self.assert_status(413, self.exchange_raw(announced))
        self.assert_status(413, self.exchange_raw(announced + b"y" * 5_000_000))
        chunked = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        self.assert_status(413, self.exchange_raw(chunked + b"1f40\r\n" + b"y" * 8_000))

    def test_slow_request_is_answered_408_and_idle_connection_closed(self) -> None:
        limits = HttpLimits(request_read_seconds=0.05, idle_seconds=0.05)
        self.assert_status(408, self.exchange_raw(b"GET / HT", limits))
        self.assertEqual(b"", self.exchange_raw(b"", limits))

    def test_client_that_takes_nothing_is_cut_off(self) -> None:
        async def test() -> None:
            async def answer_much(_request: HttpRequest) -> HttpResponse:
                return HttpResponse(200, {}, b"x" * 50_000_000)

            server = HttpServer(answer_much, HttpLimits(write_stall_seconds=0.05))
            port = await server.start(LOOPBACK, 0)
            reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=1_000)
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await reader.readuntil(b"\r\n")
            while server.open_connections:
                await asyncio.sleep(0.01)
            writer.close()
            await server.close()

        run(test())

    @given(st.lists(st.sampled_from(FRAGMENTS) | st.binary(max_size=20), max_size=8))
    @settings(max_examples=150, deadline=None)
    def test_no_bytes_break_the_server(self, pieces: list[bytes]) -> None:
        async def test() -> None:
            problems: list[object] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _loop, context: problems.append(context))
            limits = HttpLimits(request_read_seconds=0.02, idle_seconds=0.02)
            server = HttpServer(echo, limits)
            port = await server.start(LOOPBACK, 0)
            received = await send_raw(port, b"".join(pieces))
            self.assertTrue(received == b"" or received.startswith(b"HTTP/1.1 "), received)
            self.assertNotIn(b"HTTP/1.1 500", received)
            self.assertEqual([], problems)
            self.assert_status(200, await send_raw(port, WHOLE_REQUEST))
            await server.close()

        run(test())

    def test_expect_continue_is_honoured(self) -> None:
        async def test() -> None:
            server = HttpServer(echo)
            port = await server.start(LOOPBACK, 0)
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            head = b"host: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n"
            writer.write(b"POST / HTTP/1.1\r\n" + head)
            self.assertIn(b" 100 ", await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"ok")
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
            writer.close()
            await server.close()

        run(test())

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        first = b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n"
        last = b"GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        received = self.exchange_raw(first + last)
        self.assertEqual(2, received.count(b"HTTP/1.1 200"))
        self.assertTrue(received.index(b"x-path: /1") < received.index(b"x-path: /2"))

    def test_connections_beyond_the_limit_are_answered_503(self) -> None:
        async def test() -> None:
            server = HttpServer(echo, HttpLimits(connections=1))
            port = await server.start(LOOPBACK, 0)
            client = HttpClient()
            self.assertIsInstance(await client.request(LOOPBACK, port, "GET", "/"), HttpResponse)
            self.assert_status(503, await send_raw(port, b""))
            await client.close()
            await server.close()

        run(test())

    def test_handler_is_cancelled_when_the_client_goes(self) -> None:
        async def test() -> None:
            started, cancelled = asyncio.Event(), asyncio.Event()

            async def wait(_request: HttpRequest) -> HttpResponse:
                started.set()
                try:
                    await asyncio.Event().wait()
                finally:
                    cancelled.set()
                raise AssertionError

            server = HttpServer(wait)
            port = await server.start(LOOPBACK, 0)
            _, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await started.wait()
            writer.write_eof()
            await cancelled.wait()
            await server.close()
            self.assertEqual(0, server.open_connections)

        run(test())

    def test_close_lets_requests_in_flight_finish(self) -> None:
        async def test() -> None:
            started, may_end = asyncio.Event(), asyncio.Event()

            async def wait(_request: HttpRequest) -> HttpResponse:
                started.set()
                await may_end.wait()
                return HttpResponse(200, {}, b"done")

            server = HttpServer(wait)
            client = HttpClient()
            port = await server.start(LOOPBACK, 0)
            request = asyncio.create_task(client.request(LOOPBACK, port, "GET", "/"))
            await started.wait()
            closing = asyncio.create_task(server.close(grace_seconds=10.0))
            await asyncio.sleep(0)
            may_end.set()
            response = await request
            assert isinstance(response, HttpResponse)
            self.assertEqual((b"done", "close"), (response.body, response.headers["connection"]))
            await closing
            await client.close()

        run(test())


class HttpClientTest(testtools.TestCase):
    def request_raw_server(self, peer: RawPeer, timeout_seconds: float = 5.0) -> object:
        result: object = None

        async def test() -> None:
            nonlocal result
            port = await RawServer(peer).start()
            client = HttpClient(body_bytes=1_000)
            result = await client.request(
                LOOPBACK, port, "GET", "/", timeout_seconds=timeout_seconds
            )
            await client.close()

        run(test())
        return result

    def assert_failure(self, kind: HttpFailureKind, result: object) -> None:
        assert isinstance(result, Failure), result
        self.assertEqual(kind, result.kind, result.reason)

    def test_connections_are_kept_and_reused(self) -> None:
        async def test() -> None:
            server = HttpServer(echo)
            client = HttpClient()
            port = await server.start(LOOPBACK, 0)
            for body in (b"", b"first", b"x" * 300_000):
                response = await client.request(LOOPBACK, port, "POST", "/p", {"a": "b"}, body)
                assert isinstance(response, HttpResponse)
                self.assertEqual((200, body), (response.status, response.body))
            self.assertEqual(1, client.open_connections(LOOPBACK, port))
            await client.close()
            await server.close()
            self.assertEqual(0, client.open_connections(LOOPBACK, port))

        run(test())

    def test_connection_that_was_idle_too_long_is_replaced(self) -> None:
        async def test() -> None:
            raw = RawServer(replying(WHOLE_RESPONSE, then_close=False))
            port = await raw.start()
            client = HttpClient(connection_limit=1)
            for max_idle_seconds, connections in ((None, 1), (None, 1), (0.0, 2)):
                done: asyncio.Future[object] = asyncio.get_running_loop().create_future()
                request = OutgoingRequest(b"GET", b"/", [])
                exchange = client.prepare(request, done.set_result)
                client.begin(exchange, LOOPBACK, port, 10.0, max_idle_seconds=max_idle_seconds)
                self.assertIsInstance(await done, HttpResponse)
                self.assertEqual(connections, raw.connections)
            await client.close()

        run(test())

    def test_broken_responses_are_failures(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nends with the connection",
            b"HTTP/1.1 100 Continue\r\n\r\n",
        ):
            self.assert_failure(HttpFailureKind.BROKEN, self.request_raw_server(replying(data)))

    def test_large_response_is_a_failure(self) -> None:
        data = b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n" + b"x" * 5_000
        self.assert_failure(HttpFailureKind.TOO_LARGE, self.request_raw_server(replying(data)))

    def test_silent_server_times_out_after_bytes_left(self) -> None:
        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        result = self.request_raw_server(silent, timeout_seconds=0.05)
        self.assert_failure(HttpFailureKind.TIMED_OUT, result)

    def test_nothing_sent_when_nobody_listens_or_the_limit_is_reached(self) -> None:
        async def test() -> None:
            client = HttpClient(connection_limit=1)
            server = HttpServer(echo)
            port = await server.start(LOOPBACK, 0)
            first = asyncio.create_task(client.request(LOOPBACK, port, "GET", "/"))
            await asyncio.sleep(0)
            second = await client.request(LOOPBACK, port, "GET", "/")
            self.assert_failure(HttpFailureKind.NO_CONNECTION_FREE, second)
            self.assertIsInstance(await first, HttpResponse)
            await client.close()
            await server.close()
            nobody = await HttpClient().request(LOOPBACK, port, "GET", "/")
            self.assert_failure(HttpFailureKind.CONNECT_FAILED, nobody)

        run(test())

    def test_header_injection_is_not_sent(self) -> None:
        async def test() -> None:
            client = HttpClient()
            raw = RawServer(replying(WHOLE_RESPONSE))
            port = await raw.start()
            result = await client.request(LOOPBACK, port, "GET", "/", {"a": "b\r\nc: d"})
            self.assert_failure(HttpFailureKind.UNSENDABLE, result)
            await client.close()

        run(test())

    def test_kept_connection_closed_by_the_server_counts_as_sent(self) -> None:
        async def answer_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE_RESPONSE)
            await reader.read(1)
            writer.close()

        async def test() -> None:
            raw = RawServer(answer_once)
            port = await raw.start()
            client = HttpClient()
            await client.request(LOOPBACK, port, "GET", "/")
            result = await client.request(LOOPBACK, port, "GET", "/")
            self.assert_failure(HttpFailureKind.BROKEN, result)
            self.assertEqual(1, raw.connections)
            await client.close()

        run(test())

    def test_late_bytes_never_reach_another_exchange(self) -> None:
        async def test() -> None:
            asked, may_answer = asyncio.Event(), asyncio.Event()

            async def answer_late(request: HttpRequest) -> HttpResponse:
                if request.path == "/late":
                    asked.set()
                    await asyncio.shield(may_answer.wait())
                return HttpResponse(200, {}, request.path.encode())

            server = HttpServer(answer_late)
            port = await server.start(LOOPBACK, 0)
            client = HttpClient(connection_limit=2)
            late = asyncio.create_task(client.request(LOOPBACK, port, "GET", "/late"))
            await asked.wait()
            late.cancel()
            may_answer.set()
            for number in range(20):
                response = await client.request(LOOPBACK, port, "GET", f"/{number}")
                assert isinstance(response, HttpResponse)
                self.assertEqual(b"/%d" % number, response.body)
            await client.close()
            await server.close()

        run(test())

    def test_surplus_bytes_after_a_response_end_its_connection(self) -> None:
        async def test() -> None:
            raw = RawServer(replying(WHOLE_RESPONSE + WHOLE_RESPONSE, then_close=False))
            port = await raw.start()
            client = HttpClient()
            for _ in range(2):
                response = await client.request(LOOPBACK, port, "GET", "/")
                self.assertIsInstance(response, HttpResponse)
            self.assertEqual(2, raw.connections)
            await client.close()

        run(test())

    def test_stream_is_read_piece_by_piece(self) -> None:
        async def test() -> None:
            may_go_on = asyncio.Event()

            async def pieces() -> AsyncIterator[bytes]:
                yield b"one"
                await may_go_on.wait()
                yield b"two"

            async def stream(_request: HttpRequest) -> HttpResponse:
                return HttpResponse(200, {"x": "y"}, pieces())

            server = HttpServer(stream)
            port = await server.start(LOOPBACK, 0)
            client = HttpClient()
            opened = await client.open_stream(LOOPBACK, port, "POST", "/watch", {}, b"{}")
            assert not isinstance(opened, Failure)
            received = []
            async for piece in opened:
                received.append(piece)
                may_go_on.set()
            self.assertEqual([b"one", b"two"], received)
            self.assertIsNone(opened.failure)
            await client.close()
            await server.close()

        run(test())

    def test_broken_stream_tells_why_it_ended(self) -> None:
        async def test() -> None:
            cut = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n"
            port = await RawServer(replying(cut)).start()
            client = HttpClient()
            opened = await client.open_stream(LOOPBACK, port, "GET", "/")
            assert not isinstance(opened, Failure)
            self.assertEqual([b"one"], [piece async for piece in opened])
            self.assert_failure(HttpFailureKind.BROKEN, opened.failure)
            await client.close()

        run(test())


class ResetTransport(asyncio.Transport):
    """The transport of a connection that the other side reset at once: it has no peer any more."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)


class ClientConnectionTest(testtools.TestCase):
    def test_connection_that_was_reset_at_once_still_serves_its_exchange(self) -> None:
        connection = ClientConnection(("::1", 8000), 16_384, mock.Mock(), mock.Mock())
        transport = ResetTransport()
        connection.connection_made(transport)
        connection.start_exchange(OutgoingRequest(b"GET", b"/health", []), mock.Mock())
        self.assertIn(b"[::1]:8000\r\n", transport.written)
