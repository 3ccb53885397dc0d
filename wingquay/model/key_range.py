"""Half-open ranges of keys and the arithmetic that coverage is computed with.

Keys are Unicode strings in code point order. An ``end`` of ``None`` means "no upper bound".
Source: brief, "Every answer states its coverage truly".
"""

from collections.abc import Iterable, Sequence

from .value import value

SMALLEST_SUFFIX = "\0"


@value
class KeyRange:
    """The keys from ``start`` (included) to ``end`` (excluded; ``None``: unbounded)."""

    start: str
    end: str | None

    @staticmethod
    def from_key(key: str) -> "KeyRange":
        """Return the range that holds ``key`` alone."""
        return KeyRange(key, key + SMALLEST_SUFFIX)

    @property
    def is_empty(self) -> bool:
        """Whether no key lies in the range."""
        return self.end is not None and self.end <= self.start

    def contains(self, key: str) -> bool:
        """Whether ``key`` lies in the range."""
        return self.start <= key and (self.end is None or key < self.end)

    def intersection(self, other: "KeyRange") -> "KeyRange | None":
        """Return the keys that lie in both ranges, or ``None`` if there are none."""
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


def _reaches(end: str | None, start: str) -> bool:
    """Whether a range that ends at ``end`` touches or overlaps one that starts at ``start``."""
    return end is None or start <= end


def normalize(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return the same keys as sorted, disjoint ranges that do not touch."""
    given = tuple(ranges)
    return given if _is_normal(given) else _merged(given)


def _is_normal(ranges: Sequence[KeyRange]) -> bool:
    """Whether ``ranges`` are as ``normalize`` returns them; most already are."""
    previous_end: str | None = None
    for index, key_range in enumerate(ranges):
        start, end = key_range.start, key_range.end
        if end is not None and end <= start:
            return False
        if index and (previous_end is None or start <= previous_end):
            return False
        previous_end = end
    return True


def _merged(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    merged: list[KeyRange] = []
    ordered = sorted(
        (key_range for key_range in ranges if not key_range.is_empty),
        key=lambda key_range: key_range.start,
    )
    for key_range in ordered:
        if merged and _reaches(merged[-1].end, key_range.start):
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
    """Return the keys that lie in both collections of ranges."""
    if len(left) == 1 and len(right) == 1:
        overlap = left[0].intersection(right[0])
        return () if overlap is None else (overlap,)
    overlaps = (one.intersection(other) for one in left for other in right)
    return normalize(overlap for overlap in overlaps if overlap is not None)


def subtract(
    wanted: Sequence[KeyRange],
    removed: Sequence[KeyRange],
) -> tuple[KeyRange, ...]:
    """Return the keys of ``wanted`` that lie in none of ``removed``."""
    if not removed or wanted == removed:
        return () if removed else normalize(wanted)
    remaining = list(normalize(wanted))
    for hole in normalize(removed):
        remaining = [piece for whole in remaining for piece in _without(whole, hole)]
    return tuple(remaining)


def _without(whole: KeyRange, hole: KeyRange) -> list[KeyRange]:
    overlap = whole.intersection(hole)
    if overlap is None:
        return [whole]
    pieces = [KeyRange(whole.start, overlap.start)]
    if overlap.end is not None:
        pieces.append(KeyRange(overlap.end, whole.end))
    return [piece for piece in pieces if not piece.is_empty]


def contains_key(ranges: Sequence[KeyRange], key: str) -> bool:
    """Whether any of ``ranges`` holds ``key``."""
    if len(ranges) == 1:
        return ranges[0].contains(key)
    return any(key_range.contains(key) for key_range in ranges)
