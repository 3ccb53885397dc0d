"""Keep-alive connections by address, bounded by a limit given with each use."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..model.failure import Failure
from .http_client_connection import ClientConnection
from .http_messages import HttpFailureKind

Address = tuple[str, int]
"""IP number and port."""

Borrowed = Callable[[ClientConnection | Failure[HttpFailureKind]], None]
"""Takes the borrowed connection, or why there is none."""


@dataclass(slots=True)
class _AddressPool:
    """Connections to one address; ``open_count`` includes those being made and those in use."""

    idle: list[ClientConnection] = field(default_factory=list)
    open_count: int = 0
    connection_limit: int = 0


class HttpConnectionPool:
    """Lends connections; the one used last is lent first, so that surplus ones fall idle.

    Parameters
    ----------
    header_bytes
        Bound on the status line and headers of a response.
    idle_seconds
        Connections idle for longer are closed.
    """

    def __init__(self, header_bytes: int, idle_seconds: float) -> None:
        self._header_bytes = header_bytes
        self._idle_seconds = idle_seconds
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Address, _AddressPool] = {}
        self._connections: dict[ClientConnection, Address] = {}
        self._connecting: dict[asyncio.Task[None], Address] = {}
        self._sweep_timer = self._loop.call_later(idle_seconds, self._sweep)

    def open_count(self, address: Address) -> int:
        """Return the number of connections to ``address``, those being made included."""
        pool = self._pools.get(address)
        return 0 if pool is None else pool.open_count

    def connection_limit(self, address: Address) -> int | None:
        """Return the limit last given for ``address``, or ``None`` without a connection to it."""
        pool = self._pools.get(address)
        return None if pool is None else pool.connection_limit

    def borrow_idle(
        self, address: Address, max_idle_seconds: float | None = None
    ) -> ClientConnection | None:
        """Lend the connection that was used last, or return ``None`` if there is none.

        One that was idle for longer than ``max_idle_seconds`` (default: the pool's limit) is
        closed instead: the longer it was idle, the likelier the other side is closing it.
        """
        pool = self._pools.get(address)
        if pool is None:
            return None
        limit_seconds = self._idle_seconds if max_idle_seconds is None else max_idle_seconds
        while pool.idle:
            connection = pool.idle.pop()
            if not connection.is_usable:
                continue
            if self._loop.time() - connection.idle_since_seconds <= limit_seconds:
                return connection
            connection.abort()
            return None
        return None

    def connect(
        self,
        address: Address,
        connection_limit: int,
        on_borrowed: Borrowed,
    ) -> asyncio.Task[None] | Failure[HttpFailureKind]:
        """Begin to make a connection, unless the limit is reached.

        Cancelling the returned task ends the attempt, and ``on_borrowed`` is not called.
        """
        pool = self._pools.setdefault(address, _AddressPool())
        pool.connection_limit = connection_limit
        if pool.open_count >= connection_limit:
            reason = f"all {connection_limit} connections to {_text(address)} are in use"
            return Failure(HttpFailureKind.NO_CONNECTION_FREE, reason)
        pool.open_count += 1
        task = self._loop.create_task(self._connect(address, on_borrowed))
        self._connecting[task] = address
        task.add_done_callback(self._connecting_ended)
        return task

    async def close(self) -> None:
        """End every connection at once."""
        self._sweep_timer.cancel()
        tasks = list(self._connecting)
        for task in tasks:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)

    async def _connect(self, address: Address, on_borrowed: Borrowed) -> None:
        task = asyncio.current_task()
        assert task is not None

        def make_connection() -> ClientConnection:
            connection = ClientConnection(address, self._header_bytes, self._freed, self._closed)
            # From here on the connection, not the task, holds the place in the pool.
            self._connections[connection] = address
            del self._connecting[task]
            return connection

        try:
            _, connection = await self._loop.create_connection(make_connection, *address)
        except OSError as error:
            self._connecting_ended(task)
            reason = f"cannot connect to {_text(address)}: {error}"
            on_borrowed(Failure(HttpFailureKind.CONNECT_FAILED, reason))
            return
        on_borrowed(connection)

    def _connecting_ended(self, task: asyncio.Task[None]) -> None:
        address = self._connecting.pop(task, None)
        if address is not None:
            self._give_back_place(address)

    def _give_back_place(self, address: Address) -> None:
        pool = self._pools[address]
        pool.open_count -= 1
        if pool.open_count == 0:
            del self._pools[address]

    def _freed(self, connection: ClientConnection) -> None:
        pool = self._pools[self._connections[connection]]
        if pool.open_count > pool.connection_limit:
            connection.abort()
            return
        connection.idle_since_seconds = self._loop.time()
        pool.idle.append(connection)

    def _closed(self, connection: ClientConnection) -> None:
        address = self._connections.pop(connection)
        idle = self._pools[address].idle
        if connection in idle:
            idle.remove(connection)
        self._give_back_place(address)

    def _sweep(self) -> None:
        """Close connections that were idle too long; the longest idle stand first."""
        oldest_allowed_seconds = self._loop.time() - self._idle_seconds
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                if connection.idle_since_seconds < oldest_allowed_seconds:
                    pool.idle.remove(connection)
                    connection.abort()
        self._sweep_timer = self._loop.call_later(self._idle_seconds, self._sweep)


def _text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
