"""Logs through eliot: one line of key=value pairs for each event.

A line begins with ``time`` (UTC), ``level`` and ``event``; values with spaces, quotes or equals
signs are quoted as JSON strings.
"""

import json
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import TextIO

import eliot

from ..ports.machine import Log, LogLevel

LEVELS = (LogLevel.DEBUG, LogLevel.INFO, LogLevel.WARNING, LogLevel.ERROR)
"""Severities, from least to greatest."""

LEVEL_FIELD = "level"
_ELIOT_FIELDS = frozenset({"timestamp", "message_type", "task_uuid", "task_level", LEVEL_FIELD})
_NEEDS_QUOTES = frozenset(" \"'=\\\t\r\n")


class LogWriter:
    """Performs ``Log`` actions for one node.

    Parameters
    ----------
    fields
        Pairs that every line of the node carries, such as its id.
    minimum_level
        Lines below it cost nothing.
    """

    def __init__(self, fields: Mapping[str, str], minimum_level: str = LogLevel.DEBUG) -> None:
        self._fields = dict(fields)
        self._levels = frozenset(LEVELS[LEVELS.index(minimum_level) :])

    def perform(self, action: Log) -> None:
        """Write one line."""
        if action.level not in self._levels:
            return
        fields = {**self._fields, **dict(action.fields), LEVEL_FIELD: action.level}
        eliot.log_message(action.message, **fields)


def write_logs_to(stream: TextIO, minimum_level: str = LogLevel.INFO) -> Callable[[], None]:
    """Write the process's log lines of at least ``minimum_level`` to ``stream``.

    Returns
    -------
    Callable[[], None]
        Ends the writing.
    """
    threshold = LEVELS.index(minimum_level)

    def write(message: Mapping[str, object]) -> None:
        level = str(message.get(LEVEL_FIELD, LogLevel.ERROR))
        if level in LEVELS and LEVELS.index(level) < threshold:
            return
        stream.write(format_line(message) + "\n")
        stream.flush()

    eliot.add_destinations(write)

    def end() -> None:
        eliot.remove_destination(write)

    return end


def format_line(message: Mapping[str, object]) -> str:
    """Return an eliot message as one line of key=value pairs."""
    timestamp = message.get("timestamp", 0.0)
    moment = datetime.fromtimestamp(float(str(timestamp)), UTC)
    pairs: list[tuple[str, object]] = [
        ("time", moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")),
        ("level", message.get(LEVEL_FIELD, LogLevel.ERROR)),
        ("event", message.get("message_type", "unknown")),
    ]
    pairs += [(key, value) for key, value in message.items() if key not in _ELIOT_FIELDS]
    return " ".join(f"{key}={_quoted(value)}" for key, value in pairs)


def _quoted(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not _NEEDS_QUOTES.intersection(text) and text.isprintable():
        return text
    return json.dumps(text)
