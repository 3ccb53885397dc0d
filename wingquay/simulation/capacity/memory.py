"""How much memory a node's machine holds, and the process around it."""

import gc
import sys
import types
from pathlib import Path

MEBIBYTE = 1024 * 1024
STATUS_PATH = Path("/proc/self/status")

_NOT_STATE = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def resident_mb() -> float:
    """Return the resident memory of this process in MiB; 0 where the system does not tell."""
    if not STATUS_PATH.exists():
        return 0.0
    for line in STATUS_PATH.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def state_mb(machine: object, shared: tuple[object, ...]) -> float:
    """Return the size in MiB of every object that ``machine`` alone leads to.

    Parameters
    ----------
    shared
        Objects that nodes of one process share; they and what they lead to are not counted.
    """
    seen = {id(entry) for entry in shared}
    waiting: list[object] = [machine]
    total_bytes = 0
    while waiting:
        current = waiting.pop()
        if id(current) in seen or isinstance(current, _NOT_STATE):
            continue
        seen.add(id(current))
        total_bytes += sys.getsizeof(current)
        waiting.extend(gc.get_referents(current))
    return total_bytes / MEBIBYTE
