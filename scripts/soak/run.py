"""Plays one run: starts everything, strikes, ends everything, checks."""

import asyncio
import tempfile
from collections.abc import Callable
from pathlib import Path

from .chart import write_chart
from .checks import check_all
from .deployment import Deployment
from .faults import strike
from .report import RunReport, make_report
from .settings import SoakSettings

LEAD_SECONDS = 1.5
"""Time of calm traffic before the first fault."""
SETTLE_SECONDS = 2.0
"""Time of calm traffic after the last one."""
LIMIT_SECONDS = 120.0
"""Time granted beside the faults themselves; after it the run is given up."""


async def play(
    settings: SoakSettings,
    directory: Path,
    chart: Path | None = None,
    progress: Callable[[str], None] = lambda _line: None,
) -> RunReport:
    """Play one run and return its report.

    Parameters
    ----------
    directory
        Where settings and logs of the nodes lie.
    chart
        Where a chart is written; ``None``: nowhere.
    progress
        Takes lines on how far the run is.

    Raises
    ------
    NotReadyError, TimeoutError
        The run could not be played.
    """
    deployment = Deployment(settings, directory)
    async with asyncio.timeout(settings.seconds + LIMIT_SECONDS):
        try:
            await deployment.start()
            progress(f"seed {settings.seed}: {settings.nodes} nodes are ready")
            deployment.start_clients()
            await asyncio.sleep(LEAD_SECONDS)
            begun = await strike(deployment)
            await asyncio.sleep(SETTLE_SECONDS)
            await deployment.finish_clients()
            progress(f"seed {settings.seed}: {len(deployment.ledger.attempts)} requests, checking")
        finally:
            await deployment.close()
    ledger = deployment.ledger
    if chart is not None:
        write_chart(ledger, f"seed {settings.seed}, {settings.nodes} nodes", chart)
    violations = check_all(ledger, settings)
    logs = sorted(directory.glob("*.log"))
    return make_report(ledger, settings, begun, violations, deployment.not_ready, logs)


def play_in_temporary_directory(settings: SoakSettings) -> RunReport:
    """Play one run whose logs are not kept."""
    with tempfile.TemporaryDirectory(prefix="wingquay-soak-") as directory:
        return asyncio.run(play(settings, Path(directory)))
