"""The tables of an experiment's report as plain rows of text."""

from collections.abc import Sequence
from dataclasses import dataclass

from .run_result import (
    ALL,
    COVERAGE,
    EXTRA_LOAD,
    GOODPUT,
    IN_FORCE_MAX_SECONDS,
    IN_FORCE_P50_SECONDS,
    P50_MS,
    P99_MS,
    PROMISE_KEPT,
    RunResult,
)
from .scenario import Scenario
from .statistics_over_seeds import (
    Change,
    ResultsByScenario,
    Spread,
    floor_of,
    ratio_to,
    spread,
    spread_of,
)

NOTHING = "-"
PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class Table:
    """A heading, the names of columns, and rows of text."""

    heading: str
    note: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def tables(results: ResultsByScenario, changes: Sequence[Change] | None) -> list[Table]:
    """Return the tables that have rows, and the comparison if there is one."""
    found = [
        _latency_table(results),
        _whole_table(results),
        _promise_table(results),
        _goodput_table(results),
        _convergence_table(results),
    ]
    filled = [table for table in found if table.rows]
    return filled if changes is None else [*filled, _change_table(changes)]


def _place(scenario: Scenario) -> tuple[str, ...]:
    return (
        scenario.deployment,
        f"{scenario.load:g}",
        scenario.faults,
        scenario.policy,
        scenario.without,
    )


_PLACE_COLUMNS = ("deployment", "load", "faults", "policy", "without")


def _subjects(runs: Sequence[RunResult], metric: str) -> list[str]:
    return list({subject: None for run in runs for subject in run.metrics.get(metric, {})})


def _latency_table(results: ResultsByScenario) -> Table:
    rows: list[tuple[str, ...]] = []
    for scenario, runs in results.items():
        floor = floor_of(scenario, results)
        for kind in _subjects(list(runs.values()), P99_MS):
            rows.append(
                (
                    *_place(scenario),
                    kind,
                    _cell(spread_of(runs.values(), P50_MS, kind)),
                    _cell(spread_of(runs.values(), P99_MS, kind)),
                    _cell(ratio_to(runs, floor, P99_MS, kind)),
                    _cell(spread_of(runs.values(), COVERAGE, kind), PERCENT),
                )
            )
    note = "Milliseconds, over answered requests. The floor's p99 is that of the same seed."
    columns = (*_PLACE_COLUMNS, "kind", "p50 ms", "p99 ms", "p99 / floor", "coverage %")
    return Table("Latency and coverage by kind", note, columns, tuple(rows))


def _whole_table(results: ResultsByScenario) -> Table:
    rows = []
    for scenario, runs in results.items():
        reports = [run.report for run in runs.values()]
        rows.append(
            (
                *_place(scenario),
                str(sum(report["queries"] for report in reports)),
                _cell(spread_of(runs.values(), COVERAGE, ALL), PERCENT),
                _cell(spread_of(runs.values(), EXTRA_LOAD, ALL), PERCENT),
                _cell(_refused(reports), PERCENT),
                str(sum(run.violations for run in runs.values())),
            )
        )
    columns = (
        *_PLACE_COLUMNS,
        "queries",
        "coverage %",
        "extra load %",
        "refused %",
        "violations",
    )
    return Table("Whole deployment", "Over all kinds.", columns, tuple(rows))


def _refused(reports: Sequence[dict[str, float]]) -> Spread | None:
    return spread([report["refused"] / max(report["queries"], 1) for report in reports])


def _promise_table(results: ResultsByScenario) -> Table:
    rows = []
    for scenario, runs in results.items():
        for name in _subjects(list(runs.values()), PROMISE_KEPT):
            promise_ms = next(iter(runs.values())).report["classes"][name]["promise_ms"]
            kept = _cell(spread_of(runs.values(), PROMISE_KEPT, name), PERCENT)
            rows.append((*_place(scenario), name, f"{promise_ms:g}", kept))
    note = "Share of all requests of a class, refused ones included, answered within its promise."
    columns = (*_PLACE_COLUMNS, "class", "promise ms", "kept %")
    return Table("Promises", note, columns, tuple(rows))


def _goodput_table(results: ResultsByScenario) -> Table:
    rows = []
    for scenario, runs in results.items():
        for service in _subjects(list(runs.values()), GOODPUT):
            value = _cell(spread_of(runs.values(), GOODPUT, service), PERCENT)
            rows.append((*_place(scenario), service, value))
    note = (
        "Sub-requests of complete answers that came while callers sent, as a share of what "
        "the service's slots can do without stragglers."
    )
    return Table("Goodput", note, (*_PLACE_COLUMNS, "service", "goodput %"), tuple(rows))


def _convergence_table(results: ResultsByScenario) -> Table:
    rows = []
    for scenario, runs in results.items():
        middle = spread_of(runs.values(), IN_FORCE_P50_SECONDS, ALL)
        longest = spread_of(runs.values(), IN_FORCE_MAX_SECONDS, ALL)
        if middle is not None:
            rows.append((*_place(scenario), _cell(middle), _cell(longest)))
    note = "Seconds from a confirm until a node goes by the configuration."
    columns = (*_PLACE_COLUMNS, "median s", "longest s")
    return Table("Convergence of the configuration", note, columns, tuple(rows))


def _change_table(changes: Sequence[Change]) -> Table:
    rows = [
        (
            *_place(change.scenario),
            change.metric,
            change.subject,
            f"{change.before_median:.5g}",
            f"{change.now_median:.5g}",
            _cell(change.difference),
            f"{change.higher} / {change.lower}",
        )
        for change in changes
        if change.higher or change.lower
    ]
    note = (
        f"Paired by seed. {len(rows)} of {len(changes)} measures changed; the others are "
        "equal for every seed and left out."
    )
    columns = (
        *_PLACE_COLUMNS,
        "measure",
        "of",
        "before",
        "now",
        "difference",
        "seeds higher / lower",
    )
    return Table("Compared with the earlier run", note, columns, tuple(rows))


def _cell(value: Spread | None, factor: float = 1.0) -> str:
    """Return median and range; one number if all seeds agree."""
    if value is None:
        return NOTHING
    middle, least, greatest = (
        f"{number * factor:.4g}" for number in (value.median, value.least, value.greatest)
    )
    return middle if least == greatest else f"{middle} ({least} to {greatest})"
