"""Size limits that change while a connection is kept open."""

import asyncio
from dataclasses import replace

import testtools

from tests.adapters.raw_http import LOOPBACK, echo, run
from wingquay.adapters.http_messages import HttpLimits
from wingquay.adapters.http_server import HttpServer

LIMITS = HttpLimits(header_bytes=1_024, body_bytes=4_096)
PADDING_BYTES = 500


def request(body_bytes: int = 0, header_bytes: int = 0) -> bytes:
    """Return a request with a body and a header of about these sizes."""
    padding = b"x: %s\r\n" % (b"y" * header_bytes) if header_bytes else b""
    head = b"POST /a HTTP/1.1\r\nhost: a\r\n%scontent-length: %d\r\n\r\n"
    return head % (padding, body_bytes) + b"z" * body_bytes


class KeptConnection:
    """A server and one connection to it."""

    def __init__(self) -> None:
        self.server = HttpServer(echo, LIMITS)

    async def open(self) -> None:
        port = await self.server.start(LOOPBACK, 0)
        self._reader, self._writer = await asyncio.open_connection(LOOPBACK, port)

    async def send(self, data: bytes) -> int:
        """Send a request and return the status of its answer."""
        self._writer.write(data)
        async with asyncio.timeout(5.0):
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            length = next(line for line in lines if line.startswith("content-length:"))
            await self._reader.readexactly(int(length.partition(":")[2]))
        return int(lines[0].split()[1])

    async def close(self) -> None:
        self._writer.close()
        await self.server.close()


class ChangedLimitsTest(testtools.TestCase):
    """Guards against connections that keep the limits with which they were opened."""

    def statuses(self, limits: HttpLimits, data: bytes) -> tuple[int, int]:
        """Return the status of a request, and of the same one after the limits have changed."""
        found: list[int] = []

        async def test() -> None:
            kept = KeptConnection()
            await kept.open()
            found.append(await kept.send(request()))
            kept.server.limits = limits
            found.append(await kept.send(data))
            await kept.close()

        run(test())
        return found[0], found[1]

    def test_raised_body_limit_holds_on_a_kept_connection(self) -> None:
        raised = replace(LIMITS, body_bytes=20_000)
        self.assertEqual((200, 200), self.statuses(raised, request(body_bytes=10_000)))

    def test_lowered_body_limit_holds_on_a_kept_connection(self) -> None:
        lowered = replace(LIMITS, body_bytes=1_000)
        self.assertEqual((200, 413), self.statuses(lowered, request(body_bytes=2_000)))

    def test_raised_header_limit_holds_on_a_kept_connection(self) -> None:
        raised = replace(LIMITS, header_bytes=200_000)
        self.assertEqual((200, 200), self.statuses(raised, request(header_bytes=100_000)))

    def test_lowered_header_limit_holds_on_a_kept_connection(self) -> None:
        lowered = replace(LIMITS, header_bytes=300)
        self.assertEqual((200, 431), self.statuses(lowered, request(header_bytes=PADDING_BYTES)))

    def test_head_without_an_end_is_limited_on_a_kept_connection(self) -> None:
        lowered = replace(LIMITS, header_bytes=300)
        endless = b"POST /a HTTP/1.1\r\nhost: a\r\nx: " + b"y" * PADDING_BYTES
        self.assertEqual((200, 431), self.statuses(lowered, endless))

    def test_a_request_goes_by_the_limits_at_its_head(self) -> None:
        statuses: list[int] = []

        async def test() -> None:
            kept = KeptConnection()
            await kept.open()
            data = request(body_bytes=2_000)
            kept._writer.write(data[:-1_000])
            await asyncio.sleep(0.05)
            kept.server.limits = replace(LIMITS, body_bytes=100)
            statuses.append(await kept.send(data[-1_000:]))
            await kept.close()

        run(test())
        self.assertEqual([200], statuses)
