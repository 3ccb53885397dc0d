"""The floor: the same load under the same decisions, with no straggler and no fault."""

from dataclasses import replace

from ..simulation_settings import Policy, SimulationSettings


def without_trouble(settings: SimulationSettings) -> SimulationSettings:
    """Return ``settings`` with the faults, stragglers included, left out."""
    return replace(settings, faults=(), policy=Policy.WINGQUAY)
