"""Keeps this node's key in the store, under a lease, and counts the keys of all nodes.

What nodes share without talking to each other, connections to replicas and the slack of the
budget, is divided by their number. A node that ends leaves its key until the lease lapses, so the
count errs on the side of too many.
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
"""Share of the lease's time after which it is renewed: calls are priced, and what is left
is time for several tries."""
NO_ADDRESS = b"1"
"""The value of a node that other nodes cannot reach."""


@value
class PresenceDue(Event):
    """Take the next step of keeping the key."""

    step: int


class Presence:
    """Keeps one key alive.

    Parameters
    ----------
    key
        This node's key.
    settings
        The lease's time and the pauses.
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
        self._standing: StoredValue | None = None
        """The key as the last life of this node has left it."""
        self._asked_at = float("-inf")
        self._lease_asked_at = float("-inf")
        """When the lease's present time was asked for."""
        self._listed_until = float("-inf")
        self._has_stood = False

    def set_value(self, value: bytes) -> None:
        """Say something else of this node, from the next writing of the key on."""
        self._value = value
        self._is_written = False
        self._listed_until = float("-inf")

    def is_listed(self, now: float) -> bool:
        """Whether the key is sure to stand in the store, as far as nobody takes it away.

        A lease is counted from when its renewal was asked for, so that it lapses in the store later
        than here.
        """
        return now < self._listed_until

    @property
    def reused_key(self) -> bool:
        """Whether the key stood there before this life and was renewed, not written."""
        return self._has_stood

    def learn(self, standing: StoredValue) -> None:
        """Take in the key as it stands in the store, before this life has written it.

        If it says what this life says as well, its lease is renewed instead of another one: a tenth
        of a call in place of three.
        """
        if self._lease_id is None:
            self._standing = standing
            self._expected_revision = standing.modified_at

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event of the store or a timer."""
        if isinstance(event, Start):
            return self._after(self._settings.join_wide_delay_seconds, now)
        if isinstance(event, PresenceDue) and event.step == self._step:
            self._asked_at = now
            return [self._request(self._next_operation())]
        if isinstance(event, StoreResponse) and event.operation_id == self._operation_id:
            return self._done(event.result, now)
        return []

    def handles(self, event: StoreResponse) -> bool:
        """Whether the answer is to one of this machine's requests."""
        return event.operation_id.startswith(OPERATION_PREFIX)

    @property
    def _operation_id(self) -> str:
        return f"{OPERATION_PREFIX}{self._step}"

    def _next_operation(self) -> StoreOperation:
        if self._lease_id is None and self._can_go_on():
            assert self._standing is not None
            self._lease_id = self._standing.lease_id
            self._is_written = True
            self._has_stood = True
        if self._lease_id is None:
            return GrantLease(int(self._settings.presence_lease_seconds))
        if not self._is_written:
            return CompareAndSwap(self._key, self._expected_revision, self._value, self._lease_id)
        return KeepLeaseAlive(self._lease_id)

    def _can_go_on(self) -> bool:
        """Whether the last life's key stands there and says what this life says."""
        standing = self._standing
        return standing is not None and standing.lease_id > 0 and standing.value == self._value

    def _request(self, operation: StoreOperation) -> StoreRequest:
        return StoreRequest(self._operation_id, operation, TIMEOUT_SECONDS)

    def _done(self, result: StoreResult | Failure[StoreFailureKind], now: float) -> list[Action]:
        if isinstance(result, LeaseState):
            return self._lease_told(result, now)
        if isinstance(result, SwapResult):
            return self._swapped(result, now)
        # The lease may be gone, or the key written: a new lease settles both.
        if not self._is_written:
            self._lease_id = None
        return self._after(self._settings.presence_retry_seconds, now)

    def _lease_told(self, lease: LeaseState, now: float) -> list[Action]:
        if not lease.time_to_live_seconds:
            self._lease_id = None
            self._standing = None
            self._is_written = False
            self._has_stood = False
            return self._after(0.0, now)
        if self._lease_id is None:
            self._lease_id = lease.lease_id
            self._lease_asked_at = self._asked_at
            return self._after(0.0, now)
        self._lease_asked_at = self._asked_at
        self._listed_until = self._lease_asked_at + self._settings.presence_lease_seconds
        return self._after(self._settings.presence_lease_seconds * RENEWAL_SHARE, now)

    def _swapped(self, result: SwapResult, now: float) -> list[Action]:
        if result.succeeded:
            self._is_written = True
            self._listed_until = self._lease_asked_at + self._settings.presence_lease_seconds
            return self._after(self._settings.presence_lease_seconds * RENEWAL_SHARE, now)
        current = result.current
        self._expected_revision = 0 if current is None else current.modified_at
        return self._after(0.0, now)

    def _after(self, seconds: float, now: float) -> list[Action]:
        self._step += 1
        due_at = now + seconds * self._random.uniform(0.8, 1.2)
        return [Schedule(due_at, PresenceDue(self._step))]


class NodeCount:
    """How many nodes there are, as their keys tell.

    Parameters
    ----------
    settings
        What to assume while nothing is known, and how long a greater count is remembered.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._names: set[str] = set()
        self._greatest = 0
        self._greatest_at = float("-inf")

    def put(self, name: str) -> None:
        """Take in a node's key."""
        self._names.add(name)

    def remove(self, name: str) -> None:
        """Take in that a node's key is gone."""
        self._names.discard(name)

    def hashed_position(self, name: str, salt: str) -> int | None:
        """Return a node's place among all, in an order of its own for each salt.

        ``None``: the node's key is not there.
        """
        if name not in self._names:
            return None
        own = (zlib.crc32((salt + name).encode()), name)
        return sum((zlib.crc32((salt + other).encode()), other) < own for other in self._names)

    def keep_only(self, names: set[str]) -> None:
        """Take in a whole listing."""
        self._names = names

    def get(self, now: float) -> int:
        """Return the greatest recent number of nodes."""
        present = len(self._names)
        is_old = now - self._greatest_at > self._settings.node_count_memory_seconds
        if present >= self._greatest or is_old:
            self._greatest = present
            self._greatest_at = now
        # Nodes that have just started have no key yet.
        fewest = self._settings.min_nodes if present else self._settings.max_nodes
        return max(self._greatest, fewest)
