"""A whole tier on loopback: store, back ends, and real ``wingquay serve`` nodes as processes."""

import asyncio
import base64
import contextlib
import hashlib
import random
import re
import sys
import tempfile
from pathlib import Path
from types import TracebackType

import orjson

from benchmarks.support.processes import ChildProcess
from benchmarks.support.workload import DEPLOYMENT, ZONE, Address, make_configuration
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_messages import HttpResponse
from wingquay.configuration.keys import CURRENT_KEY
from wingquay.model.configuration import Configuration
from wingquay.simulation.models.store_model import StoreSettings
from wingquay.standins.store import StoreStandin

LOOPBACK = "127.0.0.1"
READY_PATH = "/health/ready"
READY_SECONDS = 30.0
READY_INTERVAL_SECONDS = 0.1
CLUSTER_KEY = "bench-cluster-key-of-at-least-32-characters"
OPERATOR_TOKEN_SHA256 = hashlib.sha256(b"bench-operator").hexdigest()
BACKEND_PROCESSES = 2
HEALTH_INTERVAL_SECONDS = 600.0
"""So long that health pages are read once: one node owns here what hundreds share otherwise."""

SHOWN_CHARACTERS = 2_000
START_SECONDS = 20.0
START_INTERVAL_SECONDS = 0.05
STARTED = re.compile(r"event=node_started .*callers=(\S+) .*peers=(\S+)")
"""The log line by which a node says which ports it was given."""

SETTINGS = """\
[node]
name = "{name}"
deployment = "{deployment}"
zone = "{zone}"
[caller_interface]
host = "127.0.0.1"
port = 0
[operator_interface]
host = "127.0.0.1"
port = 0
[[operator_interface.operators]]
name = "bench"
token_sha256 = "{operator_token}"
[peers]
host = "127.0.0.1"
port = 0
cluster_key = "{cluster_key}"
seeds = {seeds}
[store]
endpoints = ["127.0.0.1:{store_port}"]
[routing]
health_interval_seconds = {health_interval_seconds}
[log]
level = "info"
"""


class Tier:
    """Nodes, back ends and a store; ``async with`` starts and ends them.

    Parameters
    ----------
    node_count
        Nodes, each a process.
    configuration
        What is confirmed when the nodes start.
    profile_directory
        Where each node leaves ``node-<index>.json``, a profile that begins with SIGUSR1; ``None``:
        not profiled.
    """

    def __init__(
        self,
        node_count: int,
        configuration: Configuration,
        profile_directory: Path | None = None,
    ) -> None:
        self._node_count = node_count
        self._configuration = configuration
        self._profile_directory = profile_directory
        self._store = StoreStandin(StoreSettings(), random.Random(1))
        self._stack = contextlib.AsyncExitStack()
        self._client = HttpClient()
        self.nodes: list[ChildProcess] = []
        self.caller_addresses: list[str] = []
        self._peer_addresses: list[str] = []
        self._logs: list[Path] = []

    async def __aenter__(self) -> "Tier":
        """Start everything and wait until every node is ready."""
        directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._stack.push_async_callback(self._client.close)
        self._stack.push_async_callback(self._store.close)
        try:
            await self._start(directory)
        except BaseException:
            for log in self._logs:
                print(log.read_text(encoding="utf-8")[-SHOWN_CHARACTERS:], file=sys.stderr)
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End everything."""
        await self._stack.aclose()

    async def _start(self, directory: Path) -> None:
        store_port = await self._store.start(LOOPBACK, 0)
        await self._put(store_port, self._configuration)
        for index in range(self._node_count):
            await self._start_node(index, store_port, directory)
        async with asyncio.timeout(READY_SECONDS):
            for address in self.caller_addresses:
                await self._wait_until_ready(address)

    async def _put(self, store_port: int, configuration: Configuration) -> None:
        value = orjson.dumps(configuration.model_dump(mode="json"))
        document = {
            "key": base64.b64encode(CURRENT_KEY.encode()).decode(),
            "value": base64.b64encode(value).decode(),
        }
        body = orjson.dumps(document)
        response = await self._client.request(LOOPBACK, store_port, "POST", "/v3/kv/put", {}, body)
        assert isinstance(response, HttpResponse) and response.status == 200, response

    async def _start_node(self, index: int, store_port: int, directory: Path) -> None:
        settings = directory / f"node-{index}.toml"
        settings.write_text(self._settings(index, store_port), encoding="utf-8")
        module, options = "wingquay.cli", ["serve", "--settings", str(settings)]
        if self._profile_directory is not None:
            options = [str(self._profile_directory / f"node-{index}.json"), *options]
            module = "benchmarks.support.sampled_node"
        log = directory / f"node-{index}.log"
        self._logs.append(log)
        node = await ChildProcess.start(module, options, log)
        self._stack.push_async_callback(node.stop)
        self.nodes.append(node)
        caller_address, peer_address = await _wait_until_started(node, log)
        self.caller_addresses.append(caller_address)
        self._peer_addresses.append(peer_address)

    def _settings(self, index: int, store_port: int) -> str:
        return SETTINGS.format(
            name=f"bench-{index}",
            deployment=DEPLOYMENT,
            zone=ZONE,
            operator_token=OPERATOR_TOKEN_SHA256,
            cluster_key=CLUSTER_KEY,
            seeds=orjson.dumps(self._peer_addresses).decode(),
            store_port=store_port,
            health_interval_seconds=HEALTH_INTERVAL_SECONDS,
        )

    async def _wait_until_ready(self, address: str) -> None:
        host, _, port = address.partition(":")
        while True:
            response = await self._client.request(host, int(port), "GET", READY_PATH)
            if isinstance(response, HttpResponse) and response.status == 200:
                return
            await asyncio.sleep(READY_INTERVAL_SECONDS)


async def _wait_until_started(node: ChildProcess, log: Path) -> tuple[str, str]:
    """Return where a node serves callers and peers, as its log says."""
    async with asyncio.timeout(START_SECONDS):
        while not node.has_ended:
            said = STARTED.search(log.read_text(encoding="utf-8"))
            if said is not None:
                return said[1], said[2]
            await asyncio.sleep(START_INTERVAL_SECONDS)
    raise RuntimeError(f"a node ended at its start: {log.read_text(encoding='utf-8')}")


class BackendProcesses:
    """Bare back ends, one a shard, shared out over a few processes."""

    def __init__(self, shards: int, rows: int) -> None:
        self._shards = shards
        self._rows = rows
        self._processes: list[ChildProcess] = []

    async def start(self) -> list[Address]:
        """Start the processes and return the addresses, shard by shard."""
        addresses: list[Address] = []
        for number in range(BACKEND_PROCESSES):
            first = self._shards * number // BACKEND_PROCESSES
            beyond = self._shards * (number + 1) // BACKEND_PROCESSES
            arguments = {
                "first_shard": first,
                "count": beyond - first,
                "shards": self._shards,
                "rows": self._rows,
            }
            flags = [f"--{name}={value}" for name, value in arguments.items()]
            process = await ChildProcess.start("benchmarks.support.bare_backends", flags)
            self._processes.append(process)
            addresses += [(LOOPBACK, port) for port in orjson.loads(await process.line())]
        return addresses

    async def stop(self) -> None:
        """End the processes."""
        for process in self._processes:
            await process.stop()


def configuration_at(addresses: list[Address]) -> Configuration:
    """Return the configuration of one replica a shard at ``addresses``."""
    return make_configuration(len(addresses), 1, addresses)
