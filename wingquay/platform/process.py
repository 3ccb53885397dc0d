"""Runs a node with its logs on standard output until it is stopped."""

import asyncio
import socket
import sys

from wingquay.adapters.log_writer import write_logs_to
from wingquay.platform.node import PlatformNode
from wingquay.platform.settings import PlatformSettings


def run_process(settings: PlatformSettings, listening: socket.socket) -> None:
    """Run a node that takes its callers from ``listening``."""
    write_logs_to(sys.stdout)
    asyncio.run(_run(settings, listening))


async def _run(settings: PlatformSettings, listening: socket.socket) -> None:
    await PlatformNode(settings).run(listening)
