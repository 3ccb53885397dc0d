"""The HTTP server against raw sockets and our own client on loopback."""

import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.adapters.raw_http import LOOPBACK, WHOLE_REQUEST, echo, run, send_raw
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_messages import HttpLimits, HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer

SMALL_LIMITS = HttpLimits(
    header_bytes=1_024,
    body_bytes=4_096,
    idle_seconds=5.0,
    request_read_seconds=5.0,
    connections=4,
)
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
            limits = HttpLimits(request_read_seconds=0.02, idle_seconds=0.25)
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

    def test_idle_connections_close_and_requests_in_flight_go_on(self) -> None:
        async def test() -> None:
            started, may_end = asyncio.Event(), asyncio.Event()

            async def wait(request: HttpRequest) -> HttpResponse:
                if request.path == "/slow":
                    started.set()
                    await may_end.wait()
                return HttpResponse(200, {}, b"done")

            server = HttpServer(wait)
            port = await server.start(LOOPBACK, 0)
            idle_reader, idle_writer = await asyncio.open_connection(LOOPBACK, port)
            idle_writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await idle_reader.readuntil(b"done")
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
            await started.wait()
            server.is_leaving = True
            server.close_idle()
            self.assertEqual(b"", await idle_reader.read())
            may_end.set()
            answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertIn(b"connection: close", answer.lower())
            self.assertTrue(answer.endswith(b"done"), answer)
            server.is_leaving = False
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            answer = await reader.readuntil(b"done")
            self.assertNotIn(b"connection: close", answer.lower())
            for each in (idle_writer, writer):
                each.close()
            await server.close()

        run(test())
