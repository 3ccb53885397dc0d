"""The port towards the platform's list of live and leaving machines, which lags."""

from dataclasses import dataclass
from enum import Enum

from ..model.failure import Failure
from ..model.identifiers import ZoneName
from .machine import Action, Event


class MachineState(Enum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class DirectoryFailureKind(Enum):
    """Why the list could not be read."""

    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """A process on a machine: a node (its peer address) or a replica (its own address)."""

    host: str
    port: int
    zone: ZoneName
    state: MachineState


@dataclass(frozen=True, slots=True)
class ReadMachineList(Action):
    """Read the list once."""


@dataclass(frozen=True, slots=True)
class MachineListRead(Event):
    """The list as the platform has it, or why it could not be read."""

    result: tuple[MachineEntry, ...] | Failure[DirectoryFailureKind]
