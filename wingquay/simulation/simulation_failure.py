"""Why a simulation could not be run."""

from enum import Enum


class SimulationFailureKind(Enum):
    """What was wrong with what was asked for."""

    UNKNOWN_NAME = "unknown_name"
    MALFORMED = "malformed"
    OUT_OF_RANGE = "out_of_range"
