"""Runs a node on the platform: ``python3 -m wingquay.platform``."""

import asyncio
import os
import sys
from pathlib import Path

from wingquay.adapters.log_writer import write_logs_to
from wingquay.model.failure import Failure
from wingquay.platform.names import SETTINGS_PATH_VARIABLE
from wingquay.platform.node import PlatformNode
from wingquay.platform.settings import PlatformSettings, parse_settings

FAILED = 1


def main() -> int:
    """Run until stopped; return the exit code."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        print(f"{SETTINGS_PATH_VARIABLE} is not set; allowed: a file's path", file=sys.stderr)
        return FAILED
    try:
        settings = parse_settings(Path(path).read_text())
    except OSError as error:
        print(f"{SETTINGS_PATH_VARIABLE} is {path!r}: {error}", file=sys.stderr)
        return FAILED
    if isinstance(settings, Failure):
        print(f"{path}: {settings.reason}", file=sys.stderr)
        return FAILED
    write_logs_to(sys.stdout)
    asyncio.run(_run(settings))
    return 0


async def _run(settings: PlatformSettings) -> None:
    await PlatformNode(settings).run()


if __name__ == "__main__":
    sys.exit(main())
