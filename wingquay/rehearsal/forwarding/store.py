"""A model of the key-value store: one history, listings, watches, outages, compaction."""

from collections.abc import Callable
from dataclasses import dataclass, field

from wingquay.model.failure import Failure
from wingquay.ports.machine import Event
from wingquay.ports.store import (
    Read,
    ReadResult,
    StartWatch,
    StoredValue,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from wingquay.rehearsal.virtual_clock import VirtualClock

LATENCY_SECONDS = 0.004
WATCH_SECONDS = 3.0
"""How long the store holds a watch on which nothing happens."""
LOST_ANSWER_SECONDS = 1.5
"""After this time a caller gives an answer up that was lost."""

Emit = Callable[[Event], None]


@dataclass(slots=True, eq=False)
class _Watch:
    action: StartWatch
    emit: Emit
    node: int
    seen_revision: int
    next_look: float = 0.0
    is_ended: bool = False


@dataclass(slots=True)
class StoreModel:
    """The store and its troubles.

    Parameters
    ----------
    down_until, slow_until
        While down, every call breaks; while slow, answers take fifty times as long.
    cut_off
        Nodes whose answers are lost, and until when.
    """

    clock: VirtualClock
    revision: int = 0
    down_until: float = 0.0
    slow_until: float = 0.0
    deaf_until: float = 0.0
    """Until then watches hear nothing."""
    cut_off: dict[int, float] = field(default_factory=dict)
    _items: dict[str, StoredValue] = field(default_factory=dict)
    _history: list[tuple[int, str, StoredValue | None]] = field(default_factory=list)
    _forgotten_revision: int = 0
    _watches: list[_Watch] = field(default_factory=list)

    def put(self, key: str, value: bytes) -> None:
        """Write a key."""
        self.revision += 1
        item = StoredValue(key, value, self.revision)
        self._items[key] = item
        self._history.append((self.revision, key, item))
        self._wake()

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._history.append((self.revision, key, None))
            self._wake()

    def forget_history(self) -> None:
        """Drop all history and cut every watch."""
        self._forgotten_revision = self.revision
        self._history.clear()
        for watch in list(self._watches):
            self._look(watch)

    def perform(self, node: int, request: StoreRequest, emit: Emit) -> None:
        """Carry out a read of everything under a prefix."""
        operation = request.operation
        assert isinstance(operation, Read)

        def answer() -> None:
            values = tuple(
                item for key, item in self._items.items() if key.startswith(operation.key)
            )
            emit(StoreResponse(request.operation_id, ReadResult(values, self.revision)))

        def fail() -> None:
            failure = Failure(StoreFailureKind.LOST_REPLY, "no answer")
            emit(StoreResponse(request.operation_id, failure))

        if self._is_out_of_reach(node):
            self.clock.after(LOST_ANSWER_SECONDS, fail)
        else:
            self.clock.after(self._latency(), answer)

    def watch(self, node: int, action: StartWatch, emit: Emit) -> None:
        """Begin a watch."""
        watch = _Watch(action, emit, node, action.from_store_revision)
        self._watches.append(watch)
        self.clock.after(self._latency(), self._look, watch)

    def forget_node(self, emit: Emit) -> None:
        """End the watches of a node that ended."""
        for watch in list(self._watches):
            if watch.emit == emit:
                self._end(watch)

    def _wake(self) -> None:
        for watch in list(self._watches):
            self.clock.after(self._latency(), self._look, watch)

    def _look(self, watch: _Watch) -> None:
        if watch.is_ended or self.clock.now < watch.next_look:
            return
        if self._is_out_of_reach(watch.node):
            self._end(watch)
            self.clock.after(WATCH_SECONDS, watch.emit, self._broken(watch, "no answer", False))
            return
        if watch.seen_revision < self._forgotten_revision:
            self._end(watch)
            watch.emit(self._broken(watch, "history is forgotten", True))
            return
        if self.clock.now < self.deaf_until:
            return
        self._tell(watch)

    def _tell(self, watch: _Watch) -> None:
        changed: dict[str, StoredValue] = {}
        gone: dict[str, None] = {}
        for revision, key, item in self._history:
            if revision <= watch.seen_revision or not key.startswith(watch.action.key):
                continue
            changed.pop(key, None)
            gone.pop(key, None)
            if item is None:
                gone[key] = None
            else:
                changed[key] = item
        if not changed and not gone:
            return
        watch.seen_revision = self.revision
        watch.next_look = self.clock.now + watch.action.gather_seconds
        self.clock.at(watch.next_look, self._look, watch)
        watch.emit(
            WatchChanged(watch.action.watch_id, tuple(changed.values()), tuple(gone), self.revision)
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
