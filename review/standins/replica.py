"""A stand-in of one replica: slots, a queue, work of a stated length, and a record of its runs."""

import asyncio
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from .store import Store
from .wire import ConnectionEndedError, Message, encode, read_message

HEARTBEAT_SECONDS = 1.2
DEFAULT_WORK_MS = 20.0


def _never(_status: int) -> bool:
    return False


class Replica:
    """Works on requests for as many milliseconds as their ``work`` parameter says.

    Parameters
    ----------
    service, replica_id, zone
        What its entry in the store says.
    note
        Takes what happens: a word, the request's id and details.
    slots, queue
        Requests that it works on at a time, and that wait beside them; further ones are rejected.
    """

    def __init__(
        self,
        service: str,
        replica_id: str,
        zone: str,
        note: Callable[..., None],
        slots: int = 2,
        queue: int = 8,
    ) -> None:
        self.service = service
        self.replica_id = replica_id
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.runs: list[str] = []
        self.arrived: list[str] = []
        self.answers = 0
        self.surplus_answers = 0
        self.repeats = 0
        """Requests whose id the request before them on their connection had, too."""
        self.address = ("", 0)
        self.state = "ready"
        self.beats = True
        """Whether the entry is written again and again; else once, since nothing in it changes."""
        self.has_surplus: Callable[[int], bool] = _never
        """Whether an answer of that status is sent once more, late (``garble``, extra late)."""
        self._note = note
        self._sequence = 0
        self._waiting = 0
        self._running = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int, store: Store) -> None:
        """Listen, and keep an entry in the store."""
        self.address = (host, port)
        self._server = await asyncio.start_server(self._serve, host, port)
        self._beat = asyncio.create_task(self._keep_entry(store))

    def close(self) -> None:
        """Stop listening and writing the entry."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()

    async def _keep_entry(self, store: Store) -> None:
        while True:
            store.put(f"servers/{self.replica_id}", self._entry())
            if not self.beats:
                return
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _entry(self) -> bytes:
        self._sequence += 1
        document = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
        }
        return json.dumps(document).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        surplus = b""
        last = ""
        try:
            while True:
                request = await read_message(reader)
                if request.header("request-id") == last:
                    self.repeats += 1
                last = request.header("request-id")
                if surplus:
                    # It arrives late, in the place of the answer that is due next.
                    writer.write(surplus)
                data = await self._respond(request, reader)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
                surplus = self._choose_surplus(data, request.header("request-id"))
        except (ConnectionEndedError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _choose_surplus(self, data: bytes, request_id: str) -> bytes:
        if not request_id:
            return b""
        self.answers += 1
        status = int(data.split(b" ", 2)[1])
        if not self.has_surplus(status):
            return b""
        self.surplus_answers += 1
        self._note("replica will repeat its answer", request_id, status, replica=self.replica_id)
        return data

    async def _respond(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Return the answer; ``None`` if the caller closed the connection meanwhile."""
        if urlsplit(request.target).path == "/health":
            return encode("HTTP/1.1 200 OK", {"Instance-Id": self.replica_id})
        request_id = request.header("request-id")
        self.arrived.append(request_id)
        expected = request.header("expected-instance")
        if expected and expected != self.replica_id:
            return encode("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.replica_id})
        if self._running >= self.slots and self._waiting >= self.queue:
            self._note("replica rejects, it is full", request_id, replica=self.replica_id)
            return self._answer("503 Service Unavailable", request_id, {"Not-Executed": "1"})
        left_seconds = float(request.header("deadline-ms") or 60_000) / 1000
        is_closed = asyncio.create_task(_closed(reader))
        work = asyncio.create_task(self._work(request, request_id, left_seconds))
        await asyncio.wait({is_closed, work}, return_when=asyncio.FIRST_COMPLETED)
        is_closed.cancel()
        if not work.done():
            work.cancel()
            self._note("replica dropped, its connection was closed", request_id)
            return None
        return work.result()

    async def _work(self, request: Message, request_id: str, left_seconds: float) -> bytes:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + left_seconds
        self._waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), left_seconds)
        except TimeoutError:
            return self._answer("503 Service Unavailable", request_id, {"Not-Executed": "1"})
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs.append(request_id)
            self._note("replica runs", request_id, replica=self.replica_id)
            query = parse_qs(urlsplit(request.target).query)
            seconds = float(query.get("work", [DEFAULT_WORK_MS])[0]) / 1000
            left_seconds = max(ends_at - loop.time(), 0.0)
            await asyncio.sleep(min(seconds, left_seconds))
            status = "200 OK" if seconds <= left_seconds else "504 Gateway Timeout"
            return self._answer(status, request_id, {"Server-Stamp": self._stamp(request_id)})
        finally:
            self._running -= 1
            self._free.release()

    def _stamp(self, request_id: str) -> str:
        return f"{self.replica_id}.{request_id}"

    def _answer(self, status: str, request_id: str, headers: dict[str, str]) -> bytes:
        load = f"{self._running},{self._waiting},{self.slots}"
        known = {"Request-Id": request_id, "Server-Load": load}
        return encode(f"HTTP/1.1 {status}", known | headers, f"body of {request_id}".encode())


async def _closed(reader: asyncio.StreamReader) -> None:
    """Return once the other side has closed the connection; it sends nothing while it waits."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.05)
