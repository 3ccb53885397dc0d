"""The asyncio surroundings of one machine: feeds it events and performs its actions.

Everything runs on one event loop on one thread. An exception stops here, at the rim: it is logged
with the type of the event or action that raised it, counted, and the loop goes on.
"""

import asyncio
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from .ports.machine import (
    Action,
    Count,
    Event,
    EventLoopLag,
    Log,
    LogLevel,
    Machine,
    Observe,
    Schedule,
)

LAG_PROBE_INTERVAL_SECONDS = 0.1
"""How often the lateness of the event loop is measured."""

LAG_WARNING_SECONDS = 0.25
"""Lateness from which a stall is counted and logged."""

SpecificAction = TypeVar("SpecificAction", bound=Action)
Performer = Callable[[Action], None]


@dataclass(frozen=True, slots=True)
class _Timer:
    """A timer of the event loop and what is handed to the machine when it fires, in order."""

    handle: asyncio.TimerHandle
    events: list[Event] = field(default_factory=list)


class NodeRuntime:
    """Owns a machine: hands it every event with the loop's clock and performs what it decides.

    Parameters
    ----------
    machine
        The decision code.
    loop
        The event loop that everything of this node runs on.
    """

    def __init__(self, machine: Machine, loop: asyncio.AbstractEventLoop) -> None:
        self._machine = machine
        self._loop = loop
        self._performers: dict[type[Action], Performer] = {}
        self._pending: deque[Event] = deque()
        self._handling = False
        self._closed = False
        self._timers: dict[float, _Timer] = {}
        self._lag_probe: asyncio.TimerHandle | None = None
        self.register(Schedule, self._schedule)

    def register(
        self,
        action_type: type[SpecificAction],
        performer: Callable[[SpecificAction], None],
    ) -> None:
        """Perform actions of exactly ``action_type`` with ``performer``."""
        self._performers[action_type] = performer  # type: ignore[assignment]

    def start(self) -> None:
        """Begin to measure the lateness of the event loop."""
        self._probe_lag_at(self._loop.time() + LAG_PROBE_INTERVAL_SECONDS)

    def close(self) -> None:
        """Take no more events and forget every timer."""
        self._closed = True
        self._pending.clear()
        for timer in self._timers.values():
            timer.handle.cancel()
        self._timers.clear()
        if self._lag_probe is not None:
            self._lag_probe.cancel()

    def emit(self, event: Event) -> None:
        """Hand ``event`` to the machine; events emitted meanwhile follow in order."""
        if self._closed:
            return
        self._pending.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._pending:
                self._handle(self._pending.popleft())
        finally:
            self._handling = False

    def perform(self, action: Action) -> None:
        """Perform one action with the performer of its type."""
        performer = self._performers.get(type(action))
        if performer is None:
            self._report_failure("action_unknown", type(action).__name__, None)
            return
        try:
            performer(action)
        except Exception as error:  # noqa: BLE001 - the rim
            self._report_failure("action_failed", type(action).__name__, error)

    def _handle(self, event: Event) -> None:
        try:
            actions = self._machine.handle(event, self._loop.time())
        except Exception as error:  # noqa: BLE001 - the rim
            self._report_failure("event_failed", type(event).__name__, error)
            return
        for action in actions:
            self.perform(action)

    def _report_failure(self, message: str, type_name: str, error: Exception | None) -> None:
        fields: tuple[tuple[str, str | int | float], ...] = (("type", type_name),)
        if error is not None:
            fields += (("error", repr(error)), ("traceback", _traceback_line(error)))
        self._perform_quietly(Log(message, LogLevel.ERROR, fields))
        labels = (("what", message), ("type", type_name))
        self._perform_quietly(Count("runtime_failures_total", labels=labels))

    def _perform_quietly(self, action: Action) -> None:
        """Perform a log or metrics action; its failure has nowhere left to be reported."""
        performer = self._performers.get(type(action))
        if performer is None:
            return
        try:
            performer(action)
        except Exception as error:  # noqa: BLE001 - the rim
            self._loop.call_exception_handler({"message": str(error), "exception": error})

    def _schedule(self, action: Schedule) -> None:
        """Set a timer; events for the same instant, as a query's hedges are, share one."""
        if self._closed:
            return
        at_seconds = action.at_seconds
        timer = self._timers.get(at_seconds)
        if timer is None:
            handle = self._loop.call_at(at_seconds, self._fire, at_seconds)
            timer = self._timers[at_seconds] = _Timer(handle)
        timer.events.append(action.event)

    def _fire(self, at_seconds: float) -> None:
        for event in self._timers.pop(at_seconds).events:
            self.emit(event)

    def _probe_lag_at(self, due_seconds: float) -> None:
        self._lag_probe = self._loop.call_at(due_seconds, self._measure_lag, due_seconds)

    def _measure_lag(self, due_seconds: float) -> None:
        now = self._loop.time()
        lag_seconds = now - due_seconds
        self._perform_quietly(Observe("loop_lag_seconds", lag_seconds))
        self.emit(EventLoopLag(lag_seconds))
        if lag_seconds >= LAG_WARNING_SECONDS:
            self._perform_quietly(Count("loop_stalls_total"))
            fields = (("lag_seconds", round(lag_seconds, 3)),)
            self._perform_quietly(Log("loop_stalled", LogLevel.WARNING, fields))
        self._probe_lag_at(now + LAG_PROBE_INTERVAL_SECONDS)


def _traceback_line(error: Exception) -> str:
    """Return where ``error`` was raised, innermost last, on one line."""
    frames = traceback.extract_tb(error.__traceback__)
    return " > ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
