"""Keys, leases, history and copies of the stand-in store, without any I/O."""

import base64
from dataclasses import dataclass

Document = dict[str, object]


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key's value with its revisions and its lease; 0: none."""

    key: str
    value: bytes
    revision: int
    created_at: int
    lease_id: int = 0

    def document(self) -> Document:
        """Return the item as the store's calls give it."""
        return {
            "tlsKey": self.key,
            "value": base64.b64encode(self.value).decode("ascii"),
            "revision": self.revision,
            "made": self.created_at,
            "lease": self.lease_id,
        }


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at one time; it may come back from it."""

    revision: int
    items: dict[str, StoredItem]


class StoreContents:
    """Everything that the store holds; one counter of revisions rises with each change."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, StoredItem] = {}
        self.forgotten_revision = 0
        """Changes up to this revision are no longer known."""
        self.leases: dict[int, float] = {}
        """When each lease ends."""
        self._lease_seconds: dict[int, float] = {}
        self._history: list[tuple[int, str, Document]] = []

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        known = self.items.get(key)
        created_at = self.revision if known is None else known.created_at
        item = StoredItem(key, value, self.revision, created_at, lease_id)
        self.items[key] = item
        self._history.append((self.revision, key, item.document()))
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event: Document = {"tlsKey": key, "revision": self.revision, "gone": True}
        self._history.append((self.revision, key, event))

    def page(self, prefix: str, after: str, size: int) -> tuple[list[Document], bool]:
        """Return the items of a page, and whether there are more."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return [self.items[key].document() for key in keys[:size]], len(keys) > size

    def changes(self, prefix: str, after: int) -> list[tuple[int, Document]]:
        """Return the changes since a revision, each with its revision."""
        return [
            (revision, event)
            for revision, key, event in self._history
            if revision > after and key.startswith(prefix)
        ]

    def has_history_since(self, revision: int) -> bool:
        """Whether all changes since a revision are known."""
        return self.forgotten_revision <= revision <= self.revision

    def forget_history(self) -> None:
        """Forget all changes so far."""
        self.forgotten_revision = self.revision
        self._history.clear()

    def grant(self, seconds: float, now: float) -> int:
        """Grant a lease; return its id."""
        lease_id = max(self._lease_seconds, default=0) + 1
        self._lease_seconds[lease_id] = seconds
        self.leases[lease_id] = now + seconds
        return lease_id

    def renew(self, lease_id: int, now: float) -> float | None:
        """Renew a lease; return its seconds, or ``None`` if it has ended."""
        if lease_id not in self.leases:
            return None
        seconds = self._lease_seconds[lease_id]
        self.leases[lease_id] = now + seconds
        return seconds

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease_id, None)
        for key in [key for key, item in self.items.items() if item.lease_id == lease_id]:
            self.remove(key)

    def end_leases_until(self, now: float) -> bool:
        """End the leases that are over; return whether there were any."""
        over = [lease_id for lease_id, ends_at in self.leases.items() if ends_at <= now]
        for lease_id in over:
            self.end_lease(lease_id)
        return bool(over)

    def copy(self) -> StoreCopy:
        """Return a copy without what hangs on leases."""
        kept = {key: item for key, item in self.items.items() if not item.lease_id}
        return StoreCopy(self.revision, kept)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later changes and all leases are lost."""
        self.revision = copy.revision
        self.items = dict(copy.items)
        self._history = [entry for entry in self._history if entry[0] <= copy.revision]
        self.leases.clear()
        self._lease_seconds.clear()
