"""Runs the benchmarks, each in a process of its own, one after another.

Usage::

    python -m benchmarks                 all, with their defaults
    python -m benchmarks --list          their names and what they measure
    python -m benchmarks NAME [--flag]   one; ``--help`` after the name shows its flags
"""

import importlib
import pkgutil
import subprocess
import sys
from collections.abc import Sequence

import benchmarks

LONGEST_SECONDS = 900.0
"""A benchmark that takes longer is ended and counts as failed."""

OK, FAILED, USAGE = 0, 1, 2


def find_benchmarks() -> dict[str, str]:
    """Return every benchmark and the first line of its doc comment, by name."""
    found: dict[str, str] = {}
    for module_info in pkgutil.iter_modules(benchmarks.__path__):
        if module_info.ispkg or module_info.name.startswith("_"):
            continue
        module = importlib.import_module(f"{benchmarks.__name__}.{module_info.name}")
        if hasattr(module, "main"):
            found[module_info.name] = (module.__doc__ or "").strip().splitlines()[0]
    return found


def run_benchmark(name: str, arguments: Sequence[str] = ()) -> bool:
    """Run one benchmark; return whether it succeeded."""
    command = [sys.executable, "-m", f"{benchmarks.__name__}.{name}", *arguments]
    try:
        return subprocess.run(command, timeout=LONGEST_SECONDS, check=False).returncode == 0
    except subprocess.TimeoutExpired:
        print(f"{name}: ended after {LONGEST_SECONDS:.0f} s", file=sys.stderr)
        return False


def main(arguments: Sequence[str]) -> int:
    """Run what the command line asks for and return the exit code."""
    found = find_benchmarks()
    if not arguments:
        return _run_all(list(found))
    name = arguments[0]
    if name == "--list":
        for known, summary in found.items():
            print(f"{known:24}{summary}")
        return OK
    if name not in found:
        print(f"unknown benchmark {name!r}; known are {', '.join(found)}", file=sys.stderr)
        return USAGE
    return OK if run_benchmark(name, arguments[1:]) else FAILED


def _run_all(names: Sequence[str]) -> int:
    failed: list[str] = []
    for name in names:
        print(f"== {name}", flush=True)
        if not run_benchmark(name):
            failed.append(name)
        print(flush=True)
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
    return FAILED if failed else OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
