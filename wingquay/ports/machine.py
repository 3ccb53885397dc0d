"""Base types of the decision code: state machines that take events and return actions.

Machines do no I/O and read no clock, so that the same code runs under asyncio and under the
simulator. Times (``now``) are in seconds on a monotonic clock with an arbitrary zero. Source: Dask
distributed's ``WorkerState``.
"""

from dataclasses import field
from typing import Protocol

from ..model.value import value


class Event:
    """Base of every event: something that happened."""

    __slots__ = ()


class Action:
    """Base of every action: something that the surrounding process performs."""

    __slots__ = ()


class Machine(Protocol):
    """A state machine that makes decisions."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle ``event`` at time ``now`` (seconds) and return the actions to perform in order."""
        ...


@value
class Schedule(Action):
    """Deliver ``event`` to the machine at ``at_seconds``.

    Scheduled events cannot be cancelled; machines ignore stale ones.
    """

    at_seconds: float
    event: Event


class LogLevel:
    """Severities of log lines, as plain strings."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@value
class Log(Action):
    """Write a log line of key=value pairs."""

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
    """Add ``value`` to the histogram ``name``, whose suffix states the unit."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@value
class Start(Event):
    """The process is up; sent exactly once, before all other events."""


@value
class EventLoopLag(Event):
    """Delay of a timer of the event loop; sent about ten times a second."""

    lag_seconds: float


@value
class ProcessResumed(Event):
    """The process was suspended and runs again; no events were handled meanwhile.

    Parameters
    ----------
    seconds
        Length of the suspension. The time ``now`` passed to machines includes it.
    """

    seconds: float


@value
class StopRequested(Event):
    """A planned stop was requested (SIGTERM)."""


@value
class Exit(Action):
    """End the process: requests in flight have finished or were aborted.

    Parameters
    ----------
    cut_requests
        Number of requests aborted because the time limit of the stop expired.
    notes
        Remarks on the stop, for people.
    grace_seconds
        Time for requests that were on their way to the node when it decided to exit. Those read
        within this time are still answered.
    """

    cut_requests: int = 0
    notes: tuple[str, ...] = field(default=())
    grace_seconds: float = 0.0
