"""A small deployment on loopback addresses: store, replicas and nodes."""

import json
from pathlib import Path

from .nodes import Node, free_port
from .proxy import StoreProxy
from .record import Record
from .replica import Replica
from .store import Store

ZONES = ("cluj-a", "cluj-b")
HOST = "pupu76.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
"""The limits that ``fleetbench wire`` shows for rlc-portal."""


def route(name: str, prefix: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route like rlc-portal's ticket-fetch, with some fields changed."""
    known: dict[str, object] = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 8000,
        "targetLatencyMs": 800,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }
    return known | changes


def configuration(
    version: int, routes: list[dict[str, object]], connections: int = 110, **more: object
) -> bytes:
    """Return the operator's configuration with these routes and their services."""
    names = sorted({str(item["service"]) for item in routes})
    services = [
        {"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1"}
        for name in names
    ]
    known = {"version": version, "routes": routes, "services": services, "limits": LIMITS}
    return json.dumps(known | more).encode()


class Deployment:
    """Store, replicas and nodes.

    Parameters
    ----------
    directory
        Where settings and logs of the nodes lie.
    record
        Takes what the replicas note.
    nodes
        Number of nodes; they stand in the zones in turn.
    """

    def __init__(
        self,
        directory: Path,
        record: Record,
        nodes: int = 2,
        zones: tuple[str, ...] = ZONES,
        bounds: dict[str, object] | None = None,
    ) -> None:
        self.record = record
        self.zones = zones
        self.store = Store()
        self.replicas: list[Replica] = []
        self.proxies: list[StoreProxy] = []
        """Proxies between the nodes and the store, in the order of the nodes."""
        self._store_port = free_port("127.0.0.1")
        address = f"127.0.0.1:{self._store_port}"
        self.nodes = [
            Node(
                f"front-{zones[index % len(zones)]}-{index // len(zones) + 1}",
                zones[index % len(zones)],
                list(zones),
                f"127.0.0.{2 + index}",
                address,
                directory,
                bounds,
            )
            for index in range(nodes)
        ]

    async def start_store(self, document: bytes) -> None:
        """Start the store with a configuration."""
        await self.store.start("127.0.0.1", self._store_port)
        self.store.put("op/config", document)

    async def start_replicas(
        self,
        service: str,
        counts: tuple[int, ...],
        slots: int = 2,
        queue: int = 8,
        beats: bool = True,
    ) -> None:
        """Start replicas of a service: so many in each zone."""
        for zone, count in zip(self.zones, counts, strict=True):
            for number in range(count):
                replica = Replica(
                    service, f"i-{service}-{zone}-{number}", zone, self.record.note, slots, queue
                )
                replica.beats = beats
                await replica.start("127.0.0.1", free_port("127.0.0.1"), self.store)
                self.replicas.append(replica)

    async def start_proxies(self) -> None:
        """Start a proxy to the store for each node; to be done before the nodes start."""
        for node in self.nodes:
            proxy = StoreProxy("127.0.0.1", self._store_port)
            port = free_port("127.0.0.1")
            await proxy.start("127.0.0.1", port)
            node.use_store(f"127.0.0.1:{port}")
            self.proxies.append(proxy)

    async def start_nodes(self) -> bool:
        """Start all nodes; return whether they became ready."""
        for node in self.nodes:
            node.start()
        return all([await node.wait_ready() for node in self.nodes])

    def arrived(self) -> set[str]:
        """Return the ids of the requests that have arrived at a replica."""
        return {request_id for replica in self.replicas for request_id in replica.arrived}

    def close(self) -> None:
        """End everything that was started."""
        for node in self.nodes:
            node.end()
        for replica in self.replicas:
            replica.close()
        for proxy in self.proxies:
            proxy.close()
        self.store.close()
