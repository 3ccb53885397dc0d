"""The report of an experiment: one HTML page with tables and pictures."""

from collections.abc import Sequence
from pathlib import Path

from jinja2 import Environment, PackageLoader, StrictUndefined

from .plot_groups import (
    convergence_lines,
    extra_load_group,
    latency_groups,
    missing_group,
)
from .plots import (
    Picture,
    plot_convergence,
    plot_latencies,
    plot_strip,
)
from .report_tables import tables
from .result_files import ExperimentResults
from .statistics_over_seeds import (
    Change,
    ResultsByScenario,
    by_scenario,
)

REPORT_FILE = "report.html"
TEMPLATE = "report.html.j2"


def write_report(
    results: ExperimentResults, changes: Sequence[Change] | None, directory: Path
) -> Path:
    """Write the pictures and the page; return the page's path.

    Parameters
    ----------
    changes
        Comparison with an earlier run; ``None``: there is none to compare with.
    """
    grouped = by_scenario(results.runs)
    environment = Environment(
        loader=PackageLoader("wingquay.simulation.experiments", package_path=""),
        autoescape=True,
        undefined=StrictUndefined,
    )
    page = environment.get_template(TEMPLATE).render(
        title=results.title,
        runs=len(results.runs),
        scenarios=len(grouped),
        queries=sum(run.report.get("queries", 0) for run in results.runs),
        virtual_seconds=sum(run.seconds for run in results.runs),
        wall_seconds=sum(run.wall_seconds for run in results.runs),
        violations=sum(run.violations for run in results.runs),
        failures=[
            f"{run.scenario.label}, seed {run.seed}: {run.failure}"
            for run in results.runs
            if run.failure
        ],
        pictures=_pictures(grouped, directory),
        tables=tables(grouped, changes),
    )
    path = directory / REPORT_FILE
    path.write_text(page, encoding="utf-8")
    return path


def _pictures(grouped: ResultsByScenario, directory: Path) -> list[Picture]:
    if not grouped:
        return []
    pictures = [
        plot_latencies(group, directory, f"latency-{number}.png")
        for number, group in enumerate(latency_groups(grouped), start=1)
    ]
    pictures.append(plot_strip(missing_group(grouped), directory, "coverage.png"))
    pictures.append(plot_strip(extra_load_group(grouped), directory, "extra-load.png"))
    lines = convergence_lines(grouped)
    if lines:
        pictures.append(plot_convergence(lines, directory, "convergence.png"))
    return pictures
