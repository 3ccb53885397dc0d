"""Versions of the key-value store across restorations from an older copy."""

from typing import Self

REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1
"""Reached after 86 years of 400 writes a second."""
MAX_ERA = (1 << 22) - 1
"""A version fits a signed 64-bit field of a message."""


class StoreVersion(int):
    """Era and revision of the store as one integer, so that versions are ordered.

    A store that is restored from an older copy loses its latest changes and assigns their revisions
    again. Revisions are therefore comparable within one era only. The era is in the high bits: any
    version of a later era is greater than all versions of earlier ones. In era 0, which is the era
    of a store that states none, the version equals the revision.
    """

    __slots__ = ()

    @classmethod
    def of(cls, era: int, revision: int) -> Self:
        """Return the version of a revision in an era.

        Raises
        ------
        ValueError
            The era or the revision is negative or too large.
        """
        if not 0 <= era <= MAX_ERA:
            raise ValueError(f"era {era}; allowed: 0 to {MAX_ERA}")
        if not 0 <= revision <= MAX_REVISION:
            raise ValueError(f"revision {revision}; allowed: 0 to {MAX_REVISION}")
        return cls(era << REVISION_BITS | revision)

    @property
    def era(self) -> int:
        """The number of the restoration after which the revision was assigned."""
        return int(self) >> REVISION_BITS

    @property
    def revision(self) -> int:
        """The revision within the era."""
        return int(self) & MAX_REVISION


def is_same_era(first: int, second: int) -> bool:
    """Return whether two versions belong to one era, so that changes lead from one to the other."""
    return StoreVersion(first).era == StoreVersion(second).era


def begin_of_era(version: int) -> StoreVersion:
    """Return the lowest version of the era of a version."""
    return StoreVersion.of(StoreVersion(version).era, 0)
