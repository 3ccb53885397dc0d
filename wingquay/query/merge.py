"""Merges sub-answers of one snapshot and tracks which keys they cover.

Each key is covered by at most one sub-answer; only answered keys count as covered.
"""

from collections.abc import Iterable

from ..model.answer import MissingPart, MissingReason, Row, SubAnswer
from ..model.identifiers import SnapshotVersion
from ..model.key_range import (
    KeyRange,
    contains_key,
    intersect,
    normalize,
    subtract,
)


class AnswerMerge:
    """Collects the rows and the coverage of one request.

    Parameters
    ----------
    requested
        Requested keys.
    snapshot
        Pinned snapshot version; ``None`` for an unrepeatable request.
    checks_snapshot
        Whether answers of another version are rejected.
    """

    def __init__(
        self,
        requested: tuple[KeyRange, ...],
        snapshot: SnapshotVersion | None,
        checks_snapshot: bool = True,
    ) -> None:
        self._requested = normalize(requested)
        self._snapshot = snapshot
        self._checks_snapshot = checks_snapshot
        self._covered: list[KeyRange] = []
        self._rows: list[Row] = []
        self._missing_reasons: list[MissingPart] = []

    def add(self, key_ranges: tuple[KeyRange, ...], answer: SubAnswer) -> tuple[KeyRange, ...]:
        """Merge the answer to a sub-request; return the keys it does not cover.

        An answer of another snapshot is rejected, which leaves all keys uncovered.
        """
        if self._checks_snapshot and answer.snapshot != self._snapshot:
            return key_ranges
        # None of these keys is covered yet: sub-requests of one plan are disjoint, retries request
        # only uncovered keys, and the duplicate filter drops second results.
        if answer.covered == key_ranges:
            self._covered += key_ranges
            self._rows += _rows_within(key_ranges, answer.rows)
            return ()
        newly_covered = intersect(key_ranges, answer.covered)
        self._covered += newly_covered
        self._rows += _rows_within(newly_covered, answer.rows)
        return subtract(key_ranges, answer.covered)

    @property
    def pinned_version(self) -> SnapshotVersion | None:
        """Pinned snapshot version."""
        return self._snapshot

    def record_missing(self, key_ranges: Iterable[KeyRange], reason: MissingReason) -> None:
        """Record why keys have no answer; ignored for keys that are covered later."""
        self._missing_reasons += [MissingPart(key_range, reason) for key_range in key_ranges]

    @property
    def covered(self) -> tuple[KeyRange, ...]:
        """Covered keys."""
        return normalize(self._covered)

    @property
    def rows(self) -> tuple[Row, ...]:
        """Merged rows, sorted by key."""
        return tuple(sorted(self._rows, key=lambda row: row.key))

    def missing(self, default_reason: MissingReason) -> tuple[MissingPart, ...]:
        """Return the uncovered keys, each with its latest recorded or the default reason."""
        remaining = subtract(self._requested, self._covered)
        parts: list[MissingPart] = []
        for recorded in reversed(self._missing_reasons):
            hit = intersect(remaining, (recorded.key_range,))
            parts += [MissingPart(key_range, recorded.reason) for key_range in hit]
            remaining = subtract(remaining, hit)
        parts += [MissingPart(key_range, default_reason) for key_range in remaining]
        return tuple(sorted(parts, key=lambda part: part.key_range.start))


def _rows_within(key_ranges: tuple[KeyRange, ...], rows: tuple[Row, ...]) -> list[Row]:
    """Return the rows with keys in ``key_ranges``; rows need not be sorted."""
    if len(key_ranges) != 1:
        return [row for row in rows if contains_key(key_ranges, row.key)]
    start, end = key_ranges[0].start, key_ranges[0].end
    if end is None:
        return [row for row in rows if start <= row.key]
    return [row for row in rows if start <= row.key < end]
