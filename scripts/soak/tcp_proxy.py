"""A proxy on one TCP address that delays, holds, drops, resets and cuts what passes it."""

import asyncio

import attrs

READ_BYTES = 65_536
STEP_SECONDS = 0.02


@attrs.define(slots=True)
class ProxyTrouble:
    """What happens to bytes; nothing at first.

    Parameters
    ----------
    delay_seconds
        Time that each piece is late, in both directions.
    holds_to_server, holds_to_client
        Whether bytes of a direction wait; they go on when that ends.
    drops
        Whether bytes of both directions are lost. Their connections stay silent for good.
    refuses
        Whether new connections are closed at once.
    """

    delay_seconds: float = 0.0
    holds_to_server: bool = False
    holds_to_client: bool = False
    drops: bool = False
    refuses: bool = False


class TcpProxy:
    """Passes bytes between clients and one server.

    Parameters
    ----------
    host, port
        Where the server listens.
    """

    def __init__(self, host: str, port: int) -> None:
        self.trouble = ProxyTrouble()
        self._address = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, None] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    async def start(self, host: str) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        self._writers[writer] = None
        try:
            if not self.trouble.refuses:
                await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._writers.pop(writer, None)
            self._tasks.pop(task, None)

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection(*self._address)
        self._writers[server_writer] = None
        try:
            directions = (
                asyncio.create_task(self._pass_on(reader, server_writer, True)),
                asyncio.create_task(self._pass_on(server_reader, writer, False)),
            )
            done, pending = await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in pending:
                direction.cancel()
            await asyncio.gather(*done, *pending, return_exceptions=True)
        finally:
            server_writer.transport.abort()
            self._writers.pop(server_writer, None)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_to_server: bool
    ) -> None:
        is_silent = False
        while data := await reader.read(READ_BYTES):
            if self.trouble.delay_seconds:
                await asyncio.sleep(self.trouble.delay_seconds)
            while self._is_held(is_to_server):
                await asyncio.sleep(STEP_SECONDS)
            is_silent = is_silent or self.trouble.drops
            if not is_silent:
                writer.write(data)
                await writer.drain()

    def _is_held(self, is_to_server: bool) -> bool:
        if is_to_server:
            return self.trouble.holds_to_server
        return self.trouble.holds_to_client
