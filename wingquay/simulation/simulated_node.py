"""A simulated process: one machine, its clock, and what its surroundings do with its actions."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from ..model.identifiers import Revision
from ..ports.machine import Action, Event, Schedule, Start, StopRequested
from ..ports.peer import NodeIdentity
from .digest import EventDigest
from .node_policies import RevisedMachine
from .virtual_clock import VirtualClock

Performers = Mapping[type[Action], Callable[["SimulatedNode", Any], None]]


class ProcessState(Enum):
    """What a simulated process does."""

    RUNNING = "running"
    PAUSED = "paused"
    """Frozen: it keeps its sockets and wakes up later, believing what it believed."""
    CRASHED = "crashed"
    EXITED = "exited"


class SimulatedNode:
    """Hands a machine its events on virtual time.

    Parameters
    ----------
    clock_offset_seconds
        The zero of the node's own clock; the clocks of machines differ.
    performers
        Perform the actions that are not about time, by their type; others are left out.
    revised
        Called when the machine goes by another revision of the configuration than before.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        machine: RevisedMachine,
        clock: VirtualClock,
        digest: EventDigest,
        clock_offset_seconds: float,
        performers: Performers,
        revised: Callable[["SimulatedNode"], None],
    ) -> None:
        self.identity = identity
        self.machine = machine
        self.state = ProcessState.RUNNING
        self.ready = False
        self.started_at = clock.now
        self._clock = clock
        self._digest = digest
        self._offset = clock_offset_seconds
        self._performers = performers
        self._revised = revised
        self._revision = Revision(0)
        self._held_back: list[tuple[Event, float]] = []

    @property
    def is_listening(self) -> bool:
        """Whether connections to the process are accepted (also while it is paused)."""
        return self.state in (ProcessState.RUNNING, ProcessState.PAUSED)

    def start(self) -> None:
        """Send the first event."""
        self.deliver(Start())

    def request_stop(self) -> None:
        """Ask for a planned stop."""
        self.deliver(StopRequested())

    def pause(self) -> None:
        """Freeze the process."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.PAUSED

    def resume(self) -> None:
        """Wake the process up; everything that came meanwhile is handed over in order."""
        if self.state is not ProcessState.PAUSED:
            return
        self.state = ProcessState.RUNNING
        held_back, self._held_back = self._held_back, []
        for event, not_before in held_back:
            self._handle(event, not_before)

    def crash(self) -> None:
        """End the process at once; it knows nothing of it."""
        if self.is_listening:
            self.state = ProcessState.CRASHED
            self._held_back.clear()

    def deliver(self, event: Event, not_before: float = 0.0) -> None:
        """Hand over an event; ``not_before`` is on the node's own clock."""
        if self.state is ProcessState.RUNNING:
            self._handle(event, not_before)
        elif self.state is ProcessState.PAUSED:
            self._held_back.append((event, not_before))

    def _handle(self, event: Event, not_before: float) -> None:
        if self.state is not ProcessState.RUNNING:
            return
        self._digest.record(self._clock.now, self.identity.node_id, event)
        # A timer fires at its instant or later, never a rounding error too early.
        now = max(self._clock.now + self._offset, not_before)
        actions = self.machine.handle(event, now)
        if self.machine.revision != self._revision:
            self._revision = self.machine.revision
            self._revised(self)
        performers = self._performers
        for action in actions:
            kind = type(action)
            if kind is Schedule:
                self._schedule(action)  # type: ignore[arg-type]
                continue
            performer = performers.get(kind)
            if performer is not None:
                performer(self, action)

    def _schedule(self, action: Schedule) -> None:
        at_seconds = action.at_seconds - self._offset
        self._clock.at(at_seconds, self.deliver, action.event, action.at_seconds)

    def exit(self) -> None:
        """End the process after its planned stop."""
        self.state = ProcessState.EXITED
