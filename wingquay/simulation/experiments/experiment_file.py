"""Reads the TOML file of an experiment: a list of matrices over deployments, faults and so on."""

import tomllib
from collections.abc import Callable, Iterator
from itertools import product
from pathlib import Path
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from ...model.failure import Failure
from ..deployments import find_deployment
from ..fault_choices import NONE, parse_faults, parse_mechanisms
from ..simulation_settings import Policy
from .scenario import ExperimentFailureKind, Run, make_scenario

DEFAULT_SECONDS = 3.0
LONGEST_SECONDS = 3600.0
GREATEST_LOAD = 100.0
MOST_RUNS = 10_000

_SHOWN_CHARACTERS = 60


def _checked_by(parse: Callable[[str], object]) -> AfterValidator:
    def check(text: str) -> str:
        result = parse("" if text == NONE else text)
        if isinstance(result, Failure):
            raise ValueError(result.reason)
        return text

    return AfterValidator(check)


_DeploymentName = Annotated[str, _checked_by(find_deployment)]
_Faults = Annotated[str, _checked_by(parse_faults)]
_Without = Annotated[str, _checked_by(parse_mechanisms)]
_Load = Annotated[float, Field(gt=0, le=GREATEST_LOAD)]
_Seed = Annotated[int, Field(strict=True, ge=0)]
_Seconds = Annotated[float, Field(gt=0, le=LONGEST_SECONDS)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Matrix(_Part):
    """Every combination of its lists is run; ``faults`` and ``without`` are as in simulate."""

    deployments: tuple[_DeploymentName, ...] = Field(min_length=1)
    policies: tuple[Policy, ...] = Field(default=(Policy.WINGQUAY,), min_length=1)
    faults: tuple[_Faults, ...] = Field(default=(NONE,), min_length=1)
    loads: tuple[_Load, ...] = Field(min_length=1)
    without: tuple[_Without, ...] = Field(default=(NONE,), min_length=1)
    seeds: tuple[_Seed, ...] | None = Field(default=None, min_length=1)
    seconds: _Seconds | None = None


class Experiment(_Part):
    """A whole file; ``seeds`` and ``seconds`` hold where a matrix gives none."""

    title: str = Field(min_length=1)
    seeds: tuple[_Seed, ...] = Field(default=(1, 2, 3), min_length=1)
    seconds: _Seconds = DEFAULT_SECONDS
    matrix: tuple[Matrix, ...] = Field(min_length=1)

    def runs(self) -> tuple[Run, ...]:
        """Return every run once, in the order of the file."""
        return tuple(dict.fromkeys(run for matrix in self.matrix for run in self._of(matrix)))

    def _of(self, matrix: Matrix) -> Iterator[Run]:
        seconds = matrix.seconds or self.seconds
        dimensions = product(
            matrix.deployments, matrix.policies, matrix.faults, matrix.loads, matrix.without
        )
        for deployment, policy, faults, load, without in dimensions:
            scenario = make_scenario(deployment, policy.value, faults, load, without, seconds)
            for seed in matrix.seeds or self.seeds:
                yield Run(scenario, seed)


def read_experiment(path: Path) -> Experiment | Failure[ExperimentFailureKind]:
    """Read a file; the failure's reason has one line for each wrong field."""
    try:
        entries = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(ExperimentFailureKind.UNREADABLE, f"{path}: {error}")
    except tomllib.TOMLDecodeError as error:
        return Failure(ExperimentFailureKind.MALFORMED, f"{path}: not TOML: {error}")
    try:
        experiment = Experiment.model_validate(entries)
    except ValidationError as error:
        return Failure(ExperimentFailureKind.MALFORMED, "\n".join(_error_lines(error)))
    count = len(experiment.runs())
    if count > MOST_RUNS:
        reason = f"matrix: {count} runs; must be at most {MOST_RUNS}"
        return Failure(ExperimentFailureKind.MALFORMED, reason)
    return experiment


def _error_lines(error: ValidationError) -> list[str]:
    """Return a line for each error; a list that only lost its wrong members is not "too short"."""
    entries = error.errors(include_url=False)
    inside = {entry["loc"][:length] for entry in entries for length in range(len(entry["loc"]))}
    return [
        _error_line(entry)
        for entry in entries
        if not (entry["type"] == "too_short" and entry["loc"] in inside)
    ]


def _error_line(entry: Any) -> str:
    path = ""
    for part in entry["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    path = path.removeprefix(".")
    if entry["type"] == "missing":
        return f"{path}: missing; must be given"
    shown = repr(entry["input"])
    if len(shown) > _SHOWN_CHARACTERS:
        shown = shown[:_SHOWN_CHARACTERS] + "..."
    if entry["type"] == "extra_forbidden":
        known = Matrix if path.startswith("matrix[") else Experiment
        return f"{path}: {shown}: unknown field; known are {', '.join(known.model_fields)}"
    message = entry["msg"].removeprefix("Value error, ").replace("Input should", "must")
    message = message.replace("Tuple should", "must").replace(" after validation, not 0", "")
    return f"{path}: {shown} is not allowed; {message}"
