"""Events and actions for the platform's list of machines, which may be outdated."""

from dataclasses import dataclass
from enum import Enum

from ..model.failure import Failure
from ..model.identifiers import ZoneName
from .machine import Action, Event


class MachineState(Enum):
    """State of a machine as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class DirectoryFailureKind(Enum):
    """Reason why the list of machines could not be read."""

    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """A process on a machine: a node (peer address) or a replica (service address)."""

    host: str
    port: int
    zone: ZoneName
    state: MachineState


@dataclass(frozen=True, slots=True)
class ReadMachineList(Action):
    """Read the list once; ``MachineListRead`` follows."""


@dataclass(frozen=True, slots=True)
class MachineListRead(Event):
    """The platform's list, or the reason why it could not be read."""

    result: tuple[MachineEntry, ...] | Failure[DirectoryFailureKind]
