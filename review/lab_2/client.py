"""A stand-in of sound clients: kept connections, one request at a time on each."""

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field

from .node import HOST

_NUMBERS = itertools.count(1)


@dataclass
class Request:
    """One client attempt and what came back."""

    request_id: str
    target: str
    sent_at: float
    status: int = 0
    """0: the connection ended without an answer."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended_at: float = 0.0


def new_id() -> str:
    """Return a request id that was never used before."""
    return f"{next(_NUMBERS):08x}{secrets.token_hex(4)}"


class Client:
    """Sends requests to one node over as many kept connections as are needed."""

    def __init__(self, port: int, host_header: str) -> None:
        self._port = port
        self._host_header = host_header
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.requests: list[Request] = []

    async def send(self, target: str, deadline_ms: int) -> Request:
        """Send a request and wait for its answer."""
        loop = asyncio.get_running_loop()
        request = Request(new_id(), target, loop.time())
        self.requests.append(request)
        lines = [
            f"GET {target} HTTP/1.1",
            f"Host: {self._host_header}",
            f"Request-Id: {request.request_id}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        data = "\r\n".join([*lines, "", ""]).encode("latin-1")
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                await self._exchange(request, data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        request.ended_at = loop.time()
        return request

    async def _exchange(self, request: Request, data: bytes) -> None:
        reader, writer = await self._connection()
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ", 2)[1])
            for line in lines[1:]:
                name, _, text = line.partition(":")
                if name:
                    key = name.lower()
                    known = request.headers.get(key)
                    request.headers[key] = text.strip() if known is None else f"{known}, {text}"
            length = int(request.headers.get("content-length", "0"))
            request.body = await reader.readexactly(length)
            request.status = status
        except BaseException:
            writer.transport.abort()
            raise
        if request.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return await asyncio.open_connection(HOST, self._port)

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()
