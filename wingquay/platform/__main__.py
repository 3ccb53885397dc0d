"""Runs a node on the platform: ``python3 -S -m wingquay.platform``.

The listening socket is opened before the rest of the program is loaded.
"""

import os
import sys

from wingquay.adapters.listening import open_listening_socket
from wingquay.model.failure import Failure
from wingquay.platform.names import SETTINGS_PATH_VARIABLE
from wingquay.platform.settings import PlatformSettings, parse_settings

FAILED = 1


def search_standard_library_first() -> None:
    """Reorder the module search path: each entry searched in vain costs a system call."""
    prefix = os.path.dirname(os.__file__)
    sys.path.sort(key=lambda entry: not entry.startswith(prefix))


def main() -> int:
    """Run until stopped; return the exit code."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        return _complain(f"{SETTINGS_PATH_VARIABLE} is not set; allowed: a file's path")
    try:
        with open(path, encoding="utf-8") as file:
            settings = parse_settings(file.read())
    except OSError as error:
        return _complain(f"{SETTINGS_PATH_VARIABLE} is {path!r}: {error}")
    if isinstance(settings, Failure):
        return _complain(f"{path}: {settings.reason}")
    return _run(settings)


def _run(settings: PlatformSettings) -> int:
    callers = settings.callers
    try:
        listening = open_listening_socket(callers.host, callers.port)
    except OSError as error:
        return _complain(f"listen.callers is {callers.host}:{callers.port}: {error}")
    from wingquay.platform.process import run_process

    run_process(settings, listening)
    return 0


def _complain(message: str) -> int:
    print(message, file=sys.stderr)
    return FAILED


if __name__ == "__main__":
    search_standard_library_first()
    sys.exit(main())
