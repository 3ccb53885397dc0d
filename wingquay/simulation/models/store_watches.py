"""Watches of the modelled store: which changes go to whom."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby

from ...ports.store import WatchChanged
from .store_state import Change, KeySpan


@dataclass(slots=True)
class Watch:
    """One watch; ``next_revision`` is the first that it was not told of."""

    watch_id: str
    span: KeySpan
    next_revision: int


class WatchTable:
    """The watches that are open."""

    def __init__(self) -> None:
        self._watches: dict[str, Watch] = {}
        self.events_to_skip = 0
        """Notices yet to be left out, as a fault."""

    @property
    def ids(self) -> tuple[str, ...]:
        """The open watches, oldest first."""
        return tuple(self._watches)

    def add(self, watch: Watch) -> None:
        """Open a watch."""
        self._watches[watch.watch_id] = watch

    def remove(self, watch_id: str) -> None:
        """Close a watch, if it is there."""
        self._watches.pop(watch_id, None)

    def holds(self, watch_id: str) -> bool:
        """Whether the watch is open."""
        return watch_id in self._watches

    def notices(self, changes: tuple[Change, ...]) -> list[WatchChanged]:
        """Return what each watch is to be told of ``changes``, which are in revision order."""
        notices: list[WatchChanged] = []
        for watch in self._watches.values():
            notices += self._notices_of(watch, changes)
        return notices

    def _notices_of(self, watch: Watch, changes: tuple[Change, ...]) -> list[WatchChanged]:
        wanted = [
            change
            for change in changes
            if change.revision >= watch.next_revision and watch.span.contains(change.key)
        ]
        if changes:
            watch.next_revision = max(watch.next_revision, changes[-1].revision + 1)
        notices = [
            _notice(watch.watch_id, revision, same)
            for revision, same in groupby(wanted, key=lambda change: change.revision)
        ]
        skipped = min(self.events_to_skip, len(notices))
        self.events_to_skip -= skipped
        return notices[skipped:]


def _notice(watch_id: str, revision: int, changes: Iterable[Change]) -> WatchChanged:
    listed = tuple(changes)
    changed = tuple(c.entry.to_stored_value() for c in listed if c.entry is not None)
    deleted = tuple(c.key.decode(errors="replace") for c in listed if c.entry is None)
    return WatchChanged(watch_id, changed, deleted, revision)
