"""Readiness of this node for callers, and the limits that apply to them."""

from ...model.routing_table import CallerLimits, RoutingTable
from ...model.value import value
from ...ports.forwarding import SetForwarding
from ...ports.machine import Action, Event, Log, LogLevel, Schedule
from ..choice.replica_directory import ReplicaDirectory
from .decision import MIN_ANSWERABLE_SHARE
from .departure import ConnectionClosing, Departure
from .route_demand import RouteDemand

MAX_START_WAIT_SECONDS = 0.3
"""Maximum time for which a starting node with a configuration and a replica waits for further
replicas before it becomes ready. A replica that does not exist must not keep the node from its
other callers."""


@value
class ReadyDue(Event):
    """The maximum start wait is over."""


class NodeReadiness:
    """Decides whether new callers are accepted, and which limits apply to them.

    Parameters
    ----------
    directory
        The replicas; without any, no callers are accepted.
    demand
        The share of recent demand that can be answered.
    departure
        Whether the node is out of service.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        demand: RouteDemand,
        departure: Departure,
    ) -> None:
        self._directory = directory
        self._demand = demand
        self._departure = departure
        self._servable_since: float | None = None
        """When the node first had both a configuration and a replica."""
        self._is_start_wait_over = False
        self._closing = ConnectionClosing.KEEP
        self._table: RoutingTable | None = None
        self._idle_seconds = 0.0
        self._is_stopping = False
        self._was_ready = False

    @property
    def can_serve(self) -> bool:
        """Whether the node can answer any requests, even while it is out of service."""
        return not self._is_stopping and self._table is not None and len(self._directory) > 0

    @property
    def is_ready(self) -> bool:
        """Whether new callers are accepted."""
        return self.can_serve and self._is_start_wait_over and not self._departure.is_away

    def set_table(self, table: RoutingTable) -> None:
        """Apply a configuration."""
        self._table = table
        self._demand.keep_only(table.routes)

    def update(self, now: float) -> list[Action]:
        """Return the actions that follow from a change of readiness or of connection closing."""
        start_timer = self._check_start_wait(now)
        is_ready = self.is_ready
        closing = self._departure.connection_closing(now)
        if is_ready == self._was_ready:
            if closing is self._closing:
                return start_timer
            self._closing = closing
            return [
                *start_timer,
                self.current_forwarding(closes_idle=closing is ConnectionClosing.CLOSE_IDLE),
            ]
        self._was_ready = is_ready
        self._closing = closing
        line = Log("ready_changed", LogLevel.INFO, (("is_ready", int(is_ready)),))
        return [*start_timer, line, self.current_forwarding()]

    def current_forwarding(self, closes_idle: bool = False) -> SetForwarding:
        """Return the settings that are in force for callers."""
        limits = CallerLimits() if self._table is None else self._table.limits
        # Never shorten the idle time: callers may still rely on the longer one.
        self._idle_seconds = max(self._idle_seconds, limits.idle_seconds)
        limits = CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.request_read_seconds,
            self._idle_seconds,
        )
        closes_connections = self._is_stopping or self._closing is not ConnectionClosing.KEEP
        return SetForwarding(self.is_ready, closes_connections, limits, closes_idle)

    def _check_start_wait(self, now: float) -> list[Action]:
        """Become ready once most of the demand can be answered, or after the maximum wait."""
        if self._is_start_wait_over or not self.can_serve or self._table is None:
            return []
        start_timer: list[Action] = []
        if self._servable_since is None:
            self._servable_since = now
            start_timer.append(Schedule(now + MAX_START_WAIT_SECONDS, ReadyDue()))
        is_due = now >= self._servable_since + MAX_START_WAIT_SECONDS
        if is_due or self._demand.share(self._table, (), now) >= MIN_ANSWERABLE_SHARE:
            self._is_start_wait_over = True
            return []
        return start_timer

    def stop(self, now: float) -> list[Action]:
        """Stop accepting new callers for good."""
        self._is_stopping = True
        return [*self.update(now), self.current_forwarding()]
