"""Starts and ends processes of wingquay; only processes started here are ever signalled."""

import asyncio
import os
import random
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

LOOPBACK = "127.0.0.1"
CONNECT_RETRY_SECONDS = 0.05
START_LIMIT_SECONDS = 15.0
KILL_LIMIT_SECONDS = 5.0
FIRST_PORT = 20_000
LAST_PORT = 32_000

_PORTS = random.SystemRandom()


class StartError(Exception):
    """A process did not come up."""


def free_port() -> int:
    """Return a port that is free for TCP and UDP, outside the range of outgoing connections."""
    while True:
        port = _PORTS.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind((LOOPBACK, port))
                datagram.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


@dataclass(slots=True)
class Process:
    """One process.

    Parameters
    ----------
    was_killed
        Whether it was killed or paused on purpose, so that broken exchanges with it are expected.
    """

    name: str
    arguments: list[str]
    port: int
    log_path: Path
    process: asyncio.subprocess.Process = field(init=False)
    was_killed: bool = False

    async def start(self) -> None:
        """Start it and wait until its port accepts connections."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wingquay",
                *self.arguments,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.environ.get("PYTHONPATH", ".")},
            )
        try:
            async with asyncio.timeout(START_LIMIT_SECONDS):
                while not await self._accepts():
                    await asyncio.sleep(CONNECT_RETRY_SECONDS)
        except TimeoutError:
            raise StartError(f"{self.name} does not listen; see {self.log_path}") from None

    async def _accepts(self) -> bool:
        if self.process.returncode is not None:
            raise StartError(f"{self.name} ended with code {self.process.returncode}")
        try:
            _, writer = await asyncio.open_connection(LOOPBACK, self.port)
        except OSError:
            return False
        writer.close()
        return True

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    async def kill(self) -> None:
        """End it at once, without a word."""
        self.was_killed = True
        await self.end()

    async def stop(self, limit_seconds: float) -> int | None:
        """Ask for the planned stop; return the exit code, ``None`` if it did not end in time."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), limit_seconds)
        except TimeoutError:
            return None

    async def pause(self, seconds: float) -> None:
        """Freeze it for a while."""
        self.was_killed = True
        self.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.process.send_signal(signal.SIGCONT)

    async def end(self) -> None:
        """Make sure that it has ended."""
        if not self.is_running:
            return
        self.process.kill()
        await asyncio.wait_for(self.process.wait(), KILL_LIMIT_SECONDS)
