"""What one run of an experiment showed, in a form that goes into a file and comes back."""

from typing import Any

from pydantic import BaseModel, ConfigDict

from .scenario import Run, Scenario

Metrics = dict[str, dict[str, float]]
"""Value by metric and subject; the subject is a kind, class or service, or ``all``."""

ALL = "all"
P50_MS = "p50_ms"
P99_MS = "p99_ms"
COVERAGE = "coverage"
EXTRA_LOAD = "extra_load"
PROMISE_KEPT = "promise_kept"
GOODPUT = "goodput"
IN_FORCE_P50_SECONDS = "in_force_p50_seconds"
IN_FORCE_MAX_SECONDS = "in_force_max_seconds"


class RunResult(BaseModel):
    """One run.

    Parameters
    ----------
    report
        As ``wingquay simulate --json`` prints it; empty if the run failed.
    metrics
        What summaries and comparisons look at.
    latencies
        By kind of request, an HDR histogram in its text form.
    in_force_seconds
        For each confirmed revision and node: how long after the confirm it was in force.
    failure
        Why the run broke off; empty if it did not.
    """

    model_config = ConfigDict(extra="forbid")

    deployment: str
    policy: str
    faults: str
    load: float
    without: str
    seconds: float
    seed: int
    wall_seconds: float = 0.0
    report: dict[str, Any] = {}
    metrics: Metrics = {}
    latencies: dict[str, str] = {}
    in_force_seconds: list[float] = []
    failure: str = ""

    @classmethod
    def of(cls, run: Run) -> "RunResult":
        """Return the result of a run that has shown nothing yet."""
        scenario = run.scenario
        return cls(
            deployment=scenario.deployment,
            policy=scenario.policy,
            faults=scenario.faults,
            load=scenario.load,
            without=scenario.without,
            seconds=scenario.seconds,
            seed=run.seed,
        )

    @property
    def scenario(self) -> Scenario:
        """The scenario that was run."""
        return Scenario(
            self.deployment, self.load, self.faults, self.without, self.policy, self.seconds
        )

    @property
    def violations(self) -> int:
        """Violations of all invariants."""
        return sum(self.report.get("violations", {}).values())
