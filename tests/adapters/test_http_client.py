"""The HTTP client against raw sockets and our own server on loopback."""

import asyncio
from collections.abc import AsyncIterator
from unittest import mock

import testtools

from tests.adapters.raw_http import LOOPBACK, RawPeer, RawServer, echo, replying, run
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_client_connection import ClientConnection, OutgoingRequest
from wingquay.adapters.http_messages import HttpFailureKind, HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer
from wingquay.model.failure import Failure

WHOLE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


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
