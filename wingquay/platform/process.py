"""Runs a node until it is stopped."""

import asyncio
import socket

from .node import PlatformNode
from .settings import PlatformSettings


def run_process(settings: PlatformSettings, listening: socket.socket) -> None:
    """Run a node that takes its callers from ``listening``."""
    asyncio.run(_run(settings, listening))


async def _run(settings: PlatformSettings, listening: socket.socket) -> None:
    await PlatformNode(settings).run(listening)
