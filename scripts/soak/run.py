"""Plays one run: starts everything, strikes, ends everything, then checks."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs

from .chart import write_chart
from .checks import check_all
from .deployment import Deployment, NodeMaker
from .ledger import Ledger
from .report import RunReport, make_report
from .settings import SoakSettings
from .strike import strike

LIMIT_SECONDS = 120.0
"""Time granted beside the faults themselves; after it the run is given up."""


@attrs.frozen
class Recording:
    """What a run left behind.

    Parameters
    ----------
    faults
        Names of the faults in the order of their begins.
    not_ready
        Nodes that did not become ready after a new start.
    """

    settings: SoakSettings
    ledger: Ledger
    faults: tuple[str, ...]
    not_ready: tuple[str, ...]


async def record(
    settings: SoakSettings,
    directory: Path,
    make_node: NodeMaker | None = None,
    progress: Callable[[str], None] = lambda _line: None,
) -> Recording:
    """Play a run.

    Parameters
    ----------
    directory
        Where settings and logs of the nodes lie.
    make_node
        Makes the nodes; ``None``: they are processes as the deploy file runs them.
    progress
        Takes lines on how far the run is.

    Raises
    ------
    NotReadyError, TimeoutError
        The run could not be played.
    """
    deployment = Deployment(settings, directory, make_node)
    async with asyncio.timeout(settings.seconds + LIMIT_SECONDS):
        try:
            await deployment.start()
            progress(f"seed {settings.seed}: {settings.nodes} nodes are ready")
            deployment.start_clients()
            await asyncio.sleep(settings.lead_seconds)
            begun = await strike(deployment)
            await asyncio.sleep(settings.settle_seconds)
            await deployment.finish_clients()
            progress(f"seed {settings.seed}: {len(deployment.ledger.attempts)} requests, checking")
        finally:
            await deployment.close()
    return Recording(settings, deployment.ledger, tuple(begun), tuple(deployment.not_ready))


def judge(recording: Recording, directory: Path, chart: Path | None = None) -> RunReport:
    """Check what a run left behind and return the report.

    Parameters
    ----------
    directory
        Where the logs of the nodes lie, for traces.
    chart
        Where a chart is written; ``None``: nowhere.
    """
    settings, ledger = recording.settings, recording.ledger
    if chart is not None:
        write_chart(ledger, f"seed {settings.seed}, {settings.nodes} nodes", chart)
    violations = check_all(ledger, settings)
    logs = sorted(directory.glob("*.log"))
    return make_report(ledger, settings, recording.faults, violations, recording.not_ready, logs)
