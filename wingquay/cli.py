"""The command line: finds the command, checks its flags with fire, and runs it.

Errors are one line on the standard error stream, never a traceback.
"""

import contextlib
import difflib
import importlib
import importlib.util
import io
import os
import re
import sys
from collections.abc import Sequence
from typing import Any, TextIO

import fire
import fire.core

import wingquay

from .commands.exit_codes import FAILED, INTERRUPTED, OK, USAGE
from .commands.invocation import Invocation, carry_out, deferred

PROGRAM = "wingquay"

COMMANDS: dict[str, str] = {
    "serve": "Run a node.",
    "settings": "Check, show or document settings files.",
    "demo": "Run a whole small system on this machine and show what it does.",
    "intent": "State an intent and get a plan of what would change.",
    "plan": "Show, confirm or drop a plan.",
    "configuration": "Show the configuration in force and its history.",
    "status": "Show what a node believes of nodes, replicas and classes.",
    "standin": "Run a stand-in for a back end or for the platform's store.",
    "load": "Send a steady load to nodes and report latency and coverage.",
    "simulate": "Run the whole system on a virtual clock under faults.",
    "forwarding": "Simulate nodes that pass requests on, under faults.",
    "fuzz": "Search for violations with random steps against an oracle.",
    "replay": "Run one simulated history again from its seed.",
    "experiment": "Compare mechanisms in simulation.",
}
"""Every command and its summary; a command whose module is not installed is not offered."""

_HELP_FLAGS = frozenset({"--help", "-h", "help"})
_HELP_PREAMBLE_END = "-- --help'.\n"
"""fire says with which command it shows help; what follows is the help."""

_OPTIONAL_TYPE = re.compile(r"Optional\[(\w+) \| None\]")
"""How fire shows the type of a flag that need not be given."""

_COMMAND_PACKAGE = "wingquay.commands"

_HELP_END = """\
Options:
  --help      Show this text, or the help of a command: wingquay COMMAND --help
  --version   Show the version.

Exit codes:
  0   done
  1   it ran and found a violation, or could not do what was asked
  2   wrong command line or settings; nothing was started

Try "make demo" first. Guides: docs/OPERATIONS.md, docs/INTERFACE.md, docs/SETTINGS.md.
"""


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with its code (``wingquay.commands.exit_codes``)."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    try:
        code = run(given)
        sys.stdout.flush()
    except KeyboardInterrupt:
        code = INTERRUPTED
    except BrokenPipeError:
        # The reader of our output went away, as in `wingquay demo | head`.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = FAILED
    sys.exit(code)


def run(arguments: list[str]) -> int:
    """Run one command line and return its exit code."""
    if not arguments:
        print(help_text(), end="", file=sys.stderr)
        return USAGE
    name, rest = arguments[0], arguments[1:]
    if name in _HELP_FLAGS:
        print(help_text(), end="")
        return OK
    if name == "--version":
        print(f"{PROGRAM} {wingquay.__version__}")
        return OK
    if name not in available_commands():
        return _unknown_command(name)
    return _run_command(name, rest)


def available_commands() -> list[str]:
    """Return the commands whose modules are installed."""
    return [name for name in COMMANDS if importlib.util.find_spec(_module_name(name))]


def help_text() -> str:
    """Return the help of the program."""
    commands = "".join(f"  {name:<14}{COMMANDS[name]}\n" for name in available_commands())
    return (
        f"{PROGRAM} {wingquay.__version__}: a query tier for search that spans many shards\n\n"
        f"Usage: {PROGRAM} COMMAND [OPTIONS]\n\nCommands:\n{commands}\n{_HELP_END}"
    )


def _module_name(command: str) -> str:
    return f"{_COMMAND_PACKAGE}.{command}"


def _unknown_command(name: str) -> int:
    close = difflib.get_close_matches(name, available_commands(), n=1)
    hint = f'; did you mean "{close[0]}"?' if close else ""
    _print_error(f'unknown command "{name}"{hint} See "{PROGRAM} --help".')
    return USAGE


def _run_command(name: str, rest: list[str]) -> int:
    if "--" in rest:
        _print_error('"--" is not allowed')
        return USAGE
    try:
        module = importlib.import_module(_module_name(name))
        chosen = _understand(name, module.command, rest)
        return chosen if isinstance(chosen, int) else carry_out(chosen)
    except Exception as error:
        _print_error(f"{name}: {type(error).__name__}: {error}")
        return FAILED


def _understand(name: str, command: Any, rest: list[str]) -> Invocation | int:
    """Return the call that the command line asks for, or an exit code if it asks for none."""
    fire.core.Display = _display
    arguments = [name, *("--help" if argument == "-h" else argument for argument in rest)]
    said = io.StringIO()
    try:
        with contextlib.redirect_stderr(said), contextlib.redirect_stdout(said):
            chosen = fire.Fire({name: deferred(command)}, arguments, PROGRAM, _no_text)
    except fire.core.FireExit as error:
        text = said.getvalue().partition(_HELP_PREAMBLE_END)[2] or said.getvalue()
        text = _OPTIONAL_TYPE.sub(r"\1 (optional)", text)
        print(text.strip("\n"), file=sys.stderr if error.code else sys.stdout)
        return int(error.code)
    if isinstance(chosen, Invocation):
        return chosen
    _print_error(f'{name}: a subcommand is missing; see "{PROGRAM} {name} --help"')
    return USAGE


def _print_error(text: str) -> None:
    print(f"{PROGRAM}: {' '.join(text.split())}", file=sys.stderr)


def _display(lines: list[str], out: TextIO) -> None:
    """Print help without a pager."""
    print("\n".join(lines), file=out)


def _no_text(_result: Any) -> str:
    """Print nothing of what a command returns: it has printed what it has to say."""
    return ""


if __name__ == "__main__":
    main()
