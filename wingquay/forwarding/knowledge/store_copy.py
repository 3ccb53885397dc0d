"""A node's copy of one prefix of the store, with its revision."""

from ...ports.store import ReadResult, StoredValue


class StoreCopy:
    """The items under one prefix, as received from the store or other nodes."""

    def __init__(self) -> None:
        self._items: dict[str, StoredValue] = {}
        self._has_listing = False
        self._revision: int | None = None

    @property
    def has_listing(self) -> bool:
        """Whether a complete listing was ever received."""
        return self._has_listing

    @property
    def revision(self) -> int | None:
        """The store revision up to which the copy is complete; ``None``: none is valid."""
        return self._revision

    def snapshot(self) -> ReadResult | None:
        """Return all items with the revision; ``None``: none is valid."""
        if not self._has_listing or self._revision is None:
            return None
        return ReadResult(tuple(self._items.values()), self._revision)

    def replace_all(self, values: tuple[StoredValue, ...], revision: int) -> None:
        """Replace the contents by a complete listing."""
        self._has_listing = True
        self._revision = revision
        self._items = {item.key: item for item in values}

    def apply(
        self, changed: tuple[StoredValue, ...], deleted: tuple[str, ...], revision: int
    ) -> None:
        """Apply the changes up to a revision."""
        self._revision = revision
        self._items.update({item.key: item for item in changed})
        for key in deleted:
            self._items.pop(key, None)

    def invalidate_revision(self) -> None:
        """Mark the revision as unusable, because the store has dropped the history since."""
        self._revision = None
