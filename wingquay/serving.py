"""Runs a node until a signal stops it."""

import asyncio
import signal
import sys

from .adapters.log_writer import LogWriter, write_logs_to
from .adapters.settings import Settings
from .adapters.settings_tuning import node_machine_settings
from .commands.exit_codes import FAILED, OK
from .node import Node
from .ports.machine import Exit, Log, LogLevel

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
STOP_OVERRUN_SECONDS = 5.0
"""How much longer than its own bound a planned stop may take before it is ended from here."""


class StopSignals:
    """The first signal asks for the planned stop; the second one ends it.

    Parameters
    ----------
    node
        The node to be stopped.
    stop_seconds
        Time after the first signal at which the stop is ended in any case.
    """

    def __init__(self, node: Node, stop_seconds: float) -> None:
        self._node = node
        self._stop_seconds = stop_seconds
        self._loop = asyncio.get_running_loop()
        self._ended: asyncio.Future[str] = self._loop.create_future()
        self._is_stopping = False

    def receive(self) -> None:
        """Take in a signal."""
        if self._is_stopping:
            self._end("a second signal")
            return
        self._is_stopping = True
        self._node.request_stop()
        reason = f"it took longer than {self._stop_seconds:g} s"
        self._loop.call_later(self._stop_seconds, self._end, reason)

    async def wait(self) -> Exit:
        """Return when the planned stop is over, or was ended with ``notes`` that say why."""
        exited = asyncio.ensure_future(self._node.exited())
        await asyncio.wait((exited, self._ended), return_when=asyncio.FIRST_COMPLETED)
        if exited.done():
            return exited.result()
        exited.cancel()
        return Exit(self._node.requests_in_flight, (f"ended by {self._ended.result()}",))

    def _end(self, reason: str) -> None:
        if not self._ended.done():
            self._ended.set_result(reason)


async def serve(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    The code is 0 when the planned stop cut nothing off, 1 when it did or when the node could not
    start.
    """
    end_logs = write_logs_to(sys.stderr, settings.log.level.value)
    log = LogWriter({"node": settings.node.name, "zone": settings.node.zone})
    node = Node(settings)
    most_seconds = node_machine_settings(settings).stop.most_seconds
    signals = StopSignals(node, most_seconds + STOP_OVERRUN_SECONDS)
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, signals.receive)
    try:
        await node.start()
    except OSError as error:
        log.perform(Log("start_failed", LogLevel.ERROR, (("reason", str(error)),)))
        return FAILED
    ended = await signals.wait()
    await node.close()
    log.perform(_stop_line(ended))
    end_logs()
    return FAILED if ended.cut_requests or ended.notes else OK


def _stop_line(ended: Exit) -> Log:
    fields: tuple[tuple[str, str | int | float], ...] = (("cut_requests", ended.cut_requests),)
    if ended.notes:
        fields += (("notes", "; ".join(ended.notes)),)
    was_clean = not ended.cut_requests and not ended.notes
    return Log("node_stopped", LogLevel.INFO if was_clean else LogLevel.WARNING, fields)
