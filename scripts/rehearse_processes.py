"""Rehearses failures with real processes on loopback and checks what callers were told.

Usage: python scripts/rehearse_processes.py [--seconds 30] [--seed 1] [--nodes-per-zone 2]

Starts a store, replicas and nodes in three zones as processes of their own, asks them all the
time, and meanwhile stops, kills, pauses and replaces them. Exit code 1 if anything was violated.
"""

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path

from process_rehearsal.checks import faults_in_logs, read_share_complete, violations
from process_rehearsal.faults import Faults
from process_rehearsal.load import Load
from process_rehearsal.system import ProcessSystem

SHOWN_VIOLATIONS = 20
SET_UP_AND_END_SECONDS = 120.0
"""Time granted beside the faults themselves; after it everything is ended."""


async def rehearse(
    seconds: float, seed: int, nodes_per_zone: int, directory: Path
) -> dict[str, object]:
    """Run one rehearsal and return its report."""
    system = ProcessSystem(directory, nodes_per_zone)
    load = Load(system, seed)
    faults = Faults(system, seed)
    try:
        await system.start()
        load.start()
        await faults.run(seconds)
        await load.finish()
        found = faults.violations + await violations(system, load.records)
    finally:
        await system.close()
    found += faults_in_logs(system)
    return {
        "seed": seed,
        "nodes": system.node_count,
        "requests": len(load.records),
        "outcomes": dict(sorted(load.outcomes().items())),
        "not_complete": load.reasons(),
        "reads_complete_share": round(read_share_complete(load.records), 4),
        "faults": faults.done,
        "violations": len(found),
        "first_violations": found[:SHOWN_VIOLATIONS],
        "processes": len(system.processes),
    }


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=30.0, help="how long to make faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes-per-zone", type=int, default=2)
    parser.add_argument("--keep", type=Path, help="directory for settings and logs; kept")
    options = parser.parse_args()
    limit = options.seconds + SET_UP_AND_END_SECONDS
    with tempfile.TemporaryDirectory() as temporary:
        directory = options.keep or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        running = rehearse(options.seconds, options.seed, options.nodes_per_zone, directory)
        report = asyncio.run(asyncio.wait_for(running, limit))
    print(json.dumps(report, indent=2))
    return 1 if report["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
