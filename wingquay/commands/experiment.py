"""``wingquay experiment``: a matrix of simulations, and a report about it."""

import importlib.util
import sys
from pathlib import Path

from ..model.failure import Failure
from ..simulation.experiments.experiment_file import read_experiment
from ..simulation.experiments.launcher import run_all
from ..simulation.experiments.result_files import (
    ExperimentResults,
    read_results,
    write_results,
    write_table,
)
from ..simulation.experiments.run_result import RunResult
from ..simulation.experiments.statistics_over_seeds import by_scenario, compare
from .exit_codes import FAILED, OK, USAGE

DEFAULT_WORKERS = 4
MOST_WORKERS = 256
REPORT_LIBRARIES = ("jinja2", "matplotlib")


def command(file: str, out: str, workers: int = DEFAULT_WORKERS, against: str = "") -> int:
    """Run a matrix of simulations and write a report with tables and pictures.

    Writes report.html, its PNG pictures, results.csv and results.json.
    An interrupt leaves results.json with the runs that ended before.
    Exit code 0: done. 1: a run broke off or violated an invariant.

    Parameters
    ----------
    file
        TOML file; examples are under experiments/.
    out
        Directory for the report; made if it does not exist.
    workers
        Number of simulations that run at a time, each in a process of its own.
    against
        Directory of an earlier run to compare with, seed by seed.
    """
    experiment = read_experiment(Path(file))
    if isinstance(experiment, Failure):
        return _refuse(experiment.reason)
    if not 0 < workers <= MOST_WORKERS:
        return _refuse(f"--workers: {workers} is not allowed; must be from 1 to {MOST_WORKERS}")
    earlier = read_results(Path(against)) if against else None
    if isinstance(earlier, Failure):
        return _refuse(f"--against: {earlier.reason}")
    missing = [name for name in REPORT_LIBRARIES if importlib.util.find_spec(name) is None]
    if missing:
        return _refuse(f"{' and '.join(missing)} not installed; install wingquay[report]")
    directory = Path(out)
    try:
        directory.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        return _refuse(f"--out: {out!r} is not allowed; must be a directory: {error.strerror}")

    runs = experiment.runs()
    finished: list[RunResult] = []

    def show_progress(done: int, result: RunResult) -> None:
        finished.append(result)
        end = result.failure or f"{result.violations} violations"
        place = f"{result.scenario.label}, seed {result.seed}"
        seconds = f"{result.wall_seconds:.1f} s"
        print(f"[{done}/{len(runs)}] {place}: {end}, {seconds}", file=sys.stderr, flush=True)

    try:
        ordered = run_all(runs, workers, show_progress)
    except KeyboardInterrupt:
        # What has been computed is not lost: it can be read, and compared against.
        write_results(ExperimentResults(title=experiment.title, runs=finished), directory)
        raise
    return _write(ExperimentResults(title=experiment.title, runs=ordered), earlier, directory)


def _write(results: ExperimentResults, earlier: ExperimentResults | None, directory: Path) -> int:
    # matplotlib is a part of wingquay[report] only, and slow to load.
    from ..simulation.experiments.html_report import write_report

    write_results(results, directory)
    write_table(results.runs, directory)
    changes = None
    if earlier is not None:
        changes = compare(by_scenario(results.runs), by_scenario(earlier.runs))
    print(write_report(results, changes, directory))
    broken = sum(bool(run.failure) for run in results.runs)
    violations = sum(run.violations for run in results.runs)
    if not broken and not violations:
        return OK
    print(
        f"wingquay: experiment: {broken} runs broke off, {violations} violations", file=sys.stderr
    )
    return FAILED


def _refuse(reason: str) -> int:
    for line in reason.splitlines():
        print(f"wingquay: experiment: {line}", file=sys.stderr)
    return USAGE
