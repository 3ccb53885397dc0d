"""The platform's way in: which node a new connection of a client is handed to."""

import asyncio
import zlib

from .node_process import Node

PROBE_SECONDS = 1.0
"""Time between two questions for readiness."""
MISSES = 2
"""Questions in a row without the answer "ready" after which a node gets no new connections."""


class Ingress:
    """Asks nodes for their readiness and hands connections out.

    Parameters
    ----------
    nodes
        All nodes, in the order of their zones.
    """

    def __init__(self, nodes: list[Node]) -> None:
        self._nodes = nodes
        self._misses = dict.fromkeys((node.name for node in nodes), MISSES)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to ask."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._keep_asking(node)) for node in self._nodes]

    def close(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()

    def is_in(self, node: Node) -> bool:
        """Whether a node gets new connections."""
        return self._misses[node.name] < MISSES

    def choose(self, zone: str, client: str, number: int) -> Node:
        """Return the node that a new connection goes to.

        If under half of a zone's nodes are in, all of them are used; if none is, those of other
        zones are.

        Parameters
        ----------
        number
            Number of the client's connection: repeats reach other nodes.
        """
        own = [node for node in self._nodes if node.zone == zone]
        chosen = [node for node in own if self.is_in(node)]
        if not chosen:
            chosen = [node for node in self._nodes if self.is_in(node)] or own
        elif 2 * len(chosen) < len(own):
            chosen = own
        return chosen[zlib.crc32(f"{client}/{number}".encode()) % len(chosen)]

    async def _keep_asking(self, node: Node) -> None:
        while True:
            is_ready = await node.is_ready()
            self._misses[node.name] = 0 if is_ready else self._misses[node.name] + 1
            await asyncio.sleep(PROBE_SECONDS)
