"""Keeps log lines until the logging library is loaded.

Like the metrics library, it takes some tens of milliseconds of processor time to load. Lines of
the first moments keep the time at which they were written.
"""

import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, TextIO

from ..ports.machine import Log, LogLevel

if TYPE_CHECKING:
    from .log_writer import LogWriter

KEPT_LINES = 500
"""Lines kept until the library is loaded; a further one loads it."""
WRITTEN_AT_FIELD = "written_at"
"""Field that tells the time of a line that was kept, in seconds of the Unix epoch."""


class DeferredLog:
    """Performs ``Log``; the first line that is not usual, or ``load``, loads the library.

    Parameters
    ----------
    stream
        Where lines go.
    fields
        Pairs that every line carries, such as the node's name.
    clock
        Returns seconds of the Unix epoch.
    """

    def __init__(
        self,
        stream: TextIO,
        fields: Mapping[str, str],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._stream = stream
        self._fields = dict(fields)
        self._clock = clock
        self._kept: list[Log] = []
        self._writer: LogWriter | None = None

    def perform(self, action: Log) -> None:
        """Write one line, or keep it for now."""
        if self._writer is not None:
            self._writer.perform(action)
            return
        written_at = (WRITTEN_AT_FIELD, f"{self._clock():.3f}")
        self._kept.append(Log(action.message, action.level, (*action.fields, written_at)))
        if action.level == LogLevel.ERROR or len(self._kept) >= KEPT_LINES:
            self.load()

    def load(self) -> None:
        """Load the library and write what was kept."""
        if self._writer is not None:
            return
        from .log_writer import LogWriter, write_logs_to

        write_logs_to(self._stream)
        self._writer = LogWriter(self._fields)
        for action in self._kept:
            self._writer.perform(action)
        self._kept.clear()
