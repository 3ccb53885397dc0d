"""What ``wingquay capacity`` is asked to run."""

from dataclasses import dataclass

from wingquay.model.failure import Failure
from wingquay.simulation.simulation_failure import SimulationFailureKind

FEWEST_NODES = 2
MOST_NODES = 2_000
MOST_REPLICAS = 20_000
LONGEST_SECONDS = 3_600.0
MOST_CHANGES = 100
MOST_CRASHES = 1_000


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """One run.

    Parameters
    ----------
    nodes, replicas
        The size.
    seconds
        Virtual seconds of ordinary running that are measured.
    seed
        One seed gives one run.
    changes
        Changes of the configuration that operators confirm.
    churn
        Nodes that crash, one after another, and are replaced.
    zone_cut_seconds
        How long one zone is cut off from all others; 0: it is not.
    restart_all
        Whether all nodes are lost at once and come back without memory.
    """

    nodes: int = 470
    replicas: int = 2_800
    seconds: float = 30.0
    seed: int = 1
    changes: int = 5
    churn: int = 0
    zone_cut_seconds: float = 0.0
    restart_all: bool = False


def check(settings: CapacitySettings) -> Failure[SimulationFailureKind] | None:
    """Return what is wrong with the settings, if anything is."""
    ranges: tuple[tuple[str, float, float, float], ...] = (
        ("nodes", settings.nodes, FEWEST_NODES, MOST_NODES),
        ("replicas", settings.replicas, 1, MOST_REPLICAS),
        ("seconds", settings.seconds, 1, LONGEST_SECONDS),
        ("changes", settings.changes, 0, MOST_CHANGES),
        ("churn", settings.churn, 0, min(MOST_CRASHES, settings.nodes - 1)),
        ("zone-cut-seconds", settings.zone_cut_seconds, 0, LONGEST_SECONDS),
    )
    for flag, given, least, most in ranges:
        if not least <= given <= most:
            reason = f"--{flag}: {given:g} must be from {least:g} to {most:g}"
            return Failure(SimulationFailureKind.OUT_OF_RANGE, reason)
    return None
