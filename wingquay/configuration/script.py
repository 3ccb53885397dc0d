"""Runs scripts: procedures that wait for replies of the store or for time to pass.

A script is a generator that yields steps. The runner turns each step into actions and resumes the
script with the event that completes the step. A script does no I/O and reads no clock.
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
    """Step: send an operation to the store and wait for its outcome."""

    operation: StoreOperation


@dataclass(frozen=True, slots=True)
class Pause:
    """Step: wait for ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Perform:
    """Step: emit actions and continue without waiting."""

    actions: tuple[Action, ...]


Step = CallStore | Pause | Perform


@dataclass(frozen=True, slots=True)
class Resumption:
    """Value sent to a script on resumption; ``outcome`` is set only after ``CallStore``."""

    now: float
    outcome: StoreOutcome | None = None


Value = TypeVar("Value")
Script = Generator[Step, Resumption, Value]
"""A generator that yields steps and finally returns ``Value``."""


@dataclass(frozen=True, slots=True)
class StoreReply:
    """The outcome of a store operation and the time of its arrival."""

    now: float
    outcome: StoreOutcome


def call_store(operation: StoreOperation) -> Script[StoreReply]:
    """Send ``operation`` to the store and return its outcome."""
    resumed = yield CallStore(operation)
    assert resumed.outcome is not None
    return StoreReply(resumed.now, resumed.outcome)


def pause(seconds: float) -> Script[float]:
    """Wait for ``seconds`` and return the time afterwards."""
    resumed = yield Pause(seconds)
    return resumed.now


def perform(*actions: Action) -> Script[float]:
    """Emit actions and return the current time; without actions, only read the time."""
    resumed = yield Perform(actions)
    return resumed.now


@dataclass(frozen=True, slots=True)
class ScriptTimer(Event):
    """The pause ``number`` of a script of the configuration machine is over."""

    number: int


class StoreHealth:
    """Availability of the store as observed from its replies."""

    def __init__(self) -> None:
        self.reachable: bool | None = None
        """Whether the last operation succeeded; ``None`` before the first."""
        self.last_reply_at: float | None = None
        """Time of the last successful operation; ``None`` before the first."""

    def record(self, outcome: StoreOutcome, now: float) -> None:
        """Record the outcome of an operation."""
        self.reachable = not isinstance(outcome, Failure)
        if self.reachable:
            self.last_reply_at = now


class ScriptRunner:
    """Runs scripts concurrently; each is resumed by the events that it waits for.

    Parameters
    ----------
    operation_prefix
        Prefix of the ids of this runner's store operations, unique among the node's runners.
    """

    def __init__(self, operation_prefix: str) -> None:
        self.store_health = StoreHealth()
        self._operation_prefix = operation_prefix
        self._last_number = 0
        self._waiting_for_store: dict[str, Script[list[Action]]] = {}
        self._paused: dict[int, Script[list[Action]]] = {}

    def start(self, script: Script[list[Action]], now: float) -> list[Action]:
        """Run a script up to its first wait and return the actions emitted so far."""
        return self._advance(script, None, now)

    def handle(self, event: StoreResponse | ScriptTimer, now: float) -> list[Action]:
        """Resume the script that waits for ``event``; ignore unknown events."""
        if isinstance(event, ScriptTimer):
            paused = self._paused.pop(event.number, None)
            return [] if paused is None else self._advance(paused, Resumption(now), now)
        waiting = self._waiting_for_store.pop(event.operation_id, None)
        if waiting is None:
            return []
        self.store_health.record(event.result, now)
        return self._advance(waiting, Resumption(now, event.result), now)

    def _advance(
        self, script: Script[list[Action]], resumed: Resumption | None, now: float
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
            resumed = Resumption(now)

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
