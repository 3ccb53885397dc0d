"""A stand-in of one replica: slots, a queue, work of a stated length, and a note of each request.

It writes its answers as raw bytes, because a faulty replica sends what no HTTP library would.
"""

import asyncio
import hashlib
from collections.abc import Callable
from itertools import count
from typing import cast
from urllib.parse import parse_qs, urlsplit

import h11

from ...adapters.http_messages import HttpLimits, HttpRequest
from ...adapters.http_request_reader import RequestReader
from ...model.replica_record import ReplicaRecord
from ..names import DEADLINE_MS, EXPECTED_REPLICA, REQUEST_ID, TENANT
from .replica_behaviour import Fate, ReplicaBehaviour
from .replica_record import Arrival, ArrivalEnd

WORK_PARAMETER = "work"
"""Query parameter with the milliseconds of work."""
DEFAULT_WORK_MS = 20.0
RECORD_BYTES = 16
RECORDS = 6
"""Records in the body of each answer."""
MILLISECONDS_PER_SECOND = 1000.0
LIMITS = HttpLimits(header_bytes=65_536, body_bytes=16_777_216)
GARBAGE = b"\x00\x17no answer\r\n\r\n"

_REQUEST_ID_KEY = REQUEST_ID.decode().lower()
_DEADLINE_KEY = DEADLINE_MS.decode().lower()
_EXPECTED_KEY = EXPECTED_REPLICA.decode().lower()
_TENANT_KEY = TENANT.decode().lower()


class StandInReplica:
    """One incarnation of a replica.

    Parameters
    ----------
    record
        What its entry in the store says; the port is that of ``start``.
    behaviour
        What it does to requests besides its work.
    note
        Takes each request that reaches it, at once.
    queue_length
        Requests that wait beside those that it works on; further ones are rejected.
    """

    def __init__(
        self,
        record: ReplicaRecord,
        behaviour: ReplicaBehaviour,
        note: Callable[[Arrival], None],
        queue_length: int = 8,
    ) -> None:
        self.record = record
        self.behaviour = behaviour
        self.note = note
        self._queue_length = queue_length
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(record.slots)
        self._signatures = count(1)
        self._server: asyncio.Server | None = None
        self.connections: dict[ReplicaServerConnection, None] = {}
        """Open connections."""

    async def start(self, port: int = 0) -> int:
        """Listen at the record's host; return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ReplicaServerConnection(self), self.record.host, port
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def end(self) -> None:
        """End at once, as a process that is killed: connections close, nothing runs on."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.end(ArrivalEnd.ENDED)

    def reset_connections(self) -> None:
        """Close all connections; requests on them are dropped."""
        for connection in list(self.connections):
            connection.end(ArrivalEnd.DROPPED)

    async def answer(self, arrival: Arrival, request: HttpRequest) -> bytes | None:
        """Handle a request; return the bytes to send, or ``None`` to close the connection."""
        expected = request.headers.get(_EXPECTED_KEY)
        if expected and expected != self.record.replica_id:
            return self._reject(arrival, "421 Misdirected Request", ArrivalEnd.MISDIRECTED)
        is_full = self._running >= self.record.slots and self._waiting >= self._queue_length
        if self.behaviour.rejects_all or is_full:
            return self._reject(arrival, "503 Service Unavailable", ArrivalEnd.REJECTED)
        fate = self.behaviour.draw_fate()
        if fate is Fate.SILENT:
            await asyncio.get_running_loop().create_future()
        return await self._work(arrival, request, fate)

    async def _work(self, arrival: Arrival, request: HttpRequest, fate: Fate) -> bytes | None:
        loop = asyncio.get_running_loop()
        ends_at = arrival.arrived_at + (arrival.deadline_seconds or 60.0)
        self._waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), ends_at - loop.time())
        except TimeoutError:
            return self._reject(arrival, "503 Service Unavailable", ArrivalEnd.REJECTED)
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            arrival.started_at = loop.time()
            seconds = self._work_seconds(request)
            left_seconds = max(ends_at - loop.time(), 0.0)
            await asyncio.sleep(min(seconds, left_seconds))
            return self._give(arrival, fate, seconds <= left_seconds)
        finally:
            self._running -= 1
            self._free.release()

    def _work_seconds(self, request: HttpRequest) -> float:
        query = parse_qs(urlsplit(request.target.decode("ascii")).query)
        milliseconds = float(query.get(WORK_PARAMETER, [str(DEFAULT_WORK_MS)])[0])
        return milliseconds / MILLISECONDS_PER_SECOND * self.behaviour.slowdown

    def _reject(self, arrival: Arrival, status: str, end: ArrivalEnd) -> bytes:
        self._finish(arrival, end)
        return self._encode(arrival, status, "Not-Executed: 1\r\n", b"")

    def _give(self, arrival: Arrival, fate: Fate, is_in_time: bool) -> bytes | None:
        """Return what is sent for a request that has run."""
        arrival.signature = (
            f"{self.record.replica_id}.{arrival.request_id}.{next(self._signatures)}"
        )
        arrival.status = 200 if is_in_time else 504
        if fate is Fate.FAILED:
            arrival.status = 500
        arrival.answer_body = records_of(arrival.signature)
        stamp = f"Server-Stamp: {arrival.signature}\r\n"
        data = self._encode(arrival, f"{arrival.status} X", stamp, arrival.answer_body)
        withheld = {
            Fate.ANSWER_LOST: None,
            Fate.CUT_SHORT: data[: len(data) - RECORD_BYTES - 3],
            Fate.GARBLED: GARBAGE,
        }
        is_whole = fate not in withheld
        self._finish(arrival, ArrivalEnd.ANSWERED if is_whole else ArrivalEnd.ANSWER_WITHHELD)
        if not is_whole:
            return withheld[fate]
        return data * 2 if fate is Fate.DOUBLED else data

    def _encode(self, arrival: Arrival, status: str, headers: str, body: bytes) -> bytes:
        load = f"{self._running},{self._waiting},{self.record.slots}"
        head = (
            f"HTTP/1.1 {status}\r\nRequest-Id: {arrival.request_id}\r\nServer-Load: {load}\r\n"
            f"{headers}Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode("latin-1") + body

    @staticmethod
    def _finish(arrival: Arrival, end: ArrivalEnd) -> None:
        arrival.end = end
        arrival.ended_at = asyncio.get_running_loop().time()


class ReplicaServerConnection(asyncio.Protocol):
    """A connection to a stand-in replica, on which requests are handled one after another."""

    def __init__(self, replica: StandInReplica) -> None:
        self._replica = replica
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=LIMITS.header_bytes)
        self._reader = RequestReader(self._http, lambda: LIMITS)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._arrival: Arrival | None = None
        self._late_repeat = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport (asyncio calls this)."""
        self._transport = cast(asyncio.Transport, transport)
        self._replica.connections[self] = None

    def data_received(self, data: bytes) -> None:
        """Take in bytes of a request (asyncio calls this)."""
        self._http.receive_data(data)
        if self._task is None:
            self._read()

    def eof_received(self) -> None:
        """Drop what is under way (asyncio calls this)."""
        self.end(ArrivalEnd.DROPPED)

    def connection_lost(self, error: Exception | None) -> None:
        """Drop what is under way (asyncio calls this)."""
        self.end(ArrivalEnd.DROPPED)

    def end(self, end: ArrivalEnd) -> None:
        """Close the connection; a request under way ends so."""
        self._replica.connections.pop(self, None)
        if self._task is not None:
            self._task.cancel()
        arrival, self._arrival = self._arrival, None
        if arrival is not None and arrival.end is ArrivalEnd.OPEN:
            arrival.end = end
            arrival.ended_at = asyncio.get_running_loop().time()
        if self._transport is not None:
            self._transport.abort()

    def _read(self) -> None:
        request = self._reader.next_request()
        if isinstance(request, HttpRequest):
            arrival = self._arrived(request)
            self._arrival = arrival
            self._replica.note(arrival)
            work = self._handle(arrival, request)
            self._task = asyncio.get_running_loop().create_task(work)

    def _arrived(self, request: HttpRequest) -> Arrival:
        headers = request.headers
        deadline = headers.get(_DEADLINE_KEY)
        record = self._replica.record
        return Arrival(
            headers.get(_REQUEST_ID_KEY, ""),
            record.service,
            record.replica_id,
            asyncio.get_running_loop().time(),
            request.method,
            request.target.decode("ascii"),
            request.body,
            None if deadline is None else float(deadline) / MILLISECONDS_PER_SECOND,
            headers.get(_TENANT_KEY, ""),
            "authorization" in headers,
        )

    async def _handle(self, arrival: Arrival, request: HttpRequest) -> None:
        # A late repeat stands in the place of the answer that is due next.
        late_repeat, self._late_repeat = self._late_repeat, b""
        self._write(late_repeat)
        data = await self._replica.answer(arrival, request)
        self._task = None
        self._arrival = None
        is_whole = arrival.end is not ArrivalEnd.ANSWER_WITHHELD
        self._write(data or b"")
        if data is None or not is_whole:
            self._close()
            return
        if self._replica.behaviour.repeats_late():
            self._late_repeat = data
        # The parser sees only requests; a response without content completes the cycle.
        self._http.send(h11.Response(status_code=204, headers=[]))
        self._http.send(h11.EndOfMessage())
        self._http.start_next_cycle()
        self._reader.forget_request()
        if self._http.trailing_data[0]:
            self._read()

    def _write(self, data: bytes) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        self._replica.connections.pop(self, None)
        if self._transport is not None:
            self._transport.close()


def records_of(signature: str) -> bytes:
    """Return the records in the body that a signature stands for."""
    return b"".join(
        hashlib.blake2b(f"{signature}/{number}".encode(), digest_size=RECORD_BYTES).digest()
        for number in range(RECORDS)
    )
