"""``wingquay forwarding``: nodes that pass requests on, on a virtual clock, under faults."""

import sys

from ..simulation.forwarding.faults import FAULTS, play
from ..simulation.forwarding.settings import SimulationSettings
from ..simulation.forwarding.simulation import SimulatedFault
from .exit_codes import FAILED, OK, USAGE

MOST_RUNS = 100_000
LONGEST_SECONDS = 1e5


def command(
    seed: int = 1,
    runs: int = 1,
    seconds: float = 12.0,
    faults: str = "",
    list: bool = False,
) -> int:
    """Simulate nodes that pass requests on, and check what must always hold.

    Exit code 0: no violation. 1: at least one.

    Parameters
    ----------
    seed
        Seed of the first run; one seed gives one run, to the last event.
    runs
        How many runs, with consecutive seeds.
    seconds
        Virtual seconds during which callers send.
    faults
        Names with commas between them; empty: four that the seed draws.
    list
        Show the faults instead.
    """
    by_name = {fault.__name__: fault for fault in FAULTS}
    if list:
        for name, fault in by_name.items():
            print(f"{name:<22}{(fault.__doc__ or '').strip()}")
        return OK
    names = [name.strip() for name in faults.split(",") if name.strip()]
    complaint = _complaint(runs, seconds, names, by_name)
    if complaint:
        print(complaint, file=sys.stderr)
        return USAGE
    chosen = tuple(by_name[name] for name in names) or None
    settings = SimulationSettings(seconds=seconds)
    violations = 0
    for number in range(seed, seed + runs):
        result = play(number, settings, chosen)
        violations += len(result.violations)
        print(
            f"seed={result.seed} faults={','.join(result.faults)} requests={result.requests} "
            f"served={result.served} refused={result.refused} violations={len(result.violations)}"
        )
        for violation in result.violations:
            print(f"  {violation}")
    return FAILED if violations else OK


def _complaint(
    runs: int, seconds: float, names: list[str], known: dict[str, SimulatedFault]
) -> str:
    if not 1 <= runs <= MOST_RUNS:
        return f"--runs is {runs}; allowed: a whole number from 1 to {MOST_RUNS}"
    if not 0.0 < seconds <= LONGEST_SECONDS:
        return f"--seconds is {seconds:g}; allowed: more than 0, up to {LONGEST_SECONDS:g}"
    unknown = [name for name in names if name not in known]
    if unknown:
        return f"--faults has {unknown[0]!r}; allowed: {', '.join(known)}"
    return ""
