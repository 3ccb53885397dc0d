"""Runs one simulation of an experiment and takes its measures; called in worker processes."""

import gc
import time

from ...model.failure import Failure
from ..deployment_profile import ServiceProfile
from ..latency_histogram import LatencyHistogram
from ..simulation import Simulation
from ..simulation_report import Report, make_report
from ..workload import capacity_per_second
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
    Metrics,
    RunResult,
)
from .scenario import Run, simulation_settings

DIGITS = 6


def measure(run: Run) -> RunResult:
    """Run a simulation; what breaks it off becomes a part of the result."""
    began = time.perf_counter()
    result = RunResult.of(run)
    try:
        _measure_into(result, run)
    except Exception as error:
        # The rim of a worker process: one broken run must not end the others.
        result.failure = f"{type(error).__name__}: {error}"
    result.wall_seconds = round(time.perf_counter() - began, DIGITS)
    return result


def _measure_into(result: RunResult, run: Run) -> None:
    settings = simulation_settings(run)
    if isinstance(settings, Failure):
        result.failure = settings.reason
        return
    simulation = Simulation(settings)
    # A run keeps everything it sees and makes no garbage in cycles worth looking for.
    gc.disable()
    try:
        simulation.run()
    finally:
        gc.enable()
    result.report = make_report(simulation)
    result.metrics = _metrics(simulation, result.report)
    result.latencies = _latencies(simulation)
    result.in_force_seconds = [
        round(seconds, DIGITS) for seconds in simulation.oracle.configuration.in_force_seconds
    ]


def _latencies(simulation: Simulation) -> dict[str, str]:
    encoded: dict[str, str] = {}
    for name, series in simulation.measurements.kinds.items():
        histogram = LatencyHistogram()
        histogram.record_all(series.latencies_seconds)
        encoded[name] = histogram.encode()
    return encoded


def _metrics(simulation: Simulation, report: Report) -> Metrics:
    kinds, classes = report["kinds"], report["classes"]
    found: dict[str, dict[str, float | None]] = {
        P50_MS: {name: entry["p50_ms"] for name, entry in kinds.items()},
        P99_MS: {name: entry["p99_ms"] for name, entry in kinds.items()},
        COVERAGE: {
            ALL: report["coverage"],
            **{name: entry["coverage"] for name, entry in kinds.items()},
        },
        EXTRA_LOAD: {ALL: report["extra_load"]},
        PROMISE_KEPT: {name: entry["promise_kept"] for name, entry in classes.items()},
        GOODPUT: {
            service.name: _goodput(simulation, service)
            for service in simulation.settings.profile.services
        },
    }
    in_force = sorted(simulation.oracle.configuration.in_force_seconds)
    if in_force:
        found[IN_FORCE_P50_SECONDS] = {ALL: in_force[len(in_force) // 2]}
        found[IN_FORCE_MAX_SECONDS] = {ALL: in_force[-1]}
    return {
        metric: {subject: value for subject, value in values.items() if value is not None}
        for metric, values in found.items()
    }


def _goodput(simulation: Simulation, service: ServiceProfile) -> float:
    """Return the sub-requests of complete answers while callers sent, as a share of capacity."""
    complete = sum(
        1
        for kind in service.kinds
        for at_seconds in simulation.measurements.kinds[kind.name].complete_at_seconds
        if at_seconds <= simulation.traffic_end
    )
    possible = capacity_per_second(service) * simulation.settings.seconds
    return round(complete * service.shards / possible, DIGITS)
