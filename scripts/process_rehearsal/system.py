"""A small deployment of real processes: a store, replicas and three nodes in three zones."""

import hashlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from process_rehearsal.processes import LOOPBACK, Process, free_port
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.settings import Endpoint
from wingquay.demo.operator import DemoOperator, intents_for
from wingquay.model.configuration import Configuration
from wingquay.model.failure import Failure
from wingquay.simulation.deployment_profile import (
    ClassProfile,
    DeploymentProfile,
    KindProfile,
    ServiceProfile,
)

CALLER_TOKEN = "rehearsal-caller-token"
OPERATOR_TOKEN = "rehearsal-operator-token"
CLUSTER_KEY = "rehearsal-cluster-key-of-at-least-32-characters"

READ_SERVICE = "lookup"
WRITE_SERVICE = "intake"

PROFILE = DeploymentProfile(
    name="rehearsal",
    zones=("zone-a", "zone-b", "zone-c"),
    classes=(
        ClassProfile(name="urgent", price=100, promise_seconds=0.5),
        ClassProfile(name="standard", price=10, promise_seconds=2.0),
    ),
    services=(
        ServiceProfile(
            name=READ_SERVICE,
            shards=4,
            replicas_per_shard=2,
            slots=5,
            connection_limit=70,
            service_seconds=0.005,
            kinds=(
                KindProfile(name="sweep", class_name="standard"),
                KindProfile(name="ping", class_name="urgent", whole_range=False),
            ),
        ),
        ServiceProfile(
            name=WRITE_SERVICE,
            shards=1,
            replicas_per_shard=3,
            slots=3,
            connection_limit=110,
            service_seconds=0.01,
            kinds=(KindProfile(name="edit", class_name="standard", repeatable=False),),
        ),
    ),
)


@dataclass(slots=True)
class Replica:
    """A replica and the process that plays it."""

    replica_id: str
    service: str
    process: Process


class ProcessSystem:
    """Everything that runs.

    Parameters
    ----------
    directory
        For settings files and logs.
    nodes_per_zone
        Nodes in each of the three zones.
    """

    def __init__(self, directory: Path, nodes_per_zone: int) -> None:
        self._directory = directory
        self._starts = 0
        self._store_port = free_port()
        self.node_count = nodes_per_zone * len(PROFILE.zones)
        self._node_ports = [(free_port(), free_port(), free_port()) for _ in range(self.node_count)]
        self._http = HttpClient()
        self.replicas: list[Replica] = []
        self.nodes: list[Process] = []
        self.processes: list[Process] = []
        """Every process ever started."""
        self.configuration = Configuration()

    async def start(self) -> None:
        """Start everything and set it up by plan and confirm."""
        self.store = await self._run(
            "store", self._store_port, ["standin", "store", "--listen", self._at(self._store_port)]
        )
        await self._start_replicas()
        for index in range(self.node_count):
            self.nodes.append(await self.start_node(index))
        await self._set_up()

    async def close(self) -> None:
        """End every process that was started."""
        await self._http.close()
        for process in self.processes:
            await process.end()

    def caller_endpoint(self, index: int) -> Endpoint:
        """Return where node ``index`` serves callers."""
        return Endpoint(LOOPBACK, self._node_ports[index][0])

    async def start_node(self, index: int) -> Process:
        """Start a process for node ``index``; each start has its own node id."""
        callers, operators, peers = self._node_ports[index]
        path = self._directory / f"node-{index}.toml"
        seeds = ", ".join(f'"{self._at(ports[2])}"' for ports in self._node_ports)
        operator_hash = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        path.write_text(
            f"""
[node]
name = "node-{index}"
deployment = "{PROFILE.name}"
zone = "{PROFILE.zones[index % len(PROFILE.zones)]}"
[caller_interface]
host = "{LOOPBACK}"
port = {callers}
[operator_interface]
host = "{LOOPBACK}"
port = {operators}
[[operator_interface.operators]]
name = "rehearsal"
token_sha256 = "{operator_hash}"
[peers]
host = "{LOOPBACK}"
port = {peers}
cluster_key = "{CLUSTER_KEY}"
seeds = [{seeds}]
[store]
endpoints = ["{self._at(self._store_port)}"]
""",
            encoding="utf-8",
        )
        return await self._run(f"node-{index}", callers, ["serve", "--settings", str(path)])

    async def restart_replica(self, replica: Replica) -> None:
        """Start a replica again at its address."""
        old = replica.process
        replica.process = await self._run(old.name, old.port, old.arguments)

    async def replica_ledger(self, replica: Replica) -> dict[str, Any]:
        """Return what a replica ran, by attempt and by request body."""
        return await self._admin(replica, "GET", "ledger", {})

    async def administer(self, replica: Replica, command: str, fields: dict[str, Any]) -> None:
        """Send an admin command to a replica."""
        await self._admin(replica, "POST", command, fields)

    async def _admin(
        self, replica: Replica, method: str, command: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        port = replica.process.port
        response = await self._http.request(
            LOOPBACK, port, method, f"/admin/{command}", {}, orjson.dumps(fields)
        )
        if isinstance(response, Failure):
            raise OSError(response.reason)
        document: dict[str, Any] = orjson.loads(response.whole_body)
        return document

    async def _run(self, name: str, port: int, arguments: list[str]) -> Process:
        self._starts += 1
        log_path = self._directory / f"{self._starts:03d}-{name}.log"
        process = Process(name, arguments, port, log_path)
        self.processes.append(process)
        await process.start()
        return process

    async def _start_replicas(self) -> None:
        services = []
        for service in PROFILE.configuration.services:
            shards = []
            for shard in service.shards:
                replicas = []
                for replica in shard.replicas:
                    port = free_port()
                    arguments = ["standin", "backend", "--listen", self._at(port)]
                    arguments += ["--service", service.name, "--shard", shard.shard_id]
                    arguments += ["--replica", replica.replica_id, "--start", shard.start]
                    arguments += ["--end", shard.end] if shard.end is not None else []
                    arguments += ["--slots", str(replica.slots), "--keys", str(PROFILE.keys)]
                    process = await self._run(replica.replica_id, port, arguments)
                    self.replicas.append(Replica(replica.replica_id, service.name, process))
                    replicas.append(replica.model_copy(update={"host": LOOPBACK, "port": port}))
                shards.append(shard.model_copy(update={"replicas": tuple(replicas)}))
            services.append(service.model_copy(update={"shards": tuple(shards)}))
        caller = PROFILE.configuration.callers[0].model_copy(
            update={"token_sha256": hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()}
        )
        self.configuration = PROFILE.configuration.model_copy(
            update={"services": tuple(services), "callers": (caller,)}
        )

    async def _set_up(self) -> None:
        addresses = [Endpoint(LOOPBACK, ports[1]) for ports in self._node_ports]
        operator = DemoOperator(addresses, OPERATOR_TOKEN)
        plan = await operator.propose(intents_for(self.configuration))
        await operator.confirm(plan["plan_id"])
        await operator.close()

    def _at(self, port: int) -> str:
        return f"{LOOPBACK}:{port}"
