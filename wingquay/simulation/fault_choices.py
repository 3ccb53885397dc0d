"""Reads the names of faults and mechanisms from a command line."""

from ..model.failure import Failure
from ..model.mechanisms import Mechanism
from .faults.catalogue import FAULTS
from .simulation_failure import SimulationFailureKind
from .simulation_settings import FaultChoice

ALL = "all"
NONE = "none"


def parse_faults(text: str) -> tuple[FaultChoice, ...] | Failure[SimulationFailureKind]:
    """Read ``all``, ``none`` or a comma-separated list of ``NAME`` or ``NAME:NUMBER``."""
    if text == ALL:
        return tuple(FaultChoice(name) for name in FAULTS)
    if text in (NONE, ""):
        return ()
    choices: list[FaultChoice] = []
    for part in text.split(","):
        choice = _parse_fault(part.strip())
        if isinstance(choice, Failure):
            return choice
        choices.append(choice)
    return tuple(choices)


def _parse_fault(text: str) -> FaultChoice | Failure[SimulationFailureKind]:
    name, separator, argument = text.partition(":")
    if name not in FAULTS:
        reason = f"fault {name!r} is unknown; there are all, none, {', '.join(FAULTS)}"
        return Failure(SimulationFailureKind.UNKNOWN_NAME, reason)
    if not separator:
        return FaultChoice(name)
    if not FAULTS[name].takes_share:
        reason = f"fault {name!r} takes no number"
        return Failure(SimulationFailureKind.MALFORMED, reason)
    try:
        share = float(argument)
    except ValueError:
        share = -1.0
    if not 0.0 <= share <= 1.0:
        reason = f"fault {name!r}: {argument!r} must be a share from 0 to 1"
        return Failure(SimulationFailureKind.OUT_OF_RANGE, reason)
    return FaultChoice(name, share)


def parse_mechanisms(text: str) -> frozenset[Mechanism] | Failure[SimulationFailureKind]:
    """Read a comma-separated list of mechanisms, or an empty text."""
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    chosen: list[Mechanism] = []
    for name in (part.strip() for part in text.split(",") if part.strip()):
        if name not in known:
            reason = f"mechanism {name!r} is unknown; there are {', '.join(known)}"
            return Failure(SimulationFailureKind.UNKNOWN_NAME, reason)
        chosen.append(known[name])
    return frozenset(chosen)
