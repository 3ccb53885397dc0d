"""The keys of the modelled store: revisions, transactions and the history that watches need.

The semantics are those of etcd's key-value API (version 3): every transaction that writes makes
one new revision; comparisons are on the revision of a key's last write, 0 for an absent key.
"""

from collections import deque
from dataclasses import dataclass

from ...ports.store import StoredValue

FIRST_REVISION = 1
EVERYTHING_FROM_START = b"\0"
"""As the end of a range: no upper bound."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key and its value; revisions as etcd counts them."""

    key: bytes
    value: bytes
    created_at: int
    modified_at: int
    version: int
    lease_id: int = 0

    def to_stored_value(self) -> StoredValue:
        """Return the entry as the port has it."""
        key = self.key.decode(errors="replace")
        return StoredValue(key, self.value, self.modified_at, self.lease_id)


@dataclass(frozen=True, slots=True)
class Change:
    """A write (``entry``) or a deletion (``None``) at ``revision``."""

    revision: int
    key: bytes
    entry: Entry | None


@dataclass(frozen=True, slots=True)
class KeySpan:
    """One key (``end`` of ``None``), or the keys from ``start`` to before ``end``."""

    start: bytes
    end: bytes | None = None

    def contains(self, key: bytes) -> bool:
        """Whether ``key`` lies in the span."""
        if self.end is None:
            return key == self.start
        if self.end == EVERYTHING_FROM_START:
            return key >= self.start
        return self.start <= key < self.end


@dataclass(frozen=True, slots=True)
class Compare:
    """Demand that ``key`` was last modified at ``modified_at`` (0: absent)."""

    key: bytes
    modified_at: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key."""

    key: bytes
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete the keys of a span."""

    span: KeySpan


@dataclass(frozen=True, slots=True)
class Range:
    """Read the keys of a span that were last modified after ``modified_after``."""

    span: KeySpan
    modified_after: int = 0


StateOperation = Put | Delete | Range


@dataclass(frozen=True, slots=True)
class Transaction:
    """Do ``success`` if every comparison holds, else ``failure``; all or nothing."""

    compares: tuple[Compare, ...] = ()
    success: tuple[StateOperation, ...] = ()
    failure: tuple[StateOperation, ...] = ()

    @property
    def lease_ids(self) -> tuple[int, ...]:
        """Leases that its writes refer to."""
        operations = (*self.success, *self.failure)
        return tuple(entry.lease_id for entry in operations if isinstance(entry, Put))


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """What a transaction brought.

    Parameters
    ----------
    ranges
        One entry for each operation that was done; ``None`` for a write.
    lease_found
        Whether the leases that it refers to are there; if not, nothing was done.
    """

    succeeded: bool
    revision: int
    ranges: tuple[tuple[Entry, ...] | None, ...]
    lease_found: bool = True


class StoreState:
    """The keys and their history.

    Parameters
    ----------
    history_limit
        Changes kept for watches; older ones are compacted.
    """

    def __init__(self, history_limit: int) -> None:
        self.revision = FIRST_REVISION
        self.compacted_at = 0
        self._history_limit = history_limit
        self._entries: dict[bytes, Entry] = {}
        self._history: deque[Change] = deque()

    def read(self, span: KeySpan) -> tuple[Entry, ...]:
        """Return the entries of ``span`` in key order."""
        if span.end is None:
            entry = self._entries.get(span.start)
            return () if entry is None else (entry,)
        keys = sorted(key for key in self._entries if span.contains(key))
        return tuple(self._entries[key] for key in keys)

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Carry out ``transaction``."""
        succeeded = all(self._holds(compare) for compare in transaction.compares)
        operations = transaction.success if succeeded else transaction.failure
        revision = self.revision + 1
        ranges = tuple(self._perform(operation, revision) for operation in operations)
        return TransactionResult(succeeded, self.revision, ranges)

    def delete_lease(self, lease_id: int) -> None:
        """Delete the keys written with a lease, as one revision."""
        revision = self.revision + 1
        keys = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        for key in sorted(keys):
            self._record(Change(revision, key, None))

    def changes_since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes from ``revision`` on, or ``None`` if some are compacted."""
        if revision <= self.compacted_at:
            return None
        return tuple(change for change in self._history if change.revision >= revision)

    def compact(self, revision: int) -> None:
        """Forget the history up to ``revision``, included."""
        self.compacted_at = max(self.compacted_at, min(revision, self.revision))
        while self._history and self._history[0].revision <= self.compacted_at:
            self._history.popleft()

    def _holds(self, compare: Compare) -> bool:
        entry = self._entries.get(compare.key)
        return compare.modified_at == (0 if entry is None else entry.modified_at)

    def _perform(self, operation: StateOperation, revision: int) -> tuple[Entry, ...] | None:
        match operation:
            case Range():
                entries = self.read(operation.span)
                return tuple(e for e in entries if e.modified_at > operation.modified_after)
            case Put():
                self._put(operation, revision)
            case Delete():
                for entry in self.read(operation.span):
                    self._record(Change(revision, entry.key, None))
        return None

    def _put(self, put: Put, revision: int) -> None:
        old = self._entries.get(put.key)
        entry = Entry(
            key=put.key,
            value=put.value,
            created_at=revision if old is None else old.created_at,
            modified_at=revision,
            version=1 if old is None else old.version + 1,
            lease_id=put.lease_id,
        )
        self._record(Change(revision, put.key, entry))

    def _record(self, change: Change) -> None:
        self.revision = change.revision
        if change.entry is None:
            del self._entries[change.key]
        else:
            self._entries[change.key] = change.entry
        self._history.append(change)
        if len(self._history) > self._history_limit:
            self.compact(self._history[0].revision)
