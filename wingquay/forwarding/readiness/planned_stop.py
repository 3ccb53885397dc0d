"""The planned stop: stops accepting callers, waits for open requests, and ends what is left."""

from typing import Protocol

from ...model.value import value
from ...ports.machine import Action, Event, Exit, Log, LogLevel, Schedule
from ..settings import ForwardingSettings
from .node_readiness import NodeReadiness

STOP_CHECK_SECONDS = 0.1
"""Time between two checks whether the stop is complete."""


@value
class StopCheckDue(Event):
    """Check whether the stop is complete."""


class RequestServer(Protocol):
    """The part of the node that serves requests."""

    @property
    def open_exchanges(self) -> int:
        """The number of requests without a response."""
        ...

    def begin_stop(self, ends_at: float) -> None:
        """Reject delegated requests, and those of callers that may take longer than ``ends_at``."""
        ...

    def end_all(self, now: float) -> list[Action]:
        """Give every open request its final response."""
        ...


class PlannedStop:
    """Decides when callers' connections are closed and when the node exits.

    Idle connections are closed at a fixed time even while requests are open. Otherwise callers
    would go on sending requests on them that the node could not finish.

    Parameters
    ----------
    settings
        The durations of a stop.
    requests
        The requests under way, which a stop waits for.
    readiness
        Tells callers that they are no longer accepted.
    """

    def __init__(
        self, settings: ForwardingSettings, requests: RequestServer, readiness: NodeReadiness
    ) -> None:
        self._settings = settings
        self._requests = requests
        self._readiness = readiness
        self._began_at: float | None = None
        self._has_closed_idle = False
        self._has_exited = False

    def begin(self, now: float) -> list[Action]:
        """Stop accepting callers and start to wait for the requests under way."""
        if self._began_at is not None:
            return []
        self._began_at = now
        self._requests.begin_stop(now + self._settings.max_stop_seconds)
        fields = (("open_requests", self._requests.open_exchanges),)
        return [
            Log("stop_started", LogLevel.INFO, fields),
            *self._readiness.stop(now),
            Schedule(now + STOP_CHECK_SECONDS, StopCheckDue()),
        ]

    def check(self, now: float) -> list[Action]:
        """Close idle connections when due; exit once no requests are open or the time is over.

        The checks go on after the exit was decided, for requests that were still on their way then.
        """
        assert self._began_at is not None
        elapsed = now - self._began_at
        actions = self._close_idle_if_due(elapsed)
        is_over = elapsed >= self._settings.max_stop_seconds
        if is_over:
            actions += self._requests.end_all(now)
        else:
            actions.append(Schedule(now + STOP_CHECK_SECONDS, StopCheckDue()))
        if self._has_closed_idle and not self._requests.open_exchanges:
            actions += self._exit(elapsed)
        return actions

    def _close_idle_if_due(self, elapsed: float) -> list[Action]:
        if self._has_closed_idle or elapsed < self._settings.idle_close_seconds:
            return []
        self._has_closed_idle = True
        return [self._readiness.current_forwarding(closes_idle=True)]

    def _exit(self, elapsed: float) -> list[Action]:
        if self._has_exited:
            return []
        self._has_exited = True
        seconds_left = max(self._settings.max_stop_seconds - elapsed, 0.0)
        line = Log("stop_ended", LogLevel.INFO, (("seconds", round(elapsed, 1)),))
        return [line, Exit(cut_requests=0, grace_seconds=seconds_left)]
