"""Says whether this node is ready for callers, and leads it through its stop."""

from typing import Protocol

from ...model.routing_table import CallerLimits, RoutingTable
from ...model.value import value
from ...ports.forwarding import SetForwarding
from ...ports.machine import Action, Event, Exit, Log, LogLevel, Schedule
from ..choice.replica_directory import ReplicaDirectory
from ..settings import ForwardingSettings

STOP_CHECK_SECONDS = 0.1
"""Time between two looks whether the stop can end."""


@value
class StopCheckDue(Event):
    """Look whether the stop can end."""


class ServesRequests(Protocol):
    """What passes requests on."""

    is_stopping: bool

    @property
    def open_exchanges(self) -> int:
        """The number of requests without an answer."""
        ...


class TakingCallers:
    """Whether callers are taken, and what they may cost.

    Parameters
    ----------
    settings
        How long a stop takes.
    directory
        Without a replica no caller is taken.
    requests
        What is under way, for which a stop waits.
    """

    def __init__(
        self, settings: ForwardingSettings, directory: ReplicaDirectory, requests: ServesRequests
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._requests = requests
        self._table: RoutingTable | None = None
        self._idle_seconds = 0.0
        self._stopping_since: float | None = None
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether new callers may come."""
        is_stopping = self._stopping_since is not None
        return not is_stopping and self._table is not None and len(self._directory) > 0

    def set_table(self, table: RoutingTable) -> None:
        """Take in a configuration."""
        self._table = table

    def changes(self) -> list[Action]:
        """Tell whether this node is ready, if that has changed."""
        is_ready = self.is_ready
        if is_ready == self._was_ready:
            return []
        self._was_ready = is_ready
        line = Log("ready_changed", LogLevel.INFO, (("is_ready", int(is_ready)),))
        return [line, self.state()]

    def state(self) -> SetForwarding:
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
        return SetForwarding(self.is_ready, self._stopping_since is not None, limits)

    def stop(self, now: float) -> list[Action]:
        """Take no more callers and begin to wait for what is under way."""
        if self._stopping_since is not None:
            return []
        self._stopping_since = now
        self._requests.is_stopping = True
        fields = (("open_requests", self._requests.open_exchanges),)
        return [
            Log("stop_started", LogLevel.INFO, fields),
            *self.changes(),
            self.state(),
            Schedule(now + STOP_CHECK_SECONDS, StopCheckDue()),
        ]

    def check_stop(self, now: float) -> list[Action]:
        """End the node once nothing is under way any more."""
        assert self._stopping_since is not None
        elapsed = now - self._stopping_since
        open_requests = self._requests.open_exchanges
        most_seconds = self._settings.most_stop_seconds
        is_over = elapsed >= most_seconds
        if elapsed >= self._settings.unready_stop_seconds and not open_requests:
            is_over = True
        if is_over:
            return [Exit(open_requests, grace_seconds=max(most_seconds - elapsed, 0.0))]
        return [Schedule(now + STOP_CHECK_SECONDS, StopCheckDue())]
