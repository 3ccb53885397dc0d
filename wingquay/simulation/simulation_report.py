"""The result of a simulation as one object for JSON, and as text for people."""

from typing import Any

from .invariants import Invariant
from .measurements import Measurements, Series
from .simulation import Simulation

MEDIAN = 0.5
TAIL = 0.99
DIGITS = 6

Report = dict[str, Any]


def make_report(simulation: Simulation) -> Report:
    """Return what a finished simulation showed."""
    settings = simulation.settings
    measurements = simulation.measurements
    violations = simulation.oracle.violations
    return {
        "deployment": settings.profile.name,
        "policy": simulation.policy.value,
        "seed": settings.seed,
        "seconds": settings.seconds,
        "load": settings.load,
        "faults": [fault.text for fault in settings.faults],
        "without": sorted(mechanism.value for mechanism in settings.without),
        "digest": simulation.digest.hexdigest(),
        "events": simulation.digest.events,
        "faults_injected": simulation.faults_injected,
        "queries": measurements.queries,
        "violations": violations.by_name(),
        "examples": violations.examples,
        "classes": {name: _class_entry(measurements, name) for name in measurements.classes},
        "kinds": {name: _kind_entry(series) for name, series in measurements.kinds.items()},
        "outcomes": dict(sorted(measurements.outcomes.items())),
        "coverage": _rounded(measurements.coverage),
        "extra_load": _rounded(measurements.extra_load),
        "refused": measurements.refused,
        "unreachable": measurements.unreachable,
    }


def _class_entry(measurements: Measurements, name: str) -> Report:
    series = measurements.classes[name]
    return {
        **_latencies(series),
        "promise_ms": measurements.promise_ms(name),
        "promise_kept": _rounded(measurements.promise_kept(name)),
        "queries": series.asked,
        "refused": series.refused,
    }


def _kind_entry(series: Series) -> Report:
    return {
        **_latencies(series),
        "coverage": _rounded(series.coverage),
        "queries": series.asked,
        "answered": series.answered,
        "refused": series.refused,
    }


def _latencies(series: Series) -> Report:
    return {"p50_ms": series.quantile_ms(MEDIAN), "p99_ms": series.quantile_ms(TAIL)}


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, DIGITS)


def report_text(report: Report) -> str:
    """Return the report as a table that a newcomer understands."""
    lines = [
        f"{report['deployment']}, policy {report['policy']}, seed {report['seed']}: "
        f"{report['queries']} queries in {report['seconds']:g} virtual seconds "
        f"at load {report['load']:g}",
        f"digest {report['digest']}",
        "",
        f"{'kind':<20}{'queries':>9}{'p50 ms':>10}{'p99 ms':>10}{'coverage':>10}{'refused':>9}",
    ]
    for name, entry in report["kinds"].items():
        lines.append(
            f"{name:<20}{entry['queries']:>9}{_cell(entry['p50_ms']):>10}"
            f"{_cell(entry['p99_ms']):>10}{_cell(entry['coverage']):>10}{entry['refused']:>9}"
        )
    lines += ["", f"{'class':<20}{'promise ms':>12}{'kept':>10}"]
    for name, entry in report["classes"].items():
        lines.append(f"{name:<20}{entry['promise_ms']:>12g}{_cell(entry['promise_kept']):>10}")
    lines += ["", f"extra load {_cell(report['extra_load'])}, coverage {_cell(report['coverage'])}"]
    found = {name: count for name, count in report["violations"].items() if count}
    lines.append(f"violations: {found or 'none'} ({len(Invariant)} invariants checked)")
    lines += [f"  {example}" for example in report["examples"]]
    return "\n".join(lines)


def _cell(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"
