"""The era of the store, as its answers state it."""

from collections.abc import Callable
from enum import Enum

from ..model.store_version import MAX_ERA
from ..ports.machine import Log, LogLevel

MAX_LOGGED_HEADERS = 5
"""Unreadable headers that are logged in the life of a process."""
MAX_LOGGED_CHARACTERS = 40


class AnswerEra(Enum):
    """How the era of an answer relates to the latest one seen."""

    CURRENT = "current"
    NEW = "new"
    """The store came back from an older copy since the last answer."""
    LATE = "late"
    """The answer was given before that."""


class StoreEra:
    """Tracks the latest era.

    An answer without an era, or with one that can't be read, counts as one of the latest era; the
    first one counts as one of era 0, like all answers of a store that states none.

    Parameters
    ----------
    log
        Takes the lines about headers that can't be read.
    """

    def __init__(self, log: Callable[[Log], None]) -> None:
        self._log = log
        self._latest: int | None = None
        self._logged = 0

    @property
    def latest(self) -> int:
        """The latest era; 0 if no answer has stated one."""
        return self._latest or 0

    def observe(self, header: str | None) -> AnswerEra:
        """Take in the header of an answer; return how its era relates to the latest one."""
        era = self._parse(header)
        if self._latest is None:
            self._latest = era or 0
        if era is None or era == self._latest:
            return AnswerEra.CURRENT
        if era < self._latest:
            return AnswerEra.LATE
        self._latest = era
        return AnswerEra.NEW

    def _parse(self, header: str | None) -> int | None:
        if header is None:
            return None
        text = header.strip()
        is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))
        if is_number and int(text) <= MAX_ERA:
            return int(text)
        if self._logged < MAX_LOGGED_HEADERS:
            self._logged += 1
            fields = (("value", header[:MAX_LOGGED_CHARACTERS]), ("allowed", f"0 to {MAX_ERA}"))
            self._log(Log("store_era_unreadable", LogLevel.WARNING, fields))
        return None
