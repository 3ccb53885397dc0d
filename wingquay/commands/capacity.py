"""``wingquay capacity``: what control costs a node at a given size, with hollow nodes."""

import gc
import json as json_library
import sys

from wingquay.commands.exit_codes import FAILED, OK, USAGE
from wingquay.simulation.capacity.report import make_report, report_text
from wingquay.simulation.capacity.run import run
from wingquay.simulation.capacity.settings import CapacitySettings, check


def command(  # noqa: PLR0913 - each argument is a flag
    nodes: int = 470,
    replicas: int = 2_800,
    seconds: float = 30.0,
    seed: int = 1,
    changes: int = 5,
    churn: int = 0,
    zone_cut_seconds: float = 0.0,
    restart_all: bool = False,
    json: bool = False,
) -> int:
    """Measure the control plane at a size: hollow nodes on a virtual clock, in this process.

    Two regions with four zones each. Every node runs all decision code and the real codecs;
    processor time is that of this machine. Exit code 0: done. 1: a change was not in force
    everywhere within a minute, or not at all.

    Parameters
    ----------
    nodes
        Number of nodes.
    replicas
        Number of replicas of all services together.
    seconds
        Virtual seconds of ordinary running that are measured.
    seed
        One seed gives one run.
    changes
        Changes of the configuration that operators confirm afterwards.
    churn
        Nodes that crash, one every 20 virtual seconds, and are replaced.
    zone_cut_seconds
        Cut one zone off for so long, and heal the cut.
    restart_all
        Lose all nodes at once and start them again without memory.
    json
        Print one JSON object.
    """
    settings = CapacitySettings(
        nodes, replicas, seconds, seed, changes, churn, zone_cut_seconds, restart_all
    )
    refused = check(settings)
    if refused is not None:
        print(f"wingquay: capacity: {refused.reason}", file=sys.stderr)
        return USAGE
    # A run keeps what it sees; looking for garbage would be charged to whichever node is busy.
    gc.disable()
    try:
        findings = run(settings)
    finally:
        gc.enable()
    report = make_report(findings)
    print(json_library.dumps(report, indent=2) if json else report_text(report))
    return FAILED if findings.change_times.not_landed else OK
