"""One request of a client on a connection, byte by byte, and what came of it."""

import asyncio
from typing import Any

import attrs
import h11

from .ledger import Attempt, Ending

READ_BYTES = 65_536
SLOW_PIECES = 4
"""Pieces in which a slow client sends a request."""


@attrs.frozen
class Answer:
    """A whole answer; header names are in lower case, repeated ones joined with commas."""

    status: int
    headers: dict[str, str]
    body: bytes


class MalformedAnswerError(Exception):
    """What came is no answer in the protocol."""


class ConnectionClosedError(Exception):
    """The connection ended before the answer was whole."""


class ClientConnection:
    """An open connection of a client; it serves one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.requests = 0
        """Requests that were sent on it."""

    @classmethod
    async def open(cls, host: str, port: int, seconds: float) -> "ClientConnection":
        """Open a connection.

        Raises
        ------
        OSError, TimeoutError
            It did not come up.
        """
        async with asyncio.timeout(seconds):
            return cls(*await asyncio.open_connection(host, port))

    @property
    def is_open(self) -> bool:
        """Whether the client has not heard that the connection has ended."""
        return not self._reader.at_eof() and self._reader.exception() is None

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def send(
        self, attempt: Attempt, headers: list[tuple[str, str]], send_seconds: float
    ) -> None:
        """Send a request, in pieces over ``send_seconds`` if that is not 0."""
        self.requests += 1
        if attempt.body:
            headers = [*headers, ("Content-Length", str(len(attempt.body)))]
        head = h11.Request(method=attempt.method, target=attempt.target, headers=headers)
        data = self._http.send(head) or b""
        if attempt.body:
            data += self._http.send(h11.Data(data=attempt.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        size = max(len(data) // SLOW_PIECES, 1) if send_seconds else len(data)
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(send_seconds / SLOW_PIECES)
            self._writer.write(piece)
        attempt.last_byte_at = asyncio.get_running_loop().time()

    async def receive(self) -> Answer:
        """Return the answer to the request that was sent.

        Raises
        ------
        ConnectionClosedError
            The connection ended first.
        MalformedAnswerError
            What came is no answer.
        """
        head: h11.Response | None = None
        body = bytearray()
        try:
            while True:
                event: Any = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self._read())
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionClosedError
        except h11.RemoteProtocolError as error:
            if not self.is_open:
                raise ConnectionClosedError from error
            raise MalformedAnswerError(str(error)) from error
        assert head is not None
        return Answer(head.status_code, _joined(head), bytes(body))

    def next_request(self) -> bool:
        """Make ready for the next request; return whether the connection can take one."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return self.is_open

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(READ_BYTES)
        except OSError as error:
            raise ConnectionClosedError from error


async def perform(
    connection: ClientConnection,
    attempt: Attempt,
    headers: list[tuple[str, str]],
    send_seconds: float,
    leaves_after_seconds: float | None,
) -> None:
    """Send a request, wait for its answer and note in the attempt how it ended.

    Parameters
    ----------
    leaves_after_seconds
        Time after which the client closes its connection; ``None``: it waits to its deadline.
    """
    seconds = attempt.deadline_seconds
    ending = Ending.DEADLINE
    if leaves_after_seconds is not None and leaves_after_seconds < seconds:
        seconds, ending = leaves_after_seconds, Ending.LEFT
    try:
        async with asyncio.timeout(seconds):
            await connection.send(attempt, headers, send_seconds)
            answer = await connection.receive()
        attempt.ending = Ending.ANSWERED
        attempt.status, attempt.headers = answer.status, answer.headers
        attempt.answer_body = answer.body
    except TimeoutError:
        attempt.ending = ending
    except (ConnectionClosedError, OSError):
        attempt.ending = Ending.CLOSED
    except MalformedAnswerError:
        attempt.ending = Ending.MALFORMED
    attempt.ended_at = asyncio.get_running_loop().time()


def _joined(head: h11.Response) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw_name, raw_text in head.headers:
        name, text = raw_name.decode("latin-1"), raw_text.decode("latin-1")
        headers[name] = f"{headers[name]}, {text}" if name in headers else text
    return headers
