"""An in-memory store with one value per key, lost replies and delayed writes."""

import random
from collections.abc import Callable

from wingquay.model.failure import Failure
from wingquay.ports.store import (
    CompareAndSwap,
    Read,
    ReadResult,
    StoredValue,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    StoreResult,
    SwapResult,
)

ONE_WAY_SECONDS = 0.002
LATE_WRITE_SECONDS = (0.002, 0.4, 5.0, 50.0)


class InMemoryStore:
    """A store that schedules its replies through ``at(time, run)``."""

    def __init__(
        self, source: random.Random, at: Callable[[float, Callable[[], None]], None]
    ) -> None:
        self._random = source
        self._at = at
        self._stored: dict[str, StoredValue] = {}
        self._revision = 0
        self.cut_off: set[str] = set()
        self.is_down = False
        self.lost_replies = 0.0
        self.operations = 0

    def heal(self) -> None:
        self.cut_off.clear()
        self.is_down = False
        self.lost_replies = 0.0

    def submit(
        self,
        node_id: str,
        request: StoreRequest,
        now: float,
        deliver: Callable[[StoreResponse], None],
    ) -> None:
        self.operations += 1

        def answer(result: StoreResult | Failure[StoreFailureKind], at: float) -> None:
            self._at(at, lambda: deliver(StoreResponse(request.operation_id, result)))

        if self.is_down or node_id in self.cut_off:
            answer(Failure(StoreFailureKind.UNREACHABLE, "cut off"), now + 0.1)
            return
        if self._random.random() >= self.lost_replies:
            applied_at = now + ONE_WAY_SECONDS
            self._at(applied_at, lambda: answer(self._apply(request), applied_at + ONE_WAY_SECONDS))
            return
        answer(Failure(StoreFailureKind.LOST_REPLY, "lost"), now + 0.5)
        if self._random.random() < 0.7:
            lands_at = now + self._random.choice(LATE_WRITE_SECONDS)
            self._at(lands_at, lambda: self._apply_late(request))

    def _apply_late(self, request: StoreRequest) -> None:
        self._apply(request)

    def _apply(self, request: StoreRequest) -> StoreResult:
        match request.operation:
            case Read(key=key):
                value = self._stored.get(key)
                return ReadResult((value,) if value else (), self._revision)
            case CompareAndSwap(key=key, value=bytes() as new) as swap:
                present = self._stored.get(key)
                if swap.expected_modified_at != (present.modified_at if present else 0):
                    return SwapResult(False, self._revision, present)
                self._revision += 1
                self._stored[key] = StoredValue(key, new, self._revision)
                return SwapResult(True, self._revision)
            case _:
                raise AssertionError(f"unexpected operation {request.operation}")
