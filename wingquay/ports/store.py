"""Events and actions for the platform's key-value store: compare-and-swap, leases, watches.

Revisions of a store that may be restored from an older copy are ``StoreVersion`` numbers.
"""

from enum import Enum

from ..model.failure import Failure
from ..model.value import value
from .machine import Action, Event


class StoreFailureKind(Enum):
    """Reason why an operation returned no result."""

    UNREACHABLE = "unreachable"
    """Nothing was sent; the operation did not take effect."""
    LOST_REPLY = "lost_reply"
    """The operation was sent but no reply arrived; it may have taken effect."""
    RATE_LIMITED = "rate_limited"
    """The store rejected the operation; it did not take effect."""
    MALFORMED = "malformed"
    HISTORY_LOST = "history_lost"
    """The store no longer has the requested changes."""


@value
class StoredValue:
    """A key and its value.

    Parameters
    ----------
    modified_at
        Store revision of the last write, usable as a fencing token.
    lease_id
        Lease that the key is bound to; 0: none.
    created_at
        Store revision at which the key was created; 0 if the store does not report it.
    """

    key: str
    value: bytes
    modified_at: int
    lease_id: int = 0
    created_at: int = 0


@value
class Read:
    """Read one key, or all keys with a prefix.

    Parameters
    ----------
    modified_after
        Skip values last modified at or before this store revision (etcd's ``min_mod_revision``),
        which makes repeated reads cheap.
    may_start_stale
        Whether the read may start from a lagging copy, where that is cheaper, and then fetch later
        changes from the store. The result is current either way.
    """

    key: str
    prefix: bool = False
    modified_after: int = 0
    may_start_stale: bool = False


@value
class CompareAndSwap:
    """Write ``value`` if the key's last write has revision ``expected_modified_at`` (0: no key).

    A ``value`` of ``None`` deletes the key.
    """

    key: str
    expected_modified_at: int
    value: bytes | None
    lease_id: int = 0


@value
class GrantLease:
    """Request a lease; keys written with it are deleted when it expires."""

    time_to_live_seconds: int


@value
class KeepLeaseAlive:
    """Renew a lease; ``LeaseState.time_to_live_seconds`` is 0 if the lease has expired."""

    lease_id: int


@value
class RevokeLease:
    """End a lease and delete its keys."""

    lease_id: int


StoreOperation = Read | CompareAndSwap | GrantLease | KeepLeaseAlive | RevokeLease


@value
class ReadResult:
    """Values read, as of ``store_revision``.

    Parameters
    ----------
    begun_at
        Start of the read, on the clock of ``Machine.handle``: the result includes all writes that
        the store had acknowledged by then. ``None``: unknown.
    """

    values: tuple[StoredValue, ...]
    store_revision: int
    begun_at: float | None = None


@value
class SwapResult:
    """Result of a swap; ``current`` is the present value if the swap did not take effect."""

    succeeded: bool
    store_revision: int
    current: StoredValue | None = None


@value
class LeaseState:
    """A lease and its remaining time to live."""

    lease_id: int
    time_to_live_seconds: float


StoreResult = ReadResult | SwapResult | LeaseState


@value
class StoreRequest(Action):
    """Perform ``operation``; exactly one ``StoreResponse`` with the same id follows."""

    operation_id: str
    operation: StoreOperation
    timeout_seconds: float = 2.0


@value
class StoreResponse(Event):
    """The result of an operation."""

    operation_id: str
    result: StoreResult | Failure[StoreFailureKind]


@value
class StoreRestored(Event):
    """The store came back from an older copy: its latest changes and all leases may be lost.

    It precedes the first answer of the new era.

    Parameters
    ----------
    store_version
        The lowest version of the new era.
    """

    store_version: int


@value
class StartWatch(Action):
    """Watch the keys with prefix ``key``, starting from ``from_store_revision``.

    Parameters
    ----------
    poll_interval_seconds
        Minimum time between two polls, which limits the cost of prefixes that change constantly.
    pause_seconds
        Delay before the first poll.
    hold_seconds
        How long the store may hold a poll open while nothing changes (long poll); 0: it replies at
        once.
    timeout_seconds
        Time after which a poll counts as lost.
    """

    watch_id: str
    key: str
    from_store_revision: int
    poll_interval_seconds: float = 0.0
    pause_seconds: float = 0.0
    hold_seconds: float = 3.0
    timeout_seconds: float = 4.0


@value
class StopWatch(Action):
    """End a watch; no further events for it follow."""

    watch_id: str


@value
class WatchChanged(Event):
    """Watched keys changed. Intermediate changes may be skipped, and changes may be repeated.

    Parameters
    ----------
    changed, deleted
        New values of changed keys, and names of deleted keys.
    may_have_more
        Whether the store may have returned only part of the changes; the rest follows at once.
    begun_at
        Start of the poll, on the clock of ``Machine.handle``; ``None``: unknown.
    """

    watch_id: str
    changed: tuple[StoredValue, ...]
    deleted: tuple[str, ...]
    store_revision: int
    may_have_more: bool = False
    begun_at: float | None = None


@value
class WatchBroken(Event):
    """The watch ended; changes since its last event may have been missed."""

    watch_id: str
    reason: str
    history_lost: bool = False
    """Whether the store no longer has the changes since then: all keys must be read again."""
