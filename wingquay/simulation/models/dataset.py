"""What the back ends hold: rows that follow from service, key and index version alone.

An oracle computes the true answer with the same functions, so a row of another version, of
another service or outside the covered keys is always noticed.
"""

from bisect import bisect_left
from collections.abc import Iterable

from ...model.answer import Row
from ...model.identifiers import ServiceName, SnapshotVersion
from ...model.key_range import KeyRange, normalize

DEFAULT_KEY_COUNT = 400
DEFAULT_KEY_PREFIX = "village-"
ABSENCE_PERIOD = 17
"""One key in so many is absent from a version; which ones differs between versions."""
TABLES_KEPT = 64
"""Tables of a service's rows at a version that are not made anew on each use."""

_Table = tuple[list[str], tuple[Row, ...]]
"""The keys that have a row, and their rows, both in key order."""


class Dataset:
    """The rows of every service at every index version.

    Parameters
    ----------
    key_count
        How many keys there are, at most 10,000.
    key_prefix
        Keys are this prefix and four digits, such as ``village-0042``.
    """

    def __init__(
        self,
        key_count: int = DEFAULT_KEY_COUNT,
        key_prefix: str = DEFAULT_KEY_PREFIX,
    ) -> None:
        self._tables: dict[tuple[ServiceName, SnapshotVersion], _Table] = {}
        self._keys = [f"{key_prefix}{index:04d}" for index in range(key_count)]

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys in order, whether or not a given version has a row for them."""
        return tuple(self._keys)

    def shard_ranges(self, shard_count: int) -> tuple[KeyRange, ...]:
        """Return ``shard_count`` adjacent ranges of nearly equal size that hold every key."""
        starts = [len(self._keys) * index // shard_count for index in range(1, shard_count)]
        bounds = ["", *(self._keys[start] for start in starts)]
        ends: list[str | None] = [*bounds[1:], None]
        return tuple(KeyRange(start, end) for start, end in zip(bounds, ends, strict=True))

    def rows_for(
        self,
        service: ServiceName,
        key_range: KeyRange,
        version: SnapshotVersion,
    ) -> tuple[Row, ...]:
        """Return the rows of ``key_range`` in key order, as index ``version`` has them."""
        keys, rows = self._table(service, version)
        first = bisect_left(keys, key_range.start)
        last = len(keys) if key_range.end is None else bisect_left(keys, key_range.end)
        return rows[first:last]

    def rows_of_ranges(
        self,
        service: ServiceName,
        key_ranges: Iterable[KeyRange],
        version: SnapshotVersion,
    ) -> tuple[Row, ...]:
        """Return the rows of all ``key_ranges`` in key order, each once."""
        ranges = tuple(key_ranges)
        if len(ranges) == 1:
            return self.rows_for(service, ranges[0], version)
        return tuple(
            row
            for key_range in normalize(ranges)
            for row in self.rows_for(service, key_range, version)
        )

    def _table(self, service: ServiceName, version: SnapshotVersion) -> _Table:
        table = self._tables.get((service, version))
        if table is None:
            table = self._make_table(service, version)
            while len(self._tables) >= TABLES_KEPT:
                del self._tables[next(iter(self._tables))]
            self._tables[service, version] = table
        return table

    def _make_table(self, service: ServiceName, version: SnapshotVersion) -> _Table:
        keys = [key for index, key in enumerate(self._keys) if not _is_absent(index, version)]
        return keys, tuple(Row(key, f"{service}/{key}@{version}") for key in keys)


def _is_absent(index: int, version: SnapshotVersion) -> bool:
    return (index + version) % ABSENCE_PERIOD == 0
