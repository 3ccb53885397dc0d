"""What the back ends hold: rows that follow from service, key and index version alone.

An oracle computes the true answer with the same functions, so a row of another version, of
another service or outside the covered keys is always noticed.
"""

from bisect import bisect_left
from collections.abc import Iterable

from wingquay.model.answer import Row
from wingquay.model.identifiers import ServiceName, SnapshotVersion
from wingquay.model.key_range import KeyRange, normalize

DEFAULT_KEY_COUNT = 400
DEFAULT_KEY_PREFIX = "village-"
ABSENCE_PERIOD = 17
"""One key in so many is absent from a version; which ones differs between versions."""


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
        first = bisect_left(self._keys, key_range.start)
        last = len(self._keys)
        if key_range.end is not None:
            last = bisect_left(self._keys, key_range.end)
        return tuple(
            Row(self._keys[index], _value_of(service, self._keys[index], version))
            for index in range(first, last)
            if not _is_absent(index, version)
        )

    def rows_of_ranges(
        self,
        service: ServiceName,
        key_ranges: Iterable[KeyRange],
        version: SnapshotVersion,
    ) -> tuple[Row, ...]:
        """Return the rows of all ``key_ranges`` in key order, each once."""
        return tuple(
            row
            for key_range in normalize(key_ranges)
            for row in self.rows_for(service, key_range, version)
        )


def _value_of(service: ServiceName, key: str, version: SnapshotVersion) -> str:
    return f"{service}/{key}@{version}"


def _is_absent(index: int, version: SnapshotVersion) -> bool:
    return (index + version) % ABSENCE_PERIOD == 0
