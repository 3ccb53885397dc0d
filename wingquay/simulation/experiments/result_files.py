"""Writes the results of an experiment as JSON and CSV, and reads the JSON of an earlier one."""

import csv
from collections.abc import Sequence
from pathlib import Path

from pydantic import BaseModel, ConfigDict, ValidationError

from ...model.failure import Failure
from .run_result import RunResult
from .scenario import ExperimentFailureKind

RESULTS_FILE = "results.json"
TABLE_FILE = "results.csv"

_RUN_COLUMNS = ("deployment", "policy", "faults", "load", "without", "seconds", "seed")


class ExperimentResults(BaseModel):
    """Everything that an experiment showed."""

    model_config = ConfigDict(extra="forbid")

    title: str
    runs: list[RunResult]


def write_results(results: ExperimentResults, directory: Path) -> None:
    """Write ``results.json`` with everything."""
    text = results.model_dump_json(indent=1)
    (directory / RESULTS_FILE).write_text(text, encoding="utf-8")


def read_results(directory: Path) -> ExperimentResults | Failure[ExperimentFailureKind]:
    """Read what ``write_results`` wrote."""
    path = directory / RESULTS_FILE
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(ExperimentFailureKind.UNREADABLE, f"{path}: {error}")
    try:
        return ExperimentResults.model_validate_json(text)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        reason = f"{path}: not the results of an experiment: {place}: {first['msg']}"
        return Failure(ExperimentFailureKind.MALFORMED, reason)


def write_table(runs: Sequence[RunResult], directory: Path) -> None:
    """Write ``results.csv``: one line for each run, metric and subject."""
    with (directory / TABLE_FILE).open("w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file)
        writer.writerow([*_RUN_COLUMNS, "metric", "subject", "value"])
        for run in runs:
            place = [getattr(run, column) for column in _RUN_COLUMNS]
            for metric, values in run.metrics.items():
                for subject, value in values.items():
                    writer.writerow([*place, metric, subject, value])
