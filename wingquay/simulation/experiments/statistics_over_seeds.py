"""Medians and spread over seeds, and comparisons of runs that had the same seed."""

import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..simulation_settings import Policy
from .run_result import RunResult
from .scenario import Scenario

ResultsByScenario = Mapping[Scenario, Mapping[int, RunResult]]
"""The whole runs of each scenario by seed."""


@dataclass(frozen=True, slots=True)
class Spread:
    """Median, least and greatest of a value over seeds."""

    median: float
    least: float
    greatest: float
    count: int


@dataclass(frozen=True, slots=True)
class Change:
    """A value now and before, paired by seed.

    Parameters
    ----------
    difference
        Spread of now minus before, seed by seed.
    higher, lower
        Number of seeds for which the value is higher or lower than before.
    """

    scenario: Scenario
    metric: str
    subject: str
    before_median: float
    now_median: float
    difference: Spread
    higher: int
    lower: int


def by_scenario(results: Iterable[RunResult]) -> dict[Scenario, dict[int, RunResult]]:
    """Return the results that are whole, by scenario and seed, in the order given."""
    grouped: dict[Scenario, dict[int, RunResult]] = defaultdict(dict)
    for result in results:
        if not result.failure:
            grouped[result.scenario][result.seed] = result
    return dict(grouped)


def spread(values: Sequence[float]) -> Spread | None:
    """Return the spread of some values (``None``: there are none)."""
    if not values:
        return None
    return Spread(statistics.median(values), min(values), max(values), len(values))


def spread_of(results: Iterable[RunResult], metric: str, subject: str) -> Spread | None:
    """Return the spread of a metric over runs."""
    found = (value_of(result, metric, subject) for result in results)
    return spread([value for value in found if value is not None])


def value_of(result: RunResult, metric: str, subject: str) -> float | None:
    """Return a run's value of a metric (``None``: it has none)."""
    return result.metrics.get(metric, {}).get(subject)


def floor_of(scenario: Scenario, results: ResultsByScenario) -> Mapping[int, RunResult]:
    """Return the floor's runs by seed that a scenario is measured against; maybe none."""
    for other, runs in results.items():
        is_floor = other.policy == Policy.FLOOR.value and other.without == "none"
        if is_floor and other.surroundings == scenario.surroundings:
            return runs
    return {}


def ratio_to(
    runs: Mapping[int, RunResult],
    reference: Mapping[int, RunResult],
    metric: str,
    subject: str,
) -> Spread | None:
    """Return the spread of a metric divided by the reference's, seed by seed."""
    ratios: list[float] = []
    for seed, result in runs.items():
        if seed not in reference:
            continue
        value = value_of(result, metric, subject)
        base = value_of(reference[seed], metric, subject)
        if value is not None and base:
            ratios.append(value / base)
    return spread(ratios)


def compare(now: ResultsByScenario, before: ResultsByScenario) -> list[Change]:
    """Return every metric's change in every scenario that both have with a common seed."""
    changes: list[Change] = []
    for scenario, runs in now.items():
        earlier = before.get(scenario, {})
        seeds = [seed for seed in runs if seed in earlier]
        for metric, subject in _metric_names(runs.values()):
            change = _change(scenario, metric, subject, runs, earlier, seeds)
            if change is not None:
                changes.append(change)
    return changes


def _metric_names(results: Iterable[RunResult]) -> list[tuple[str, str]]:
    names = {
        (metric, subject): None
        for result in results
        for metric, values in result.metrics.items()
        for subject in values
    }
    return list(names)


def _change(  # noqa: PLR0913 - one cell of the comparison
    scenario: Scenario,
    metric: str,
    subject: str,
    runs: Mapping[int, RunResult],
    earlier: Mapping[int, RunResult],
    seeds: Sequence[int],
) -> Change | None:
    pairs: list[tuple[float, float]] = []
    for seed in seeds:
        now = value_of(runs[seed], metric, subject)
        before = value_of(earlier[seed], metric, subject)
        if now is not None and before is not None:
            pairs.append((now, before))
    difference = spread([now - before for now, before in pairs])
    if difference is None:
        return None
    return Change(
        scenario=scenario,
        metric=metric,
        subject=subject,
        before_median=statistics.median(before for _, before in pairs),
        now_median=statistics.median(now for now, _ in pairs),
        difference=difference,
        higher=sum(now > before for now, before in pairs),
        lower=sum(now < before for now, before in pairs),
    )
