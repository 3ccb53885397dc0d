"""``wingquay replay``: run a saved history again and show what the oracle says."""

import json as json_library
import sys
from pathlib import Path

from ..model.failure import Failure
from ..simulation.fault_choices import parse_mechanisms
from ..simulation.script import read_script
from ..simulation.scripted_simulation import ScriptedSimulation
from .exit_codes import FAILED, OK, USAGE


def command(file: str, json: bool = False) -> int:
    """Run a saved history again. Exit code 0: no violation. 1: at least one.

    Parameters
    ----------
    file
        A history that ``wingquay fuzz`` saved.
    json
        Print one JSON object.
    """
    script = read_script(Path(file))
    if isinstance(script, Failure):
        print(f"wingquay: replay: {script.reason}", file=sys.stderr)
        return USAGE
    mechanisms = parse_mechanisms(",".join(script.without))
    if isinstance(mechanisms, Failure):
        print(f"wingquay: replay: {file}: {mechanisms.reason}", file=sys.stderr)
        return USAGE
    deployment = ScriptedSimulation(script.seed, mechanisms)
    for step in script.steps:
        deployment.perform(step)
        if not json:
            print(
                f"{deployment.simulation.clock.now:10.6f} {step.name.value}"
                f" {step.first} {step.second}"
            )
    deployment.finish()
    violations = deployment.simulation.oracle.violations
    if json:
        result = {
            "digest": deployment.simulation.digest.hexdigest(),
            "steps": len(script.steps),
            "violations": violations.by_name(),
            "examples": violations.examples,
        }
        print(json_library.dumps(result, indent=2))
    else:
        print("no violation" if not violations.total else "violations:")
        for example in violations.examples:
            print(f"  {example}")
    return FAILED if violations.total else OK
