"""Periodically reports the load at this node to the configuration machine."""

from dataclasses import dataclass
from typing import ClassVar

from ..admission.owner_machine import OwnerMachine
from ..ports.internal import LoadObserved, Notify
from ..ports.machine import Action, Event, Schedule, Start
from ..ports.peer import PeerMessage
from ..query.coordinator import Coordinator

REPORT_INTERVAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class LoadReportDue(Event):
    """Scheduled event that sends the next load report."""


class LoadMachine:
    """Reports the load measured by the coordinator and the owner of this node."""

    EVENTS: ClassVar[tuple[type[Event], ...]] = (Start, LoadReportDue)
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def __init__(self, coordinator: Coordinator, owner: OwnerMachine) -> None:
        self._coordinator = coordinator
        self._owner = owner

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event."""
        again = Schedule(now + REPORT_INTERVAL_SECONDS, LoadReportDue())
        kinds = self._coordinator.kind_statistics.collect_and_reset(now)
        if isinstance(event, Start):
            return [again]
        return [again, Notify(LoadObserved(kinds, self._owner.service_loads()))]
