"""Child processes of a benchmark: started as Python modules, told apart by their ids."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

STOP_SECONDS = 8.0
LINE_SECONDS = 60.0
LINE_BYTES = 1_048_576


class ChildProcess:
    """A Python module that runs in a process of its own and talks by lines on its output."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    @staticmethod
    async def start(
        module: str,
        arguments: Sequence[str],
        error_file: Path | None = None,
    ) -> "ChildProcess":
        """Start ``python -m module``; its error stream goes to ``error_file``, or to ours."""
        command = [sys.executable, "-m", module, *arguments]
        with contextlib.ExitStack() as stack:
            errors = None if error_file is None else stack.enter_context(error_file.open("ab"))
            process = await asyncio.create_subprocess_exec(
                *command, stdout=asyncio.subprocess.PIPE, stderr=errors, limit=LINE_BYTES
            )
        return ChildProcess(process)

    @property
    def process_id(self) -> int:
        """The id by which the system accounts for the process."""
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the process is gone."""
        return self._process.returncode is not None

    async def line(self) -> str:
        """Return the next line of its output.

        Raises
        ------
        EOFError
            The process ended first.
        TimeoutError
            No line came within a minute.
        """
        assert self._process.stdout is not None
        async with asyncio.timeout(LINE_SECONDS):
            line = await self._process.stdout.readline()
        if not line:
            raise EOFError(f"process {self.process_id} ended without a line")
        return line.decode().rstrip("\n")

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(signal_number)

    async def stop(self) -> None:
        """Ask the process to end, and end it if it does not."""
        if self.has_ended:
            return
        self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
