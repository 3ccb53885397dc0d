"""Half-open key ranges and the arithmetic that computes coverage.

Keys are Unicode strings, ordered by code point. An ``end`` of ``None`` means "no upper bound".
"""

from collections.abc import Iterable, Sequence

from .value import value

SMALLEST_SUFFIX = "\0"
"""Appended to a key, it gives the next key in code point order."""


@value
class KeyRange:
    """The keys from ``start`` (included) to ``end`` (excluded; ``None``: unbounded)."""

    start: str
    end: str | None

    @staticmethod
    def from_key(key: str) -> "KeyRange":
        """Return the range that contains only ``key``."""
        return KeyRange(key, key + SMALLEST_SUFFIX)

    @property
    def is_empty(self) -> bool:
        """Whether the range contains no keys."""
        return self.end is not None and self.end <= self.start

    def contains(self, key: str) -> bool:
        """Whether the range contains ``key``."""
        return self.start <= key and (self.end is None or key < self.end)

    def intersection(self, other: "KeyRange") -> "KeyRange | None":
        """Return the keys that are in both ranges, or ``None`` if there are none."""
        start = self.start if self.start >= other.start else other.start
        end = _smaller_end(self.end, other.end)
        if end is not None and end <= start:
            return None
        if start == self.start and end == self.end:
            return self
        return KeyRange(start, end)


FULL_KEY_RANGE = KeyRange("", None)


def _smaller_end(first: str | None, second: str | None) -> str | None:
    if first is None:
        return second
    if second is None:
        return first
    return min(first, second)


def _touches(end: str | None, start: str) -> bool:
    """Whether a range that ends at ``end`` touches or overlaps one that starts at ``start``."""
    return end is None or start <= end


def normalize(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return the same keys as sorted, disjoint ranges that do not touch each other."""
    given = tuple(ranges)
    return given if _is_normal(given) else _merge(given)


def _is_normal(ranges: Sequence[KeyRange]) -> bool:
    """Whether ``ranges`` are already normalized, which is the common case."""
    previous_end: str | None = None
    for index, key_range in enumerate(ranges):
        start, end = key_range.start, key_range.end
        if end is not None and end <= start:
            return False
        if index and (previous_end is None or start <= previous_end):
            return False
        previous_end = end
    return True


def _merge(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    merged: list[KeyRange] = []
    ordered = sorted(
        (key_range for key_range in ranges if not key_range.is_empty),
        key=lambda key_range: key_range.start,
    )
    for key_range in ordered:
        if merged and _touches(merged[-1].end, key_range.start):
            merged[-1] = KeyRange(merged[-1].start, _larger_end(merged[-1].end, key_range.end))
        else:
            merged.append(key_range)
    return tuple(merged)


def _larger_end(first: str | None, second: str | None) -> str | None:
    if first is None or second is None:
        return None
    return max(first, second)


def intersect(
    left: Sequence[KeyRange],
    right: Sequence[KeyRange],
) -> tuple[KeyRange, ...]:
    """Return the keys that are in both collections of ranges."""
    if len(left) == 1 and len(right) == 1:
        overlap = left[0].intersection(right[0])
        return () if overlap is None else (overlap,)
    overlaps = (one.intersection(other) for one in left for other in right)
    return normalize(overlap for overlap in overlaps if overlap is not None)


def subtract(
    wanted: Sequence[KeyRange],
    removed: Sequence[KeyRange],
) -> tuple[KeyRange, ...]:
    """Return the keys of ``wanted`` that are in none of ``removed``."""
    if not removed or wanted == removed:
        return () if removed else normalize(wanted)
    remaining = list(normalize(wanted))
    for removed_range in normalize(removed):
        remaining = [
            piece for key_range in remaining for piece in _subtract_range(key_range, removed_range)
        ]
    return tuple(remaining)


def _subtract_range(key_range: KeyRange, removed_range: KeyRange) -> list[KeyRange]:
    overlap = key_range.intersection(removed_range)
    if overlap is None:
        return [key_range]
    pieces = [KeyRange(key_range.start, overlap.start)]
    if overlap.end is not None:
        pieces.append(KeyRange(overlap.end, key_range.end))
    return [piece for piece in pieces if not piece.is_empty]


def contains_key(ranges: Sequence[KeyRange], key: str) -> bool:
    """Whether any of ``ranges`` contains ``key``."""
    if len(ranges) == 1:
        return ranges[0].contains(key)
    return any(key_range.contains(key) for key_range in ranges)
