"""What to simulate."""

from dataclasses import dataclass, field
from enum import Enum

from ..model.mechanisms import Mechanism
from .deployment_profile import DeploymentProfile

DEFAULT_LOAD = 0.03
WARM_UP_SECONDS = 3.0
"""Nodes get so long to find each other before callers begin."""
WIND_DOWN_SECONDS = 8.0
"""After the last arrival, everything in flight gets so long to end."""


class Policy(Enum):
    """Which decisions the simulated nodes make."""

    WINGQUAY = "wingquay"
    NAIVE = "naive"
    FLOOR = "floor"


@dataclass(frozen=True, slots=True)
class FaultChoice:
    """A fault by name, with its one argument if it has one."""

    name: str
    argument: float | None = None

    @property
    def text(self) -> str:
        """The choice as it stands on a command line."""
        return self.name if self.argument is None else f"{self.name}:{self.argument:g}"


@dataclass(frozen=True)
class SimulationSettings:
    """One run.

    Parameters
    ----------
    seconds
        Virtual seconds during which callers send.
    load
        Load as a fraction of each service's capacity.
    without
        Mechanisms that are taken out.
    """

    profile: DeploymentProfile
    seed: int
    seconds: float
    faults: tuple[FaultChoice, ...] = ()
    policy: Policy = Policy.WINGQUAY
    load: float = DEFAULT_LOAD
    without: frozenset[Mechanism] = field(default_factory=frozenset)
