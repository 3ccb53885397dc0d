"""Copies of the simulated store, from one of which it may come back."""

from dataclasses import dataclass

from ...ports.store import StoredValue

COPY_INTERVAL_SECONDS = 0.5
"""Time between two copies."""
KEPT_COPIES = 24


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at one time, without what hung on leases."""

    at: float
    revision: int
    items: dict[str, StoredValue]


@dataclass(frozen=True, slots=True)
class LostWrites:
    """What the store no longer knows after it came back.

    Parameters
    ----------
    changed
        Items that were written after the copy.
    deleted
        Keys that were deleted after the copy and are there again.
    """

    changed: tuple[StoredValue, ...]
    deleted: tuple[str, ...]


class StoreCopies:
    """The latest copies."""

    def __init__(self) -> None:
        self._copies: list[StoreCopy] = []

    def take(self, now: float, revision: int, items: dict[str, StoredValue]) -> None:
        """Keep a copy."""
        self._copies.append(StoreCopy(now, revision, without_leases(items)))
        del self._copies[:-KEPT_COPIES]

    def go_back(self, latest: float) -> StoreCopy:
        """Return the newest copy of that time or before, and forget the later ones."""
        fitting = [copy for copy in self._copies if copy.at <= latest] or self._copies[:1]
        self._copies = fitting
        return fitting[-1] if fitting else StoreCopy(0.0, 0, {})


def without_leases(items: dict[str, StoredValue]) -> dict[str, StoredValue]:
    """Return the items that hang on no lease."""
    return {key: item for key, item in items.items() if not item.lease_id}


def lost_writes(before: dict[str, StoredValue], after: dict[str, StoredValue]) -> LostWrites:
    """Return what was written between a copy (``after`` the return) and the loss."""
    kept = without_leases(before)
    return LostWrites(
        tuple(item for key, item in kept.items() if after.get(key) != item),
        tuple(key for key in after if key not in kept),
    )
