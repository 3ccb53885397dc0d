"""One cell of an experiment's matrix, and one run of it."""

from dataclasses import dataclass
from enum import Enum

from ...model.failure import Failure
from ..deployments import find_deployment
from ..fault_choices import NONE, parse_faults, parse_mechanisms
from ..simulation_failure import SimulationFailureKind
from ..simulation_settings import Policy, SimulationSettings


class ExperimentFailureKind(Enum):
    """Why an experiment could not be begun or compared."""

    UNREADABLE = "unreadable"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True, order=True)
class Scenario:
    """What all runs of one cell have in common; texts are as on the command line.

    Parameters
    ----------
    load
        Load as a fraction of each service's capacity.
    seconds
        Virtual seconds during which callers send.
    """

    deployment: str
    load: float
    faults: str
    without: str
    policy: str
    seconds: float

    @property
    def surroundings(self) -> tuple[str, float, float]:
        """What a run has in common with the floor it is measured against."""
        return self.deployment, self.load, self.seconds

    @property
    def label(self) -> str:
        """The scenario on one line."""
        without = "" if self.without == NONE else f" without {self.without}"
        return f"{self.deployment} {self.policy}{without}, faults {self.faults}, load {self.load:g}"


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """One simulation: a scenario under a seed."""

    scenario: Scenario
    seed: int


def make_scenario(  # noqa: PLR0913 - the dimensions of a matrix
    deployment: str, policy: str, faults: str, load: float, without: str, seconds: float
) -> Scenario:
    """Return the scenario with what the policy does not look at set to ``none``."""
    if policy == Policy.FLOOR.value:
        faults = NONE
    if policy == Policy.NAIVE.value:
        without = NONE
    return Scenario(deployment, load, faults or NONE, without or NONE, policy, seconds)


def simulation_settings(run: Run) -> SimulationSettings | Failure[SimulationFailureKind]:
    """Return the settings of a run's simulation."""
    scenario = run.scenario
    profile = find_deployment(scenario.deployment)
    if isinstance(profile, Failure):
        return profile
    faults = parse_faults(scenario.faults)
    if isinstance(faults, Failure):
        return faults
    without = parse_mechanisms("" if scenario.without == NONE else scenario.without)
    if isinstance(without, Failure):
        return without
    policy = Policy(scenario.policy)
    return SimulationSettings(
        profile, run.seed, scenario.seconds, faults, policy, scenario.load, without
    )
