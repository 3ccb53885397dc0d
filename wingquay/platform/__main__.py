"""Runs a node on the platform: ``python3 -S deploy/start_node.py``.

The socket on which callers arrive is opened first of all, by a quick look at the settings: until
then callers are turned away by a closed port, afterwards they wait in its queue. What takes time to
load, the check of the settings included, comes after it.
"""

import os
import sys

from ..adapters.listening import listen_on, socket_of
from .names import SETTINGS_PATH_VARIABLE

FAILED = 1
CALLERS_FIELD = "callers"


def main() -> int:
    """Run until stopped; return the exit code."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        return _complain(f"{SETTINGS_PATH_VARIABLE} is not set; allowed: a file's path")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        return _complain(f"{SETTINGS_PATH_VARIABLE} is {path!r}: {error}")
    host, port = glance_at_callers(text)
    try:
        descriptor = listen_on(host, port)
    except OSError as error:
        descriptor = None
        reason = str(error)
    from ..model.failure import Failure
    from .process import run_process
    from .settings import parse_settings

    settings = parse_settings(text)
    if isinstance(settings, Failure):
        return _complain(f"{path}: {settings.reason}")
    if descriptor is None:
        return _complain(f"listen.callers is {host}:{port}: {reason}")
    run_process(settings, socket_of(descriptor))
    return 0


def glance_at_callers(text: str) -> tuple[str, int]:
    """Return the host and port of ``listen.callers`` without reading the settings properly.

    What is found in no proper place is refused later, by the check of the settings.
    """
    for line in text.splitlines():
        name, _, address = line.partition("=")
        if name.strip() == CALLERS_FIELD:
            host, _, port = address.strip().strip('"').rpartition(":")
            return host, int(port) if port.isdigit() and len(port) < 6 else 0
    return "", 0


def search_standard_library_first() -> None:
    """Reorder the module search path: each entry searched in vain costs a system call."""
    prefix = os.path.dirname(os.__file__)
    sys.path.sort(key=lambda entry: not entry.startswith(prefix))


def _complain(message: str) -> int:
    print(message, file=sys.stderr)
    return FAILED


if __name__ == "__main__":
    search_standard_library_first()
    sys.exit(main())
