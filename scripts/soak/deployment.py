"""Store, replicas, nodes, clients and operator of one run."""

import asyncio
import random
import signal
import zlib
from collections.abc import Callable
from itertools import count
from pathlib import Path

from wingquay.platform.standins.store import StandInStore

from .clients import Client, Keys, Profile
from .ingress import Ingress
from .ledger import Ledger, Span, SpanKind
from .node_process import Node, NodeProcess
from .operator import Operator
from .replicas import Replicas
from .requests import SERVICES, Kind, shard_names
from .settings import SoakSettings, loopback_host
from .tcp_proxy import TcpProxy

READY_SECONDS = 30.0
START_BATCH = 10
"""Nodes that are started at a time."""
LAG_CHECK_SECONDS = 0.05
LAG_SECONDS = 0.15
"""Lateness of the soak's own loop from which on times near it are not exact."""


NodeMaker = Callable[["Deployment", int], Node]
"""Makes the node of a number."""


class NotReadyError(Exception):
    """Nodes did not become ready."""


class Deployment:
    """Everything that a run starts; nothing else is ever signalled.

    Parameters
    ----------
    directory
        Where settings and logs of the nodes lie.
    make_node
        Makes the nodes; ``None``: they are processes as the deploy file runs them.
    """

    def __init__(
        self, settings: SoakSettings, directory: Path, make_node: NodeMaker | None = None
    ) -> None:
        self.settings = settings
        self._make = make_node
        self.ledger = Ledger()
        self.store = StandInStore()
        self.proxies: dict[str, TcpProxy] = {}
        """The way of each node to the store, by the node's name."""
        self.nodes: list[Node] = []
        self.keys = Keys()
        self.operator = Operator(self.store, self.ledger, self.keys, settings)
        chance = random.Random(f"replicas/{settings.seed}")
        self.replicas = Replicas(self.store, self.ledger, settings.zone_names, chance)
        self.clients: list[Client] = []
        self.not_ready: list[str] = []
        """Nodes that did not become ready after a new start."""
        self._directory = directory
        self._tasks: list[asyncio.Task[None]] = []
        self._running: list[asyncio.Task[None]] = []
        self._numbers = count(1)
        self._bursts = count(1)
        self._ingress: Ingress | None = None

    async def start(self) -> None:
        """Start store, replicas and nodes, and wait until the nodes are ready.

        Raises
        ------
        NotReadyError
            A node did not become ready.
        """
        store_port = await self.store.start()
        self.store.era = "1"
        await self._start_replicas()
        self.operator.publish()
        self.keys.update(self.operator.maker.tenants)
        self.nodes = [
            await self._make_node(number, store_port) for number in range(self.settings.nodes)
        ]
        for first in range(0, len(self.nodes), START_BATCH):
            batch = self.nodes[first : first + START_BATCH]
            await asyncio.gather(*(node.start() for node in batch))
            await asyncio.gather(*(self.wait_ready(node) for node in batch))

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node is ready.

        Raises
        ------
        NotReadyError
            It did not become ready.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_SECONDS
        while loop.time() < until:
            if await node.is_ready():
                return
            await asyncio.sleep(0.05)
        raise NotReadyError(node.name)

    def start_clients(self) -> None:
        """Begin the traffic."""
        settings = self.settings
        loop = asyncio.get_running_loop()
        self.ledger.began_at = loop.time()
        self._ingress = Ingress(self.nodes)
        self._ingress.start()
        self.clients = [self._make_client(f"client-{n}") for n in range(settings.clients)]
        self._running = [loop.create_task(client.run()) for client in self.clients]
        self._tasks.append(loop.create_task(self._watch_lag()))

    async def burst(self, kind: Kind, clients: int, pause_seconds: float, seconds: float) -> None:
        """Let further clients send requests of one kind for a while."""
        extra = [
            self._make_client(f"burst-{next(self._bursts)}", (kind,), pause_seconds)
            for _ in range(clients)
        ]
        running = [asyncio.create_task(client.run()) for client in extra]
        await asyncio.sleep(seconds)
        for client in extra:
            client.end()
        await asyncio.gather(*running)

    def _make_client(
        self, name: str, kinds: tuple[Kind, ...] = (), pause_seconds: float | None = None
    ) -> Client:
        assert self._ingress is not None
        settings = self.settings
        zones = settings.zone_names
        profile = Profile(
            name,
            zones[zlib.crc32(name.encode()) % len(zones)],
            kinds or tuple(Kind),
            pause_seconds or settings.pause_seconds,
        )
        return Client(profile, settings, self._ingress, self.ledger, self.keys, self._numbers)

    async def finish_clients(self) -> None:
        """Let the clients end their last requests."""
        for client in self.clients:
            client.end()
        await asyncio.gather(*self._running)
        self.ledger.ended_at = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """End everything that was started."""
        for task in (*self._tasks, *self._running):
            task.cancel()
        if self._ingress is not None:
            self._ingress.close()
        for node in self.nodes:
            await end_node(node)
        self.replicas.close()
        for proxy in self.proxies.values():
            proxy.close()
        await self.store.close()

    async def _start_replicas(self) -> None:
        settings = self.settings
        for service in shard_names(settings):
            for _ in range(settings.copies):
                await self.replicas.start(service)
        for kind in (Kind.FETCH, Kind.EDIT):
            copies = settings.intake_replicas if kind is Kind.EDIT else settings.single_replicas
            for service in SERVICES[kind]:
                for _ in range(copies):
                    await self.replicas.start(service)

    async def _make_node(self, number: int, store_port: int) -> Node:
        if self._make is not None:
            return self._make(self, number)
        zones = self.settings.zone_names
        zone = zones[number % len(zones)]
        name = f"node-{number}"
        host = loopback_host(number)
        proxy = TcpProxy("127.0.0.1", store_port)
        port = await proxy.start("127.0.0.1")
        self.proxies[name] = proxy
        return NodeProcess(
            name, zone, zones, host, f"127.0.0.1:{port}", self._directory, self.settings.bounds
        )

    async def _watch_lag(self) -> None:
        """Note when this process is late, since the times that it notes are then not exact."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LAG_CHECK_SECONDS
            await asyncio.sleep(LAG_CHECK_SECONDS)
            lag_seconds = loop.time() - due_at
            if lag_seconds >= LAG_SECONDS:
                self.ledger.spans.append(
                    Span(SpanKind.LAG, "", due_at, loop.time(), f"{lag_seconds:.3f} s")
                )


async def end_node(node: Node) -> None:
    """End a node by force and wait until it has ended."""
    node.signal(signal.SIGCONT)
    node.signal(signal.SIGKILL)
    await node.wait_ended()
