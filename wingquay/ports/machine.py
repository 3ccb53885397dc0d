"""The shape of all decision code: events in, actions out, no I/O, no clock.

The same machines run under asyncio and under the simulator. Times are seconds on a clock that
only moves forward and whose zero means nothing (``now``). Source: Dask distributed's
``WorkerState`` and the design's rule 1.
"""

from dataclasses import field
from typing import Protocol

from ..model.value import value


class Event:
    """Something that happened; base of every event."""

    __slots__ = ()


class Action:
    """Something to be done by the surroundings; base of every action."""

    __slots__ = ()


class Machine(Protocol):
    """A state machine that decides."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in ``event`` at time ``now`` (seconds) and return what is to be done, in order."""
        ...


@value
class Schedule(Action):
    """Hand ``event`` back at ``at_seconds``. It cannot be cancelled: stale events are ignored."""

    at_seconds: float
    event: Event


class LogLevel:
    """Severity of a log line."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@value
class Log(Action):
    """Write one log line of key=value pairs."""

    message: str
    level: str = LogLevel.INFO
    fields: tuple[tuple[str, str | int | float], ...] = ()


@value
class Count(Action):
    """Add ``amount`` to the counter ``name`` with the given labels."""

    name: str
    amount: float = 1.0
    labels: tuple[tuple[str, str], ...] = ()


@value
class Observe(Action):
    """Add ``value`` to the histogram ``name`` (the unit is the name's suffix)."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@value
class Start(Event):
    """The process is up; sent once, first."""


@value
class EventLoopLag(Event):
    """How late the event loop fired a timer; sent about ten times a second."""

    lag_seconds: float


@value
class ProcessResumed(Event):
    """The machine was suspended; nothing was handled meanwhile, and others went on.

    Parameters
    ----------
    seconds
        For how long. The time that decisions are given counts it.
    """

    seconds: float


@value
class StopRequested(Event):
    """A planned stop has been asked for (SIGTERM)."""


@value
class Exit(Action):
    """The planned stop is over: nothing is in flight any more.

    Parameters
    ----------
    cut_requests
        Requests cut off because the bounded time ran out.
    grace_seconds
        Time left for requests that were on their way to the node when it decided to end: what has
        been read by then is still answered.
    """

    cut_requests: int = 0
    notes: tuple[str, ...] = field(default=())
    grace_seconds: float = 0.0
