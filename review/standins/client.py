"""A stand-in of a client that keeps its connection, as PROTOCOL.md lets clients do."""

import asyncio
from dataclasses import dataclass

from .wire import ConnectionEndedError, Message, encode, read_message


@dataclass
class Outcome:
    """What a client saw of one attempt.

    Parameters
    ----------
    sent_at, ended_at
        Times on the loop's clock.
    answer
        The whole answer; ``None`` if there was none.
    ending
        Why there is none.
    """

    request_id: str
    node: str
    sent_at: float
    ended_at: float = 0.0
    answer: Message | None = None
    ending: str = ""

    @property
    def text(self) -> str:
        """Return the status, or why there is none."""
        return self.ending if self.answer is None else str(self.answer.status)


class Client:
    """Sends one request at a time to one node."""

    def __init__(self, node: str, host: str, port: int) -> None:
        self.node = node
        self._address = (host, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as the client has heard."""
        return self._reader is not None and not self._reader.at_eof()

    async def connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(*self._address)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self,
        host: str,
        target: str,
        request_id: str,
        deadline_ms: int,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Outcome:
        """Send a request on the open connection and wait for its answer, until its deadline."""
        loop = asyncio.get_running_loop()
        if not self.is_open:
            await self.connect()
        assert self._reader is not None and self._writer is not None
        known = {"Host": host, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        outcome = Outcome(request_id, self.node, loop.time())
        try:
            self._writer.write(encode(f"{method} {target} HTTP/1.1", known | (headers or {}), body))
            await self._writer.drain()
            outcome.answer = await asyncio.wait_for(
                read_message(self._reader), deadline_ms / 1000 + 1.0
            )
            if outcome.answer.header("connection").lower() == "close":
                self.close()
        except TimeoutError:
            outcome.ending = "no answer at the deadline"
            self.close()
        except (ConnectionEndedError, OSError) as error:
            outcome.ending = f"closed without an answer ({error})"
            self.close()
        outcome.ended_at = loop.time()
        return outcome
