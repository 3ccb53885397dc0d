"""Runs a case and says how it ended."""

import asyncio
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from .deployment import Deployment
from .nodes import temporary_directory
from .record import Record

HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3
"""Exit statuses. Python ends with 1 at an error of its own; ``run.sh`` makes 1 of 3 and 2 of 1."""
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class Case(Protocol):
    """A deployment, what is done to it, and the check."""

    record: Record
    deployment: Deployment

    async def start(self) -> bool:
        """Start everything; return whether the nodes became ready."""
        ...

    async def run(self) -> None:
        """Run clients and the disruption."""
        ...

    def verdict(self) -> tuple[int, str]:
        """Return the exit status and what was found."""
        ...


async def _run(make_case: Callable[[Path], Case]) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with temporary_directory() as directory:
        case = make_case(Path(directory))
        try:
            if not await case.start():
                case.record.write("could not run: the nodes did not become ready")
                return COULD_NOT_RUN
            await case.run()
        except asyncio.CancelledError:
            case.record.write("could not run: the script was ended")
            return COULD_NOT_RUN
        finally:
            case.deployment.close()
        status, text = case.verdict()
        case.record.write(text)
        return status


def run_case(make_case: Callable[[Path], Case]) -> int:
    """Run a case in a temporary folder and return its exit status."""
    return asyncio.run(_run(make_case))
