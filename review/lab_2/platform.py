"""The platform's store and the operator, on the project's own stand-in of the store."""

import asyncio
import contextlib

from wingquay.platform.standins.store import StandInStore

from .replica import Replica

HEARTBEAT_SECONDS = 1.2


class Platform:
    """The store, the operator's configuration and the entries of replicas."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.port = 0
        self._version = 0
        self._sequence = 0
        self.replicas: list[Replica] = []
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and let replicas write their entries again and again."""
        self.port = await self.store.start()
        self._beats = asyncio.create_task(self._beat())

    async def add_replica(self, replica: Replica) -> None:
        """Start a replica and write its entry."""
        if not replica.port:
            await replica.start()
        self.replicas.append(replica)
        self.write_entry(replica)

    def write_entry(self, replica: Replica) -> None:
        """Write the entry of a replica."""
        self._sequence += 1
        self.store.put(f"servers/{replica.replica_id}", replica.entry(self._sequence))

    def configure(self, routes: list[dict[str, object]], connections: int) -> None:
        """Write a configuration."""
        self._version += 3
        names = sorted({name for route in routes for name in _services_of(route)})
        services = [
            {"name": name, "healthPath": "/health", "maxConnections": connections} for name in names
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("op/config", document)

    async def close(self) -> None:
        """End everything."""
        if self._beats is not None:
            self._beats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._beats
        for replica in self.replicas:
            replica.end()
        await self.store.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for replica in self.replicas:
                self.write_entry(replica)


def _services_of(route: dict[str, object]) -> list[str]:
    parts = route.get("fanoutServices") or [route["service"]]
    return list(parts)  # type: ignore[call-overload]
