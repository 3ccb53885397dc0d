"""Maintains this node's entry in the store, under a lease, and counts all nodes.

The allowed connections to replicas and the fixed part of the extra-request budget are divided by
the number of nodes. The entry of a node that stopped remains until its lease expires, so the count
tends to be too high.
"""

import random
import zlib

from ...model.failure import Failure
from ...model.value import value
from ...ports.machine import Action, Event, Schedule, Start
from ...ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreResult,
    SwapResult,
)
from ..settings import ForwardingSettings

OPERATION_PREFIX = "presence-"
TIMEOUT_SECONDS = 2.0
RENEWAL_SHARE = 0.5
"""Share of the lease time after which the lease is renewed; the rest allows several attempts."""
RESTORED_WRITE_SECONDS = 0.5
"""Mean time after which the entry is written again once the store came back from an older copy."""
RESTORED_SPREAD = 0.7
"""Share of that time by which nodes differ from each other."""
NO_ADDRESS = b"1"
"""The value of the entry of a node that other nodes cannot reach."""


@value
class PresenceDue(Event):
    """Take the next step of maintaining the entry."""

    step: int


class Presence:
    """Writes one entry under a lease and renews it.

    Parameters
    ----------
    key
        The key of this node's entry.
    settings
        The lease time and the pauses.
    random_source
        Spreads the calls of nodes that start together.
    """

    def __init__(
        self, key: str, settings: ForwardingSettings, random_source: random.Random
    ) -> None:
        self._key = key
        self._settings = settings
        self._random = random_source
        self._step = 0
        self._lease_id: int | None = None
        self._expected_revision = 0
        self._is_written = False
        self._value = NO_ADDRESS
        self._stored: StoredValue | None = None
        """The entry that the previous incarnation of this node left."""
        self._sent_at = float("-inf")
        self._lease_sent_at = float("-inf")
        """When the request was sent that set the lease's current expiry."""
        self._listed_until = float("-inf")
        self._reused_key = False

    def set_value(self, value: bytes) -> None:
        """Change the value that the next write of the entry stores."""
        self._value = value
        self._is_written = False
        self._listed_until = float("-inf")

    def is_listed(self, now: float) -> bool:
        """Whether the entry is certain to be in the store, unless someone deleted it.

        The lease time is counted from the sending of the renewal, so the lease expires in the store
        later than here.
        """
        return now < self._listed_until

    @property
    def reused_key(self) -> bool:
        """Whether the entry of the previous incarnation is renewed instead of written anew."""
        return self._reused_key

    def set_stored(self, stored: StoredValue) -> None:
        """Record the entry found in the store before this incarnation wrote one.

        If it has the value that this incarnation would write, its lease is renewed, which saves the
        calls for a new lease and a write.
        """
        if self._lease_id is None:
            self._stored = stored
            self._expected_revision = stored.modified_at

    def on_restored(self, now: float) -> list[Action]:
        """Forget the lease, which the store has lost, and write the entry again soon."""
        self._forget_lease()
        self._expected_revision = 0
        spread = self._random.uniform(1.0 - RESTORED_SPREAD, 1.0 + RESTORED_SPREAD)
        return self._schedule_next_step(RESTORED_WRITE_SECONDS * spread, now)

    def _forget_lease(self) -> None:
        self._lease_id = None
        self._stored = None
        self._is_written = False
        self._reused_key = False
        self._listed_until = float("-inf")

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle a store response or a timer."""
        if isinstance(event, Start):
            return self._schedule_next_step(self._settings.join_wide_delay_seconds, now)
        if isinstance(event, PresenceDue) and event.step == self._step:
            self._sent_at = now
            return [self._request(self._next_operation())]
        if isinstance(event, StoreResponse) and event.operation_id == self._operation_id:
            return self._handle_result(event.result, now)
        return []

    def handles(self, event: StoreResponse) -> bool:
        """Whether a store response answers a request of this class."""
        return event.operation_id.startswith(OPERATION_PREFIX)

    @property
    def _operation_id(self) -> str:
        return f"{OPERATION_PREFIX}{self._step}"

    def _next_operation(self) -> StoreOperation:
        if self._lease_id is None and self._can_reuse_stored():
            assert self._stored is not None
            self._lease_id = self._stored.lease_id
            self._is_written = True
            self._reused_key = True
        if self._lease_id is None:
            return GrantLease(int(self._settings.presence_lease_seconds))
        if not self._is_written:
            return CompareAndSwap(self._key, self._expected_revision, self._value, self._lease_id)
        return KeepLeaseAlive(self._lease_id)

    def _can_reuse_stored(self) -> bool:
        """Whether the previous incarnation's entry exists and has the value to write."""
        stored = self._stored
        return stored is not None and stored.lease_id > 0 and stored.value == self._value

    def _request(self, operation: StoreOperation) -> StoreRequest:
        return StoreRequest(self._operation_id, operation, TIMEOUT_SECONDS)

    def _handle_result(
        self, result: StoreResult | Failure[StoreFailureKind], now: float
    ) -> list[Action]:
        if isinstance(result, LeaseState):
            return self._handle_lease(result, now)
        if isinstance(result, SwapResult):
            return self._handle_swap(result, now)
        # The outcome of the write is unknown: get a new lease and write again.
        if not self._is_written:
            self._lease_id = None
        return self._schedule_next_step(self._settings.presence_retry_seconds, now)

    def _handle_lease(self, lease: LeaseState, now: float) -> list[Action]:
        if not lease.time_to_live_seconds:
            self._forget_lease()
            return self._schedule_next_step(0.0, now)
        if self._lease_id is None:
            self._lease_id = lease.lease_id
            self._lease_sent_at = self._sent_at
            return self._schedule_next_step(0.0, now)
        self._lease_sent_at = self._sent_at
        self._listed_until = self._lease_sent_at + self._settings.presence_lease_seconds
        return self._schedule_next_step(self._settings.presence_lease_seconds * RENEWAL_SHARE, now)

    def _handle_swap(self, result: SwapResult, now: float) -> list[Action]:
        if result.succeeded:
            self._is_written = True
            self._listed_until = self._lease_sent_at + self._settings.presence_lease_seconds
            return self._schedule_next_step(
                self._settings.presence_lease_seconds * RENEWAL_SHARE, now
            )
        current = result.current
        self._expected_revision = 0 if current is None else current.modified_at
        return self._schedule_next_step(0.0, now)

    def _schedule_next_step(self, seconds: float, now: float) -> list[Action]:
        self._step += 1
        due_at = now + seconds * self._random.uniform(0.8, 1.2)
        return [Schedule(due_at, PresenceDue(self._step))]


class NodeCount:
    """Counts the nodes by their entries in the store.

    Parameters
    ----------
    settings
        The counts to assume without data, and how long a higher count is kept.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._keys: set[str] = set()
        self._max_count = 0
        self._max_count_at = float("-inf")

    def put(self, key: str) -> None:
        """Add a node."""
        self._keys.add(key)

    def remove(self, key: str) -> None:
        """Remove a node."""
        self._keys.discard(key)

    def hashed_position(self, key: str, salt: str) -> int | None:
        """Return the position of a node's key in an order of all keys that depends on the salt.

        ``None``: the node has no entry.
        """
        if key not in self._keys:
            return None
        own = (zlib.crc32((salt + key).encode()), key)
        return sum((zlib.crc32((salt + other).encode()), other) < own for other in self._keys)

    def keep_only(self, keys: set[str]) -> None:
        """Apply a complete listing."""
        self._keys = keys

    def get(self, now: float) -> int:
        """Return the recent maximum of the number of nodes, at least the minimum in the settings.

        Without any entries it is at least ``max_nodes``.
        """
        present = len(self._keys)
        is_old = now - self._max_count_at > self._settings.node_count_memory_seconds
        if present >= self._max_count or is_old:
            self._max_count = present
            self._max_count_at = now
        # Nodes that have just started have no entry yet.
        min_count = self._settings.min_nodes if present else self._settings.max_nodes
        return max(self._max_count, min_count)
