"""Runs procedures that wait: for a reply of the store, for time to pass.

A script is a generator. It yields a step, is resumed when the step is done, and so reads from
top to bottom although many events pass meanwhile. It does no I/O and reads no clock: the runner
turns its steps into actions and resumes it with the events that answer them.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import TypeVar

from ..model.failure import Failure
from ..ports.machine import Action, Count, Event, Schedule
from ..ports.store import (
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreResult,
)

StoreOutcome = StoreResult | Failure[StoreFailureKind]


@dataclass(frozen=True, slots=True)
class CallStore:
    """Step: perform an operation and wait for its outcome."""

    operation: StoreOperation


@dataclass(frozen=True, slots=True)
class Pause:
    """Step: wait."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Perform:
    """Step: hand out actions and go on at once."""

    actions: tuple[Action, ...]


Step = CallStore | Pause | Perform


@dataclass(frozen=True, slots=True)
class Resumed:
    """What a script is resumed with: the time, and the store's outcome if it asked for one."""

    now: float
    outcome: StoreOutcome | None = None


Value = TypeVar("Value")
Script = Generator[Step, Resumed, Value]


@dataclass(frozen=True, slots=True)
class StoreReply:
    """The outcome of a store operation and when it came."""

    now: float
    outcome: StoreOutcome


def call_store(operation: StoreOperation) -> Script[StoreReply]:
    """Perform ``operation`` and return its outcome."""
    resumed = yield CallStore(operation)
    assert resumed.outcome is not None
    return StoreReply(resumed.now, resumed.outcome)


def pause(seconds: float) -> Script[float]:
    """Wait and return the time then."""
    resumed = yield Pause(seconds)
    return resumed.now


def perform(*actions: Action) -> Script[float]:
    """Hand out actions at once and return the time."""
    resumed = yield Perform(actions)
    return resumed.now


@dataclass(frozen=True, slots=True)
class ScriptTimer(Event):
    """A pause of the configuration machine's script ``number`` is over."""

    number: int


class StoreHealth:
    """What the replies say of the store."""

    def __init__(self) -> None:
        self.reachable: bool | None = None
        """Whether the last operation was answered; ``None`` before the first."""
        self.last_reply_at: float | None = None

    def record(self, outcome: StoreOutcome, now: float) -> None:
        """Take in the outcome of an operation."""
        self.reachable = not isinstance(outcome, Failure)
        if self.reachable:
            self.last_reply_at = now


class ScriptRunner:
    """Runs scripts, each to its end, interleaved by the events they wait for.

    Parameters
    ----------
    operation_prefix
        Begins the ids of this runner's store operations, which are unique on the node.
    """

    def __init__(self, operation_prefix: str) -> None:
        self.store_health = StoreHealth()
        self._operation_prefix = operation_prefix
        self._last_number = 0
        self._waiting_for_store: dict[str, Script[list[Action]]] = {}
        self._paused: dict[int, Script[list[Action]]] = {}

    def start(self, script: Script[list[Action]], now: float) -> list[Action]:
        """Begin a script; the actions that it returns at its end are handed out too."""
        return self._advance(script, None, now)

    def handle(self, event: StoreResponse | ScriptTimer, now: float) -> list[Action]:
        """Resume the script that waits for ``event``; others' events are ignored."""
        if isinstance(event, ScriptTimer):
            paused = self._paused.pop(event.number, None)
            return [] if paused is None else self._advance(paused, Resumed(now), now)
        waiting = self._waiting_for_store.pop(event.operation_id, None)
        if waiting is None:
            return []
        self.store_health.record(event.result, now)
        return self._advance(waiting, Resumed(now, event.result), now)

    def _advance(
        self, script: Script[list[Action]], resumed: Resumed | None, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        while True:
            try:
                step = next(script) if resumed is None else script.send(resumed)
            except StopIteration as end:
                return actions + list(end.value)
            if not isinstance(step, Perform):
                return actions + self._wait(script, step, now)
            actions += step.actions
            resumed = Resumed(now)

    def _wait(
        self, script: Script[list[Action]], step: CallStore | Pause, now: float
    ) -> list[Action]:
        self._last_number += 1
        if isinstance(step, Pause):
            self._paused[self._last_number] = script
            return [Schedule(now + step.seconds, ScriptTimer(self._last_number))]
        operation_id = f"{self._operation_prefix}-{self._last_number}"
        self._waiting_for_store[operation_id] = script
        name = type(step.operation).__name__
        return [
            Count("configuration_store_requests_total", labels=(("operation", name),)),
            StoreRequest(operation_id, step.operation),
        ]
