"""What belongs into one picture, without drawing it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..fault_choices import NONE
from ..simulation_settings import Policy
from .run_result import (
    ALL,
    COVERAGE,
    EXTRA_LOAD,
    RunResult,
)
from .scenario import Scenario
from .statistics_over_seeds import (
    ResultsByScenario,
    floor_of,
    value_of,
)

FLOOR_LABEL = "floor (no fault)"
EXTRA_LOAD_AIM = 0.03
PERCENT = 100.0
MISSING_THRESHOLD_PERCENT = 0.001


@dataclass(frozen=True, slots=True)
class LatencyGroup:
    """Scenarios whose latencies are drawn together."""

    title: str
    kinds: tuple[str, ...]
    runs_by_label: Mapping[str, Sequence[RunResult]]


@dataclass(frozen=True, slots=True)
class StripGroup:
    """Values of runs by the label of their scenario.

    Parameters
    ----------
    factor
        Turns a value into the unit of ``axis_label``.
    aim
        Marked by a line, in the unit of the values.
    log_threshold
        Below it the axis is linear, above it logarithmic; ``None``: linear throughout.
    """

    title: str
    axis_label: str
    rows: Mapping[str, Sequence[float]]
    factor: float = PERCENT
    aim: float | None = None
    log_threshold: float | None = None


def latency_groups(results: ResultsByScenario) -> list[LatencyGroup]:
    """Return a group for each deployment, load and fault, with the floor beside the others."""
    groups: dict[tuple[str, float, float, str], dict[str, list[RunResult]]] = {}
    for scenario, runs in results.items():
        if scenario.policy == Policy.FLOOR.value:
            continue
        key = (*scenario.surroundings, scenario.faults)
        lines = groups.setdefault(key, {})
        lines[_line_label(scenario)] = list(runs.values())
        floor = list(floor_of(scenario, results).values())
        if floor:
            lines.setdefault(FLOOR_LABEL, floor)
    return [_latency_group(key, lines) for key, lines in groups.items()]


def _line_label(scenario: Scenario) -> str:
    if scenario.without == NONE:
        return scenario.policy
    return f"without {scenario.without}"


def _latency_group(
    key: tuple[str, float, float, str], lines: dict[str, list[RunResult]]
) -> LatencyGroup:
    deployment, load, seconds, faults = key
    kinds = {kind: None for runs in lines.values() for run in runs for kind in run.latencies}
    seeds = max(len(runs) for runs in lines.values())
    title = (
        f"{deployment}, load {load:g}, faults: {faults} ({seeds} seeds of {seconds:g} virtual s)"
    )
    return LatencyGroup(title, tuple(kinds), lines)


def extra_load_group(results: ResultsByScenario) -> StripGroup:
    """Return the extra load of every run."""
    rows = _rows(results, EXTRA_LOAD)
    label = "sub-requests sent beyond one for each piece, percent"
    return StripGroup("Extra load", label, rows, aim=EXTRA_LOAD_AIM, log_threshold=1.0)


def missing_group(results: ResultsByScenario) -> StripGroup:
    """Return the missing part of the asked keys of every run."""
    rows = {
        label: [1.0 - value for value in values]
        for label, values in _rows(results, COVERAGE).items()
    }
    label = "asked keys that answers did not cover, percent"
    return StripGroup("Coverage", label, rows, log_threshold=MISSING_THRESHOLD_PERCENT)


def _rows(results: ResultsByScenario, metric: str) -> dict[str, list[float]]:
    rows: dict[str, list[float]] = {}
    for scenario, runs in results.items():
        values = [value_of(run, metric, ALL) for run in runs.values()]
        found = [value for value in values if value is not None]
        if found:
            rows[scenario.label] = found
    return rows


def convergence_lines(results: ResultsByScenario) -> dict[str, list[float]]:
    """Return the times until a configuration was in force, where one was confirmed."""
    lines: dict[str, list[float]] = {}
    for scenario, runs in results.items():
        seconds = [value for run in runs.values() for value in run.in_force_seconds]
        if seconds:
            lines[scenario.label] = seconds
    return lines
