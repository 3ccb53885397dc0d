"""``wingquay simulate``: a whole deployment on a virtual clock, under faults, with an oracle."""

import gc
import json as json_library
import sys
from typing import Any

from ..model.failure import Failure
from ..model.mechanisms import Mechanism
from ..simulation.deployments import DEPLOYMENTS, find_deployment
from ..simulation.fault_choices import parse_faults, parse_mechanisms
from ..simulation.faults.catalogue import FAULTS
from ..simulation.invariants import Invariant
from ..simulation.mechanisms import PROTECTS
from ..simulation.simulation import Simulation
from ..simulation.simulation_failure import SimulationFailureKind
from ..simulation.simulation_report import make_report, report_text
from ..simulation.simulation_settings import DEFAULT_LOAD, Policy, SimulationSettings
from .exit_codes import FAILED, OK, USAGE

LONGEST_SECONDS = 1e6
GREATEST_LOAD = 100.0


def command(  # noqa: PLR0913 - each argument is a flag
    deployment: str = "ro-nord",
    seed: int = 1,
    seconds: float = 20.0,
    faults: str = "all",
    policy: str = "wingquay",
    load: float = DEFAULT_LOAD,
    without: str = "",
    list: bool = False,
    json: bool = False,
) -> int:
    """Simulate a whole deployment and check what must always hold.

    Exit code 0: no violation. 1: at least one.

    Parameters
    ----------
    deployment
        ro-nord, isan-north, or a TOML file.
    seed
        One seed gives one run, to the last event.
    seconds
        Virtual seconds during which callers send.
    faults
        all, none, or names with commas between them; stragglers:0.02 sets a share.
    policy
        wingquay, naive or floor.
    load
        Load as a fraction of each service's capacity.
    without
        Mechanisms to take out, with commas between them.
    list
        Show deployments, faults, invariants and mechanisms instead.
    json
        Print one JSON object.
    """
    if list:
        return _print(catalogue(), json)
    settings = read_settings(deployment, seed, seconds, faults, policy, load, without)
    if isinstance(settings, Failure):
        print(f"wingquay: simulate: {settings.reason}", file=sys.stderr)
        return USAGE
    simulation = Simulation(settings)
    # A run keeps everything it sees and makes no garbage in cycles worth looking for.
    gc.disable()
    try:
        simulation.run()
    finally:
        gc.enable()
    report = make_report(simulation)
    if json:
        print(json_library.dumps(report, indent=2))
    else:
        print(report_text(report))
    return FAILED if simulation.oracle.violations.total else OK


def read_settings(
    deployment: str,
    seed: int,
    seconds: float,
    faults: str,
    policy: str,
    load: float,
    without: str,
) -> SimulationSettings | Failure[SimulationFailureKind]:
    """Check what the command line says."""
    profile = find_deployment(deployment)
    if isinstance(profile, Failure):
        return profile
    chosen_faults = parse_faults(faults)
    if isinstance(chosen_faults, Failure):
        return chosen_faults
    mechanisms = parse_mechanisms(without)
    if isinstance(mechanisms, Failure):
        return mechanisms
    policies = {entry.value: entry for entry in Policy}
    if policy not in policies:
        reason = f"--policy: {policy!r} must be one of {', '.join(policies)}"
        return Failure(SimulationFailureKind.UNKNOWN_NAME, reason)
    if not 0 < seconds <= LONGEST_SECONDS:
        reason = f"--seconds: {seconds:g} must be above 0 and at most {LONGEST_SECONDS:g}"
        return Failure(SimulationFailureKind.OUT_OF_RANGE, reason)
    if not 0 < load <= GREATEST_LOAD:
        reason = f"--load: {load:g} must be above 0 and at most {GREATEST_LOAD:g}"
        return Failure(SimulationFailureKind.OUT_OF_RANGE, reason)
    return SimulationSettings(
        profile, seed, seconds, chosen_faults, policies[policy], load, mechanisms
    )


def catalogue() -> dict[str, Any]:
    """Return everything that can be asked for by name."""
    return {
        "deployments": [*DEPLOYMENTS],
        "faults": [{"name": fault.name, "summary": fault.summary} for fault in FAULTS.values()],
        "invariants": [invariant.value for invariant in Invariant],
        "mechanisms": [
            {"name": mechanism.value, "protects": PROTECTS[mechanism]} for mechanism in Mechanism
        ],
        "policies": [policy.value for policy in Policy],
    }


def _print(entries: dict[str, Any], as_json: bool) -> int:
    if as_json:
        print(json_library.dumps(entries, indent=2))
        return OK
    for name, members in entries.items():
        print(f"{name}:")
        for member in members:
            text = member if isinstance(member, str) else "  ".join(member.values())
            print(f"  {text}")
    return OK
