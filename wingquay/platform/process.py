"""Runs a node until it is stopped."""

import asyncio
import socket

from ..adapters.counting_loop import CountingLoop
from .node import PlatformNode
from .settings import PlatformSettings


def run_process(settings: PlatformSettings, listening: socket.socket) -> None:
    """Run a node that takes its callers from ``listening``."""
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(_run(settings, listening))


async def _run(settings: PlatformSettings, listening: socket.socket) -> None:
    await PlatformNode(settings).run(listening)
