"""A proxy between one node and the store that holds up bytes, as a partition does."""

import asyncio

LONG_POLL_MS = 1000
STEP_SECONDS = 0.01


class StoreProxy:
    """Passes bytes on, and holds up those of either direction for a while.

    Parameters
    ----------
    host, port
        Where the store listens.
    """

    def __init__(self, host: str, port: int) -> None:
        self.to_store_held_until = float("-inf")
        self.from_store_held_until = float("-inf")
        self.long_polls = 0
        """Watches that the store may hold for a second or longer."""
        self._address = (host, port)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            store_reader, store_writer = await asyncio.open_connection(*self._address)
            await asyncio.gather(
                self._pass_on(reader, store_writer, True),
                self._pass_on(store_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_to_store: bool
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if is_to_store:
                    self._count_long_poll(data)
                while self._is_held(is_to_store):
                    await asyncio.sleep(STEP_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _is_held(self, is_to_store: bool) -> bool:
        until = self.to_store_held_until if is_to_store else self.from_store_held_until
        return asyncio.get_running_loop().time() < until

    def _count_long_poll(self, data: bytes) -> None:
        _, found, rest = data.partition(b"waitMs=")
        if found and int(rest.split(b" ", 1)[0]) >= LONG_POLL_MS:
            self.long_polls += 1
