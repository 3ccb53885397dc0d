"""Says whether this node is ready for callers, and leads it through its stop."""

from typing import Protocol

from ...model.routing_table import CallerLimits, RoutingTable
from ...model.value import value
from ...ports.forwarding import SetForwarding
from ...ports.machine import Action, Event, Exit, Log, LogLevel, Schedule
from ..choice.replica_directory import ReplicaDirectory
from ..settings import ForwardingSettings
from .decision import LEAST_SHARE
from .departure import CallersMove, Departure
from .route_demand import RouteDemand

START_MOST_SECONDS = 0.3
"""Time after a configuration and a replica are known at which a node that has just started takes
callers in any case. A listing tells all at once, and news of another node follow within this time;
replicas that are not there at all must keep no node from its other callers."""
STOP_CHECK_SECONDS = 0.1
"""Time between two looks whether the stop can end."""


@value
class StopCheckDue(Event):
    """Look whether the stop can end."""


@value
class ReadyDue(Event):
    """A node that has just started takes callers now in any case."""


class ServesRequests(Protocol):
    """What passes requests on."""

    is_stopping: bool

    @property
    def open_exchanges(self) -> int:
        """The number of requests without an answer."""
        ...


class NodeReadiness:
    """Whether callers are taken, and what they may cost.

    Parameters
    ----------
    settings
        How long a stop takes.
    directory
        Without a replica no caller is taken.
    requests
        What is under way, for which a stop waits.
    asked
        Tells how much of what callers ask can be answered.
    departure
        Whether callers are better off elsewhere.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        requests: ServesRequests,
        asked: RouteDemand,
        departure: Departure,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._requests = requests
        self._asked = asked
        self._departure = departure
        self._able_since: float | None = None
        """When a configuration and a replica were first known."""
        self._has_started = False
        self._move = CallersMove.STAY
        self._table: RoutingTable | None = None
        self._idle_seconds = 0.0
        self._stopping_since: float | None = None
        self._was_ready = False

    @property
    def can_serve(self) -> bool:
        """Whether anything can be answered, whether or not callers are better off elsewhere."""
        is_stopping = self._stopping_since is not None
        return not is_stopping and self._table is not None and len(self._directory) > 0

    @property
    def is_ready(self) -> bool:
        """Whether new callers may come."""
        return self.can_serve and self._has_started and not self._departure.is_away

    def set_table(self, table: RoutingTable) -> None:
        """Take in a configuration."""
        self._table = table
        self._asked.keep_only(table.routes)

    def update(self, now: float) -> list[Action]:
        """Tell whether this node is ready, if that has changed."""
        waiting = self._start(now)
        is_ready = self.is_ready
        move = self._departure.callers_move(now)
        if is_ready == self._was_ready:
            if move is self._move:
                return waiting
            self._move = move
            return [*waiting, self.current_forwarding(closes_idle=move is CallersMove.IDLE_CLOSE)]
        self._was_ready = is_ready
        self._move = move
        line = Log("ready_changed", LogLevel.INFO, (("is_ready", int(is_ready)),))
        return [*waiting, line, self.current_forwarding()]

    def current_forwarding(self, closes_idle: bool = False) -> SetForwarding:
        """Return what is in force for callers."""
        limits = CallerLimits() if self._table is None else self._table.limits
        # A shorter idle time would cut off callers that still go by the longer one.
        self._idle_seconds = max(self._idle_seconds, limits.idle_seconds)
        limits = CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.request_read_seconds,
            self._idle_seconds,
        )
        is_stopping = self._stopping_since is not None
        closes_connections = is_stopping or self._move is not CallersMove.STAY
        return SetForwarding(self.is_ready, closes_connections, limits, closes_idle)

    def _start(self, now: float) -> list[Action]:
        """Take callers once most of what they may ask can be answered, or soon in any case."""
        if self._has_started or not self.can_serve or self._table is None:
            return []
        waiting: list[Action] = []
        if self._able_since is None:
            self._able_since = now
            waiting.append(Schedule(now + START_MOST_SECONDS, ReadyDue()))
        is_due = now >= self._able_since + START_MOST_SECONDS
        if is_due or self._asked.share(self._table, (), now) >= LEAST_SHARE:
            self._has_started = True
            return []
        return waiting

    def stop(self, now: float) -> list[Action]:
        """Take no more callers and begin to wait for what is under way."""
        if self._stopping_since is not None:
            return []
        self._stopping_since = now
        self._requests.is_stopping = True
        fields = (("open_requests", self._requests.open_exchanges),)
        return [
            Log("stop_started", LogLevel.INFO, fields),
            *self.update(now),
            self.current_forwarding(),
            Schedule(now + STOP_CHECK_SECONDS, StopCheckDue()),
        ]

    def check_stop(self, now: float) -> list[Action]:
        """End the node once nothing is under way any more."""
        assert self._stopping_since is not None
        elapsed = now - self._stopping_since
        open_requests = self._requests.open_exchanges
        most_seconds = self._settings.max_stop_seconds
        is_over = elapsed >= most_seconds
        if elapsed >= self._settings.idle_close_seconds and not open_requests:
            is_over = True
        if is_over:
            return [Exit(open_requests, grace_seconds=max(most_seconds - elapsed, 0.0))]
        return [Schedule(now + STOP_CHECK_SECONDS, StopCheckDue())]
