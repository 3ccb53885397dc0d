"""``wingquay fuzz``: random histories of a small deployment against the oracle."""

import contextlib
import io
import json as json_library
import sys
from pathlib import Path

from ..model.failure import Failure
from ..simulation.fault_choices import parse_mechanisms
from ..simulation.script import write_script
from .exit_codes import FAILED, OK, USAGE

MOST_STEPS = 100_000_000


def command(
    seed: int = 1,
    steps: int = 3000,
    without: str = "",
    save: str = "failing-script.json",
    json: bool = False,
) -> int:
    """Search for violations with random steps; a failing history is shortened and saved.

    Exit code 0: none found. 1: one found, and saved for ``wingquay replay``.

    Parameters
    ----------
    seed
        One seed gives one search.
    steps
        About how many steps to run.
    without
        Mechanisms to take out, with commas between them.
    save
        File for the shortened history of a violation.
    json
        Print one JSON object.
    """
    mechanisms = parse_mechanisms(without)
    if isinstance(mechanisms, Failure):
        return _refuse(mechanisms.reason)
    if not 0 < steps <= MOST_STEPS:
        return _refuse(f"--steps: {steps} must be from 1 to {MOST_STEPS}")
    try:
        from ..simulation.fuzzing import search_for_violations
    except ImportError:
        return _refuse("the hypothesis library is needed; install wingquay[dev]")
    with contextlib.redirect_stdout(io.StringIO()):
        search = search_for_violations(seed, steps, mechanisms)
    if search.failing is not None:
        write_script(search.failing, Path(save))
    result = {
        "seed": seed,
        "steps": search.steps,
        "scripts": search.scripts,
        "violations": len(search.examples),
        "examples": list(search.examples),
        "shortest_script_steps": len(search.failing.steps) if search.failing else None,
        "script": save if search.failing else None,
    }
    if json:
        print(json_library.dumps(result, indent=2))
    else:
        print(f"{search.steps} steps in {search.scripts} histories")
        print("no violation" if search.failing is None else "violations:")
        for example in search.examples:
            print(f"  {example}")
        if search.failing is not None:
            print(f"run it again with: wingquay replay {save}")
    return OK if search.failing is None else FAILED


def _refuse(reason: str) -> int:
    print(f"wingquay: fuzz: {reason}", file=sys.stderr)
    return USAGE
