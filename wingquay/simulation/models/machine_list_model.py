"""The platform's list of live and leaving machines, which lags."""

from dataclasses import dataclass

from ...model.failure import Failure
from ...ports.machine_directory import DirectoryFailureKind, MachineEntry

DEFAULT_LAG_SECONDS = 5.0

Address = tuple[str, int]
"""IP number and port."""


@dataclass(frozen=True, slots=True)
class _ListedChange:
    """An entry that is listed (or, with ``None``, left out) from ``listed_at`` on."""

    listed_at: float
    address: Address
    entry: MachineEntry | None


class MachineListModel:
    """Shows the machines as they were ``lag_seconds`` ago."""

    def __init__(self, lag_seconds: float = DEFAULT_LAG_SECONDS) -> None:
        self._lag_seconds = lag_seconds
        self._down_until = 0.0
        self._listed: dict[Address, MachineEntry] = {}
        self._changes: list[_ListedChange] = []

    def put(self, entry: MachineEntry, now: float) -> None:
        """Add a machine or change what is said of it; listed after the lag."""
        change = _ListedChange(now + self._lag_seconds, (entry.host, entry.port), entry)
        self._changes.append(change)

    def remove(self, host: str, port: int, now: float) -> None:
        """Remove a machine; still listed for the lag."""
        self._changes.append(_ListedChange(now + self._lag_seconds, (host, port), None))

    def fail_until(self, until: float) -> None:
        """Answer no reads until ``until``."""
        self._down_until = until

    def read(self, now: float) -> tuple[MachineEntry, ...] | Failure[DirectoryFailureKind]:
        """Return the list as the platform has it, by address."""
        if now < self._down_until:
            return Failure(DirectoryFailureKind.UNREACHABLE, "the machine list is down")
        self._take_in(now)
        return tuple(entry for _, entry in sorted(self._listed.items()))

    def _take_in(self, now: float) -> None:
        due = [change for change in self._changes if change.listed_at <= now]
        self._changes = [change for change in self._changes if change.listed_at > now]
        for change in due:
            if change.entry is None:
                self._listed.pop(change.address, None)
            else:
                self._listed[change.address] = change.entry
