"""Merges sub-answers of one snapshot, counting no key twice and claiming no key unheard.

Source: brief, "Every answer comes from one index snapshot" and "states its coverage truly".
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
    wanted
        The keys that were asked for.
    snapshot
        The pinned version; ``None`` for an unrepeatable request.
    """

    def __init__(
        self,
        wanted: tuple[KeyRange, ...],
        snapshot: SnapshotVersion | None,
        checks_snapshot: bool = True,
    ) -> None:
        self._wanted = normalize(wanted)
        self._snapshot = snapshot
        self._checks_snapshot = checks_snapshot
        self._covered: list[KeyRange] = []
        self._rows: list[Row] = []
        self._reasons: list[MissingPart] = []

    def add(self, asked: tuple[KeyRange, ...], answer: SubAnswer) -> tuple[KeyRange, ...]:
        """Merge a sub-answer; return the keys of ``asked`` that it left out.

        An answer of another snapshot is left out whole.
        """
        if self._checks_snapshot and answer.snapshot != self._snapshot:
            return asked
        # Pieces of one plan are disjoint and each asks only for what is still uncovered, so what
        # is asked here cannot be covered yet; each sub-request's result is merged once.
        if answer.covered == asked:
            self._covered += asked
            self._rows += _rows_within(asked, answer.rows)
            return ()
        fresh = intersect(asked, answer.covered)
        self._covered += fresh
        self._rows += _rows_within(fresh, answer.rows)
        return subtract(asked, answer.covered)

    @property
    def snapshot(self) -> SnapshotVersion | None:
        """The pinned version."""
        return self._snapshot

    def note_missing(self, key_ranges: Iterable[KeyRange], reason: MissingReason) -> None:
        """Remember why keys have no answer; it counts only if they stay without one."""
        self._reasons += [MissingPart(key_range, reason) for key_range in key_ranges]

    @property
    def covered(self) -> tuple[KeyRange, ...]:
        """The keys that are covered."""
        return normalize(self._covered)

    @property
    def rows(self) -> tuple[Row, ...]:
        """The merged rows by key."""
        return tuple(sorted(self._rows, key=lambda row: row.key))

    def missing(self, otherwise: MissingReason) -> tuple[MissingPart, ...]:
        """Return the keys that are not covered, each with the last reason noted for it."""
        remaining = subtract(self._wanted, self._covered)
        parts: list[MissingPart] = []
        for noted in reversed(self._reasons):
            hit = intersect(remaining, (noted.key_range,))
            parts += [MissingPart(key_range, noted.reason) for key_range in hit]
            remaining = subtract(remaining, hit)
        parts += [MissingPart(key_range, otherwise) for key_range in remaining]
        return tuple(sorted(parts, key=lambda part: part.key_range.start))


def _rows_within(key_ranges: tuple[KeyRange, ...], rows: tuple[Row, ...]) -> list[Row]:
    """Return the rows whose keys lie in ``key_ranges``; rows need not be sorted."""
    if len(key_ranges) != 1:
        return [row for row in rows if contains_key(key_ranges, row.key)]
    start, end = key_ranges[0].start, key_ranges[0].end
    if end is None:
        return [row for row in rows if start <= row.key]
    return [row for row in rows if start <= row.key < end]
