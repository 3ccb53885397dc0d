"""The port towards the platform's key-value service: compare-and-swap, leases, watches."""

from enum import Enum

from ..model.failure import Failure
from ..model.value import value
from .machine import Action, Event


class StoreFailureKind(Enum):
    """Why an operation brought no result."""

    UNREACHABLE = "unreachable"
    """Nothing was sent: the operation did not take effect."""
    LOST_REPLY = "lost_reply"
    """It was sent and no reply came: it may have taken effect."""
    RATE_LIMITED = "rate_limited"
    """The service refused it; it did not take effect."""
    MALFORMED = "malformed"
    HISTORY_LOST = "history_lost"
    """The store no longer knows the changes that were asked for."""


@value
class StoredValue:
    """A key's value; ``modified_at`` is the store's revision of the write, usable as a fence.

    ``created_at`` is the revision at which the key came to be; 0 where the store does not tell.
    """

    key: str
    value: bytes
    modified_at: int
    lease_id: int = 0
    created_at: int = 0


@value
class Read:
    """Read one key, or all keys with that prefix.

    Parameters
    ----------
    modified_after
        Leave out values last modified at this store revision or before (etcd's
        ``min_mod_revision``), so that looking again costs little when nothing changed.
    may_start_stale
        The values may come from a copy that lags behind, where that costs less. The result is
        current all the same: the store is asked for what has changed since.
    """

    key: str
    prefix: bool = False
    modified_after: int = 0
    may_start_stale: bool = False


@value
class CompareAndSwap:
    """Write ``value`` if the key was last modified at ``expected_modified_at`` (0: absent).

    A ``value`` of ``None`` deletes the key.
    """

    key: str
    expected_modified_at: int
    value: bytes | None
    lease_id: int = 0


@value
class GrantLease:
    """Ask for a lease; keys written with it vanish when it lapses."""

    time_to_live_seconds: int


@value
class KeepLeaseAlive:
    """Renew a lease; ``LeaseState.time_to_live_seconds`` of 0 means that it has lapsed."""

    lease_id: int


@value
class RevokeLease:
    """End a lease and delete its keys."""

    lease_id: int


StoreOperation = Read | CompareAndSwap | GrantLease | KeepLeaseAlive | RevokeLease


@value
class ReadResult:
    """What was read; ``store_revision`` is the store's revision at the read.

    Parameters
    ----------
    begun_at
        A time on the clock of decisions: everything is in it that the store had acknowledged by
        then. ``None``: no such time is known.
    """

    values: tuple[StoredValue, ...]
    store_revision: int
    begun_at: float | None = None


@value
class SwapResult:
    """Whether the swap took effect; ``current`` is the present value when it did not."""

    succeeded: bool
    store_revision: int
    current: StoredValue | None = None


@value
class LeaseState:
    """A lease and how long it lasts from now."""

    lease_id: int
    time_to_live_seconds: float


StoreResult = ReadResult | SwapResult | LeaseState


@value
class StoreRequest(Action):
    """Perform ``operation``; a ``StoreResponse`` with the same id follows exactly once."""

    operation_id: str
    operation: StoreOperation
    timeout_seconds: float = 2.0


@value
class StoreResponse(Event):
    """The result of an operation."""

    operation_id: str
    result: StoreResult | Failure[StoreFailureKind]


@value
class StartWatch(Action):
    """Watch the keys with prefix ``key`` from ``from_store_revision`` on.

    Parameters
    ----------
    gather_seconds
        Least time between two looks, for prefixes that change all the time: each look costs.
    pause_seconds
        Time until the first look.
    hold_seconds
        How long the store may hold a look on which nothing has changed; 0: it answers at once.
    timeout_seconds
        Time after which a look counts as lost.
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
    """End a watch; no further events of it follow."""

    watch_id: str


@value
class WatchChanged(Event):
    """Watched keys changed; ``value`` of ``None`` in ``deleted`` keys. May skip or repeat.

    Parameters
    ----------
    may_have_more
        Whether the store may have told only a part of what has changed: the rest follows at once.
    begun_at
        When the call that was answered was begun, on the clock of decisions; ``None``: not known.
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
    """Whether the store no longer knows what changed since: everything must be read anew."""
