"""What happens to the processes while they are asked."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from process_rehearsal.system import READ_SERVICE, ProcessSystem, Replica

CALM_SECONDS = 1.5
STOP_LIMIT_SECONDS = 45.0
PAUSE_SECONDS = 2.0
STRAGGLE_SECONDS = 2.0
STRAGGLE_FACTOR = 20.0


class Faults:
    """Draws faults from a seeded source, one after the other, and notes what it did.

    Replicas of the write service are left alone, since a killed process takes the list of what
    it ran along.
    """

    def __init__(self, system: ProcessSystem, seed: int) -> None:
        self._system = system
        self._random = random.Random(f"{seed}/faults")
        self.done: list[str] = []
        self.violations: list[str] = []

    async def run(self, seconds: float) -> None:
        """Make faults for about so long; each kind comes once before any comes twice."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._stop_node,
            self._kill_node,
            self._pause_node,
            self._kill_replica,
            self._drain_replica,
            self._straggle_replica,
            self._pause_store,
        ]
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        while loop.time() < end_at:
            self._random.shuffle(kinds)
            for kind in kinds:
                if loop.time() >= end_at:
                    return
                await kind()
                await asyncio.sleep(CALM_SECONDS)

    async def _stop_node(self) -> None:
        index = self._random.randrange(len(self._system.nodes))
        node = self._system.nodes[index]
        code = await node.stop(STOP_LIMIT_SECONDS)
        self.done.append(f"planned stop of {node.name}: exit code {code}")
        if code != 0:
            self.violations.append(f"planned stop of {node.name} ended with {code}")
        await node.end()
        self._system.nodes[index] = await self._system.start_node(index)

    async def _kill_node(self) -> None:
        index = self._random.randrange(len(self._system.nodes))
        await self._system.nodes[index].kill()
        self.done.append(f"killed node-{index}")
        await asyncio.sleep(CALM_SECONDS)
        self._system.nodes[index] = await self._system.start_node(index)

    async def _pause_node(self) -> None:
        node = self._random.choice(self._system.nodes)
        await node.pause(PAUSE_SECONDS)
        self.done.append(f"paused {node.name} for {PAUSE_SECONDS:g} s")

    async def _kill_replica(self) -> None:
        replica = self._read_replica()
        await replica.process.kill()
        self.done.append(f"killed {replica.replica_id}")
        await asyncio.sleep(CALM_SECONDS)
        await self._system.restart_replica(replica)

    async def _drain_replica(self) -> None:
        replica = self._read_replica()
        await self._system.administer(replica, "drain", {})
        self.done.append(f"drained {replica.replica_id}")
        await asyncio.sleep(CALM_SECONDS)
        await replica.process.kill()
        await self._system.restart_replica(replica)

    async def _straggle_replica(self) -> None:
        replica = self._read_replica()
        fields = {"factor": STRAGGLE_FACTOR, "seconds": STRAGGLE_SECONDS}
        await self._system.administer(replica, "straggle", fields)
        self.done.append(f"slowed {replica.replica_id} down")

    async def _pause_store(self) -> None:
        await self._system.store.pause(PAUSE_SECONDS)
        self.done.append(f"paused the store for {PAUSE_SECONDS:g} s")

    def _read_replica(self) -> Replica:
        replicas = [entry for entry in self._system.replicas if entry.service == READ_SERVICE]
        return self._random.choice(replicas)
