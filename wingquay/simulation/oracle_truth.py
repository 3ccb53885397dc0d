"""The true contents of the back ends, and what an answer says measured against them."""

from bisect import bisect_left
from collections.abc import Iterator

from ..model.answer import Answer, Outcome, Row
from ..model.identifiers import ServiceName, SnapshotVersion
from ..model.key_range import (
    FULL_KEY_RANGE,
    KeyRange,
    contains_key,
    intersect,
    normalize,
)
from ..model.request import QueryRequest
from .invariants import Invariant
from .models.dataset import Dataset

Finding = tuple[Invariant, str]


class Truth:
    """What every service holds at every index version.

    Parameters
    ----------
    dataset
        The rows, as functions of service, key and version.
    """

    def __init__(self, dataset: Dataset) -> None:
        self._dataset = dataset
        self._rows: dict[tuple[ServiceName, SnapshotVersion], tuple[Row, ...]] = {}

    def rows(self, service: ServiceName, version: SnapshotVersion) -> tuple[Row, ...]:
        """Return all rows of a service at a version, in key order."""
        rows = self._rows.get((service, version))
        if rows is None:
            rows = self._dataset.rows_for(service, FULL_KEY_RANGE, version)
            self._rows[service, version] = rows
        return rows

    def keys_in(self, ranges: tuple[KeyRange, ...]) -> int:
        """Return how many keys lie in ``ranges``."""
        return sum(1 for key in self._dataset.keys if contains_key(ranges, key))

    def check_read(self, request: QueryRequest, answer: Answer) -> Iterator[Finding]:
        """Compare a complete or partial answer to a repeatable request with the truth."""
        yield from _check_parts(request, answer)
        if answer.snapshot is None:
            if answer.rows or answer.covered:
                yield Invariant.SINGLE_SNAPSHOT, "rows or coverage without a snapshot"
            return
        held = self.rows(request.service, answer.snapshot)
        covered = normalize(answer.covered)
        expected = _rows_in(held, covered)
        if answer.rows != expected:
            yield self._explain(request, answer, expected)

    def _explain(self, request: QueryRequest, answer: Answer, expected: tuple[Row, ...]) -> Finding:
        """Say which promise the rows break."""
        truth = set(expected)
        for row in answer.rows:
            if row in truth:
                continue
            if not contains_key(request.key_ranges, row.key):
                return Invariant.OWN_ANSWER, f"row {row.key} was not asked for"
            if not row.value.startswith(f"{request.service}/{row.key}@"):
                return Invariant.OWN_ANSWER, f"row {row.key} is of another request: {row.value}"
            if not row.value.endswith(f"@{answer.snapshot}"):
                return Invariant.SINGLE_SNAPSHOT, f"{row.value} in snapshot {answer.snapshot}"
            return Invariant.TRUE_COVERAGE, f"row {row.key} is outside what is said to be covered"
        if len(answer.rows) > len(expected):
            return Invariant.TRUE_COVERAGE, "rows are there twice"
        if len(answer.rows) < len(expected):
            lost = len(expected) - len(answer.rows)
            return Invariant.TRUE_COVERAGE, f"{lost} rows of the covered keys are lost"
        return Invariant.TRUE_COVERAGE, "rows are not in key order"


def _rows_in(rows: tuple[Row, ...], ranges: tuple[KeyRange, ...]) -> tuple[Row, ...]:
    """Return the rows in ``ranges``; both are in key order, and the ranges are disjoint."""
    chosen: list[Row] = []
    for key_range in ranges:
        first = bisect_left(rows, key_range.start, key=_key_of)
        last = len(rows)
        if key_range.end is not None:
            last = bisect_left(rows, key_range.end, lo=first, key=_key_of)
        chosen += rows[first:last]
    return tuple(chosen)


def _key_of(row: Row) -> str:
    return row.key


def _check_parts(request: QueryRequest, answer: Answer) -> Iterator[Finding]:
    """Covered and missing keys must be disjoint and make up what was asked."""
    asked = normalize(request.key_ranges)
    covered = normalize(answer.covered)
    missing = normalize(part.key_range for part in answer.missing)
    if intersect(covered, missing):
        yield Invariant.TRUE_COVERAGE, "keys are both covered and missing"
    if normalize((*covered, *missing)) != asked:
        yield Invariant.TRUE_COVERAGE, "covered and missing do not make up what was asked"
    if (answer.outcome is Outcome.COMPLETE) != (covered == asked):
        yield Invariant.TRUE_COVERAGE, f"{answer.outcome.value} with covered {covered}"
