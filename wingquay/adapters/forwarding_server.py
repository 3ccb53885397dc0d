"""Takes in requests that are passed on and sends their replies."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from ..model.routing_table import CallerLimits
from ..ports.forwarding import (
    CallerDisconnected,
    ForwardRequested,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    SetForwarding,
)
from ..ports.machine import Event
from .http_messages import HttpLimits, HttpRequest, HttpResponse
from .http_server import HttpServer

CONNECTIONS = 3_000
"""Connections of callers; descriptors are left for replicas and the store."""

Reply = ReplyUnchanged | ReplyMerged | ReplyFailure


class CallerDialect(Protocol):
    """How callers' requests and the replies to them are written; the platform provides it."""

    def understand(self, exchange_id: int, request: HttpRequest) -> ForwardRequested | HttpResponse:
        """Return a request in the terms of the port, or the answer to one that has no form."""
        ...

    def response(self, reply: Reply) -> HttpResponse:
        """Return a reply as the caller takes it."""
        ...

    def refusal(self, status: int, reason: str) -> HttpResponse:
        """Return the answer to a request that the server itself refuses."""
        ...


class ForwardingServer:
    """Emits ``ForwardRequested`` and ``CallerDisconnected``; performs the replies.

    Parameters
    ----------
    dialect
        Understands requests and writes replies.
    emit
        Takes the events.
    """

    def __init__(self, dialect: CallerDialect, emit: Callable[[Event], None]) -> None:
        self._dialect = dialect
        self._emit = emit
        self._next_id = 0
        self._waiting: dict[int, asyncio.Future[HttpResponse]] = {}
        limits = http_limits(CallerLimits())
        self._server = HttpServer(self._serve, limits, dialect.refusal)
        self._server.measures_transit = True

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        return await self._server.start(host, port)

    async def serve_on(self, listening: socket.socket) -> None:
        """Accept connections on a socket that listens already."""
        await self._server.serve_on(listening)

    async def close(self, grace_seconds: float) -> None:
        """Stop listening and end every connection, waiting for replies under way."""
        await self._server.close(grace_seconds)

    def configure(self, action: SetForwarding) -> None:
        """Follow the limits in force, and close connections of callers that are to go elsewhere."""
        self._server.limits = http_limits(action.limits)
        self._server.is_leaving = action.closes_connections
        if action.closes_idle:
            self._server.close_idle()

    def reply(self, reply: Reply) -> None:
        """Answer a caller."""
        future = self._waiting.pop(reply.exchange_id, None)
        if future is not None and not future.done():
            future.set_result(self._dialect.response(reply))

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        self._next_id += 1
        exchange_id = self._next_id
        event = self._dialect.understand(exchange_id, request)
        if isinstance(event, HttpResponse):
            return event
        future: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()
        self._waiting[exchange_id] = future
        self._emit(event)
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(exchange_id, None)
            self._emit(CallerDisconnected(exchange_id))
            raise


def http_limits(limits: CallerLimits) -> HttpLimits:
    """Return the server's limits for what callers may cost."""
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        idle_seconds=limits.idle_seconds,
        request_read_seconds=limits.request_read_seconds,
        connections=CONNECTIONS,
    )
