"""What a node knows of a prefix of the store, and up to which revision of the store."""

from ...ports.store import ReadResult, StoredValue


class StoreCopy:
    """The items under one prefix as the store, or other nodes, have told them."""

    def __init__(self) -> None:
        self._items: dict[str, StoredValue] = {}
        self._is_listed = False
        self._revision: int | None = None

    @property
    def is_listed(self) -> bool:
        """Whether everything that is there was ever told."""
        return self._is_listed

    @property
    def revision(self) -> int | None:
        """The store's revision up to which everything is known; ``None``: of no use any more."""
        return self._revision

    def snapshot(self) -> ReadResult | None:
        """Return everything as far as it is known; ``None``: nothing is."""
        if not self._is_listed or self._revision is None:
            return None
        return ReadResult(tuple(self._items.values()), self._revision)

    def list_anew(self, values: tuple[StoredValue, ...], revision: int) -> None:
        """Take in everything that is there."""
        self._is_listed = True
        self._revision = revision
        self._items = {item.key: item for item in values}

    def change(
        self, changed: tuple[StoredValue, ...], deleted: tuple[str, ...], revision: int
    ) -> None:
        """Take in what has changed up to a revision."""
        self._revision = revision
        self._items.update({item.key: item for item in changed})
        for key in deleted:
            self._items.pop(key, None)

    def forget_revision(self) -> None:
        """Take in that the store no longer tells what has changed since."""
        self._revision = None
