"""Planned stop: announces it, accepts no new work, drains requests in flight, then exits."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from ..model.mechanisms import Mechanism
from ..ports.caller import SetReady
from ..ports.internal import ConfigurationInForce, LeavingStarted, Notify, WorkDrained
from ..ports.machine import Action, Event, Exit, Log, LogLevel, Schedule, StopRequested
from ..ports.peer import PeerMessage
from .settings import StopSettings

MAX_CHECK_INTERVALS = 2.0
"""Maximum number of check intervals counted between two checks; a longer gap means that the process
was suspended."""


@dataclass(frozen=True, slots=True)
class StopCheckDue(Event):
    """Scheduled event that checks whether work is still in flight."""


class StopMachine:
    """Controls readiness and the planned stop.

    Parameters
    ----------
    in_flight
        Returns the number of open requests and sub-requests of this node.
    assignments_to_hand_over
        Returns the number of assignments whose claims no other node has taken over yet.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (ConfigurationInForce, StopRequested, StopCheckDue)
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def __init__(
        self,
        settings: StopSettings,
        in_flight: Callable[[], int],
        assignments_to_hand_over: Callable[[], int],
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._settings = settings
        self._in_flight = in_flight
        self._assignments_to_hand_over = assignments_to_hand_over
        self._drains = Mechanism.PLANNED_STOP_DRAIN not in disabled
        self._started_at: float | None = None
        self._checked_at = 0.0
        self._observed_seconds = 0.0
        self._is_ready = False
        self._has_exited = False

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event."""
        match event:
            case ConfigurationInForce():
                return self._on_configuration()
            case StopRequested():
                return self._on_stop_requested(now)
            case StopCheckDue():
                return self._on_check(now)
        return []

    def _on_configuration(self) -> list[Action]:
        if self._is_ready or self._started_at is not None:
            return []
        self._is_ready = True
        return [SetReady(True, "a confirmed configuration is in force")]

    def _on_stop_requested(self, now: float) -> list[Action]:
        if self._started_at is not None:
            return []
        self._started_at = now
        self._checked_at = now
        return [
            Log("planned_stop_started", fields=(("in_flight", self._in_flight()),)),
            SetReady(False, "planned stop"),
            Notify(LeavingStarted()),
            Schedule(now + self._settings.check_seconds, StopCheckDue()),
        ]

    def _on_check(self, now: float) -> list[Action]:
        if self._started_at is None or self._has_exited:
            return []
        elapsed = self._observe(now)
        in_flight = self._in_flight()
        is_drained = in_flight == 0 and self._assignments_to_hand_over() == 0
        if elapsed >= self._settings.least_seconds and (is_drained or not self._drains):
            return self._exit(in_flight)
        if elapsed >= self._settings.most_seconds:
            return self._exit(in_flight)
        return [Schedule(now + self._settings.check_seconds, StopCheckDue())]

    def _observe(self, now: float) -> float:
        """Return the duration of the stop so far in seconds, without suspensions of the process.

        Messages that arrived during a suspension are still unread, so a suspension must not count
        as idle time.
        """
        max_step_seconds = self._settings.check_seconds * MAX_CHECK_INTERVALS
        self._observed_seconds += min(now - self._checked_at, max_step_seconds)
        self._checked_at = now
        return self._observed_seconds

    def _exit(self, in_flight: int) -> list[Action]:
        self._has_exited = True
        level = LogLevel.WARNING if in_flight else LogLevel.INFO
        log = Log("planned_stop_finished", level, (("cut_requests", in_flight),))
        return [log, Notify(WorkDrained()), Exit(in_flight)]
