"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass, field

LINE_END = b"\r\n"


class ConnectionEndedError(Exception):
    """The other side ended the connection before a message was whole."""


@dataclass
class Message:
    """A request or a response: its first line, its headers and its body."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ", 2)[1]

    def header(self, name: str) -> str:
        """Return a header; empty if it is missing."""
        return self.headers.get(name.lower(), "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length.

    Raises
    ------
    ConnectionEndedError
        The connection ended first.
    """
    try:
        head = await reader.readuntil(LINE_END * 2)
        lines = head.decode("latin-1").split("\r\n")
        message = Message(lines[0])
        for line in lines[1:]:
            name, separator, text = line.partition(":")
            if separator:
                message.headers[name.strip().lower()] = text.strip()
        message.body = await reader.readexactly(int(message.header("content-length") or 0))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionEndedError(type(error).__name__) from error
    return message


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message as bytes."""
    lines = [first_line, *(f"{name}: {text}" for name, text in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + LINE_END * 2 + body
