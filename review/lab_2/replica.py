"""A stand-in of a sound replica, which notes what it runs."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .node import HOST

RECORD_BYTES = 16
RECORDS = 4
_SIGNATURES = itertools.count(1)


@dataclass
class Run:
    """A request that a replica has started to work on, or rejected."""

    request_id: str
    service: str
    replica_id: str
    headers: dict[str, str]
    arrived_at: float
    has_run: bool = False
    ended_at: float = 0.0
    signature: str = ""
    body: bytes = b""


@dataclass
class Replica:
    """Serves one request at a time on each connection, and ``slots`` at a time in all.

    Parameters
    ----------
    work
        Returns how long the work on a request takes, in seconds.
    """

    replica_id: str
    service: str
    zone: str
    work: Callable[["Run"], float]
    slots: int = 16
    queue: int = 64
    runs: list[Run] = field(default_factory=list)
    port: int = 0
    """Where it listens."""

    def __post_init__(self) -> None:
        """Prepare what belongs to the event loop."""
        self._free = asyncio.Semaphore(self.slots)
        self._running = 0
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process does that is killed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, sequence: int = 1) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": sequence,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
        headers = {name.lower(): text.strip() for name, text in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        now = asyncio.get_running_loop().time()
        request_id = headers.get("request-id", "")
        run = Run(request_id, self.service, self.replica_id, headers, now)
        self.runs.append(run)
        expected = headers.get("expected-instance", self.replica_id)
        if expected != self.replica_id:
            await self._answer(writer, run, "421 Misdirected Request", "Not-Executed: 1\r\n")
            return True
        if self._running >= self.slots and self._waiting >= self.queue:
            await self._answer(writer, run, "503 Service Unavailable", "Not-Executed: 1\r\n")
            return True
        return await self._work_while_connected(reader, writer, run)

    async def _work_while_connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, run: Run
    ) -> bool:
        """Work on a request; drop it when its connection closes."""
        working = asyncio.create_task(self._run(run))
        closing = asyncio.create_task(reader.read(1))
        await asyncio.wait({working, closing}, return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            working.cancel()
            return False
        closing.cancel()
        await asyncio.gather(closing, return_exceptions=True)
        if working.result():
            await self._answer(writer, run, "200 OK", f"Server-Stamp: {run.signature}\r\n")
        else:
            await self._answer(writer, run, "503 Service Unavailable", "Not-Executed: 1\r\n")
        return True

    async def _run(self, run: Run) -> bool:
        loop = asyncio.get_running_loop()
        ends_at = run.arrived_at + float(run.headers.get("deadline-ms", "60000")) / 1000.0
        self._waiting += 1
        try:
            async with asyncio.timeout_at(ends_at):
                await self._free.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        self._running += 1
        run.has_run = True
        try:
            await asyncio.sleep(self.work(run))
        finally:
            run.ended_at = loop.time()
            self._running -= 1
            self._free.release()
        run.signature = f"{self.replica_id}.{next(_SIGNATURES)}"
        run.body = random.Random(run.signature).randbytes(RECORD_BYTES * RECORDS)
        return True

    async def _answer(
        self, writer: asyncio.StreamWriter, run: Run, status: str, headers: str
    ) -> None:
        head = (
            f"HTTP/1.1 {status}\r\nRequest-Id: {run.request_id}\r\n{headers}"
            f"Server-Load: {self._running},{self._waiting},{self.slots}\r\n"
            f"Content-Length: {len(run.body)}\r\n\r\n"
        )
        writer.write(head.encode("latin-1") + run.body)
        await writer.drain()
