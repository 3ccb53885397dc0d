"""A model of the key-value store: histories, listings, watches, outages, older copies."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from itertools import count

from ...model.failure import Failure
from ...model.store_version import StoreVersion
from ...ports.machine import Event
from ...ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    StartWatch,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreRestored,
    StoreResult,
    SwapResult,
    WatchBroken,
    WatchChanged,
)
from ..virtual_clock import VirtualClock
from .store_copies import COPY_INTERVAL_SECONDS, LostWrites, StoreCopies, lost_writes

LATENCY_SECONDS = 0.004
LEASE_SECONDS = 36.0
LOOK = "Look"
"""Kind of the calls that a watch makes."""
LOST_ANSWER_SECONDS = 1.5
"""After this time a caller gives an answer up that was lost."""

Emit = Callable[[Event], None]


@dataclass(slots=True, eq=False)
class _Watch:
    """Looks at the store, one after the other, as a node's client of the store makes them."""

    action: StartWatch
    emit: Emit
    node: int
    seen: StoreVersion
    asked_at: float | None = None
    """When the look under way began; ``None`` between two."""
    is_lost: bool = False
    """Whether the look under way, or its answer, was lost on the way."""
    is_ended: bool = False


@dataclass(slots=True)
class StoreModel:
    """The store and its troubles.

    Its versions are those of an adapter: the era of an answer is announced before it to each node
    that has had no answer of the era.

    Parameters
    ----------
    down_until, slow_until
        While down, every call breaks; while slow, answers take fifty times as long.
    cut_off
        Nodes whose answers are lost, and until when.
    """

    clock: VirtualClock
    revision: int = 0
    era: int = 0
    down_until: float = 0.0
    slow_until: float = 0.0
    deaf_until: float = 0.0
    """Until then watches hear nothing."""
    cut_off: dict[int, float] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    """Calls that were begun, by kind: they have a price."""
    _items: dict[str, StoredValue] = field(default_factory=dict)
    _history: list[tuple[int, str, StoredValue | None]] = field(default_factory=list)
    _forgotten_revision: int = 0
    _watches: list[_Watch] = field(default_factory=list)
    _leases: dict[int, float] = field(default_factory=dict)
    _lease_ids: Iterator[int] = field(default_factory=lambda: count(1))
    _written: dict[str, bytes] = field(default_factory=dict)
    """What the operator and replicas wrote last, whether the store still has it or not."""
    _copies: StoreCopies = field(default_factory=StoreCopies)
    _seen_eras: dict[Emit, int] = field(default_factory=dict)
    """The era of the last answer to each node."""

    def keep_copies(self) -> None:
        """Keep a copy every now and then, from which the store may come back."""
        self._copies.take(self.clock.now, self.revision, self._items)
        self.clock.after(COPY_INTERVAL_SECONDS, self.keep_copies)

    def restore(self, age_seconds: float) -> LostWrites:
        """Come back from the newest copy of at least that age.

        All leases are gone, with the keys that hang on them; revisions are assigned again.
        """
        copy = self._copies.go_back(self.clock.now - age_seconds)
        lost = lost_writes(self._items, copy.items)
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = [entry for entry in self._history if entry[0] <= copy.revision]
        self._leases.clear()
        self._wake()
        return lost

    def write_again(self, key: str) -> None:
        """Let the operator or a replica write what it wrote last, unless that is there."""
        item = self._items.get(key)
        wanted = self._written.get(key)
        if wanted is None:
            self.delete(key)
        elif item is None or item.value != wanted:
            self.put(key, wanted)

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or a replica."""
        self._written[key] = value
        self._put(key, value)

    def _put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        self.revision += 1
        item = StoredValue(key, value, self.revision, lease_id)
        self._items[key] = item
        self._history.append((self.revision, key, item))
        self._wake()

    def delete(self, key: str) -> None:
        """Remove a key as the operator or a replica."""
        self._written.pop(key, None)
        self._delete(key)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._history.append((self.revision, key, None))
            self._wake()

    def forget_history(self) -> None:
        """Drop all history and cut every watch."""
        self._forgotten_revision = self.revision
        self._history.clear()
        for watch in list(self._watches):
            if watch.asked_at is not None:
                self._look(watch, watch.asked_at)

    def perform(self, node: int, request: StoreRequest, emit: Emit) -> None:
        """Carry out an operation, unless the store is out of the node's reach."""
        operation = request.operation
        begun_at = self.clock.now

        def answer() -> None:
            self._announce_era(emit)
            emit(StoreResponse(request.operation_id, self._result(operation, begun_at)))

        def fail() -> None:
            failure = Failure(StoreFailureKind.LOST_REPLY, "no answer")
            emit(StoreResponse(request.operation_id, failure))

        self.calls[type(operation).__name__] += 1
        if self._is_out_of_reach(node):
            self.clock.after(LOST_ANSWER_SECONDS, fail)
        else:
            self.clock.after(self._latency(), answer)

    def _announce_era(self, emit: Emit) -> None:
        """Tell a node that its next answer is the first one of a new era."""
        seen = self._seen_eras.setdefault(emit, self.era)
        if seen < self.era:
            self._seen_eras[emit] = self.era
            emit(StoreRestored(StoreVersion.of(self.era, 0)))

    def _version(self, revision: int) -> StoreVersion:
        return StoreVersion.of(self.era, revision)

    def _shown(self, item: StoredValue) -> StoredValue:
        """Return an item as answers of this era show it."""
        return replace(item, modified_at=self._version(item.modified_at))

    def _result(
        self, operation: StoreOperation, begun_at: float
    ) -> StoreResult | Failure[StoreFailureKind]:
        if isinstance(operation, GrantLease):
            lease_id = next(self._lease_ids)
            self._leases[lease_id] = self.clock.now + operation.time_to_live_seconds
            self.clock.after(operation.time_to_live_seconds, self._lapse, lease_id)
            return LeaseState(lease_id, operation.time_to_live_seconds)
        if isinstance(operation, KeepLeaseAlive):
            return self._keep(operation.lease_id)
        if isinstance(operation, CompareAndSwap):
            return self._swap(operation)
        assert isinstance(operation, Read)
        values = tuple(
            self._shown(item) for key, item in self._items.items() if key.startswith(operation.key)
        )
        return ReadResult(values, self._version(self.revision), begun_at)

    def _keep(self, lease_id: int) -> LeaseState:
        if lease_id not in self._leases:
            return LeaseState(lease_id, 0.0)
        self._leases[lease_id] = self.clock.now + LEASE_SECONDS
        self.clock.after(LEASE_SECONDS, self._lapse, lease_id)
        return LeaseState(lease_id, LEASE_SECONDS)

    def _swap(self, operation: CompareAndSwap) -> SwapResult | Failure[StoreFailureKind]:
        current = self._items.get(operation.key)
        expected = StoreVersion(operation.expected_modified_at)
        if expected and expected.era != self.era:
            return Failure(StoreFailureKind.UNREACHABLE, "a condition of another era")
        present = 0 if current is None else current.modified_at
        if present != expected.revision:
            shown = None if current is None else self._shown(current)
            return SwapResult(False, self._version(self.revision), shown)
        if operation.lease_id and operation.lease_id not in self._leases:
            return Failure(StoreFailureKind.UNREACHABLE, "there is no such lease")
        self._put(operation.key, operation.value or b"", operation.lease_id)
        return SwapResult(True, self._version(self.revision))

    def _lapse(self, lease_id: int) -> None:
        if self._leases.get(lease_id, self.clock.now + 1.0) > self.clock.now + 1e-6:
            return
        self._leases.pop(lease_id, None)
        for key, item in list(self._items.items()):
            if item.lease_id == lease_id:
                self._delete(key)

    def take_down(self, seconds: float) -> None:
        """Answer nobody for a while; looks that are held by then are lost."""
        self.down_until = max(self.down_until, self.clock.now + seconds)
        self._lose_looks(self._watches)

    def cut_off_node(self, node: int, seconds: float) -> None:
        """Answer one node nothing for a while; a look of it that is held is lost."""
        self.cut_off[node] = max(self.cut_off.get(node, 0.0), self.clock.now + seconds)
        self._lose_looks([watch for watch in self._watches if watch.node == node])

    def reached_since(self, node: int) -> float:
        """Return when the last trouble between a node and the store ended, or will end."""
        return max(self.down_until, self.slow_until, self.cut_off.get(node, 0.0))

    @staticmethod
    def _lose_looks(watches: list[_Watch]) -> None:
        for watch in watches:
            watch.is_lost = watch.asked_at is not None

    def watch(self, node: int, action: StartWatch, emit: Emit) -> None:
        """Begin a watch."""
        watch = _Watch(action, emit, node, StoreVersion(action.from_store_revision))
        self._watches.append(watch)
        self.clock.after(action.pause_seconds, self._ask, watch)

    def stop_watch(self, watch_id: str, emit: Emit) -> None:
        """End one watch."""
        for watch in list(self._watches):
            if watch.emit == emit and watch.action.watch_id == watch_id:
                self._end(watch)

    def forget_node(self, emit: Emit) -> None:
        """End the watches of a node that ended."""
        self._seen_eras.pop(emit, None)
        for watch in list(self._watches):
            if watch.emit == emit:
                self._end(watch)

    def _wake(self) -> None:
        for watch in list(self._watches):
            if watch.asked_at is not None:
                self.clock.after(self._latency(), self._look, watch, watch.asked_at)

    def _ask(self, watch: _Watch) -> None:
        """Begin a look."""
        if watch.is_ended:
            return
        now = self.clock.now
        watch.asked_at = now
        self.calls[LOOK] += 1
        watch.is_lost = self._is_out_of_reach(watch.node)
        action = watch.action
        self.clock.after(action.timeout_seconds, self._give_up, watch, now)
        self.clock.after(self._latency(), self._look, watch, now)
        if action.hold_seconds:
            self.clock.after(action.hold_seconds + self._latency(), self._look, watch, now)

    def _give_up(self, watch: _Watch, asked_at: float) -> None:
        if not watch.is_ended and watch.asked_at == asked_at:
            self._end(watch)
            watch.emit(self._broken(watch, "no answer", False))

    def _look(self, watch: _Watch, asked_at: float) -> None:
        if watch.is_ended or watch.is_lost or watch.asked_at != asked_at:
            return
        is_forgotten = watch.seen.revision < self._forgotten_revision
        if is_forgotten or watch.seen.era != self.era:
            self._end(watch)
            self._announce_era(watch.emit)
            watch.emit(self._broken(watch, "history is forgotten", True))
            return
        if self.clock.now < self.deaf_until:
            self.clock.at(self.deaf_until, self._look, watch, asked_at)
            return
        self._tell(watch, asked_at)

    def _tell(self, watch: _Watch, asked_at: float) -> None:
        changed: dict[str, StoredValue] = {}
        gone: dict[str, None] = {}
        for revision, key, item in self._history:
            if revision <= watch.seen.revision or not key.startswith(watch.action.key):
                continue
            changed.pop(key, None)
            gone.pop(key, None)
            if item is None:
                gone[key] = None
            else:
                changed[key] = self._shown(item)
        is_held = self.clock.now < asked_at + watch.action.hold_seconds
        if not changed and not gone and is_held:
            return
        watch.seen = self._version(self.revision)
        watch.asked_at = None
        self.clock.at(asked_at + watch.action.poll_interval_seconds, self._ask, watch)
        watch.emit(
            WatchChanged(
                watch.action.watch_id,
                tuple(changed.values()),
                tuple(gone),
                watch.seen,
                begun_at=asked_at,
            )
        )

    def _end(self, watch: _Watch) -> None:
        watch.is_ended = True
        if watch in self._watches:
            self._watches.remove(watch)

    def _broken(self, watch: _Watch, reason: str, history_lost: bool) -> WatchBroken:
        return WatchBroken(watch.action.watch_id, reason, history_lost)

    def _is_out_of_reach(self, node: int) -> bool:
        now = self.clock.now
        return now < self.down_until or now < self.cut_off.get(node, 0.0)

    def _latency(self) -> float:
        return LATENCY_SECONDS * (50.0 if self.clock.now < self.slow_until else 1.0)
