"""A small deployment on loopback: store, replicas, nodes as processes, links that can be cut.

Store and replicas are the project's own stand-ins, run here in one process. Nodes are processes
started with the ``run`` line and the settings template of the deploy file. Each node reaches the
store through a proxy of its own; its links to clients, replicas and other nodes are direct.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Coroutine, Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from wingquay.model.replica_record import ReplicaRecord  # noqa: E402
from wingquay.platform.standins.documents import replica_value  # noqa: E402
from wingquay.platform.standins.replica import StandInReplica  # noqa: E402
from wingquay.platform.standins.replica_behaviour import ReplicaBehaviour  # noqa: E402
from wingquay.platform.standins.replica_record import Arrival  # noqa: E402
from wingquay.platform.standins.store import StandInStore  # noqa: E402

LOOPBACK = "127.0.0.1"
NODE_PREFIX = "wingquay/nodes/"
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
READ_BYTES = 65_536
READY_SECONDS = 20.0
LISTED_SECONDS = 10.0
LONGEST_SECONDS = 100.0

Address = tuple[str, int]
Fields = Mapping[str, object]


class CannotRunError(Exception):
    """The case could not be set up."""


def run_case(main: Coroutine[Any, Any, int]) -> int:
    """Run a case and return its exit code; 2 if it failed, took too long or got a SIGTERM."""

    async def run() -> int:
        task = asyncio.ensure_future(main)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        loop.call_later(LONGEST_SECONDS, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2
        except Exception:
            # Python's own exit code of an error, 1, would say that the rule was broken.
            traceback.print_exc()
            return 2

    return asyncio.run(run())


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """Return a port that is free now; hosts that nothing else uses keep it free."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Proxy:
    """Passes bytes to one address; while cut, it resets what is open and all that is new."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.port = 0
        self.is_cut = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Reset all connections, and refuse new ones until ``heal``."""
        self.is_cut = True
        for writer in list(self._writers):
            _reset(writer)

    def heal(self) -> None:
        """Pass connections on again."""
        self.is_cut = False

    def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        self.cut()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            _reset(writer)
            return
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            other_reader, other = await asyncio.open_connection(*self.target)
            self._writers.add(other)
            ways = [
                asyncio.ensure_future(_pass_on(reader, other)),
                asyncio.ensure_future(_pass_on(other_reader, writer)),
            ]
            _, pending = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in pending:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    each.transport.abort()
                    self._writers.discard(each)


async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(READ_BYTES):
        writer.write(data)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Node:
    """A node as the deploy file runs it."""

    def __init__(self, lab: "Lab", name: str, zone: str, store_port: int) -> None:
        self.name = name
        self.zone = zone
        self.host = f"127.0.7.{11 + len(lab.nodes)}"
        self.port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self._ports = [free_port(self.host), free_port(self.host)]
        self._lab = lab
        self._store_port = store_port
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]
        text = (ROOT / role["node"]["template"]).read_text(encoding="utf-8")
        settings_path = self._lab.directory / f"{self.name}.toml"
        settings_path.write_text(fill_template(text, self._fields()), encoding="utf-8")
        variables = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        variables["WINGQUAY_BOOT"] = str(settings_path)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._lab.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["node"]["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End by force."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready_port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} isn't ready after {READY_SECONDS} s")

    def _fields(self) -> dict[str, object]:
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "zones": dict.fromkeys(self._lab.zones, "region"),
            "ip": self.host,
            "listenAddrs": {
                "front": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "internalPortRange": self._ports,
            "seeds": [],
            "limits": {"cpuShare": 0.537, "cores": 2},
            "platform": {"address": f"{LOOPBACK}:{self._store_port}"},
            "bounds": self._lab.bounds,
        }


class Lab:
    """Everything that a case starts; nothing else is ever signalled."""

    def __init__(self, zones: tuple[str, ...], bounds: Mapping[str, object]) -> None:
        self.zones = zones
        self.bounds = dict(bounds)
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = StandInStore()
        self.nodes: dict[str, Node] = {}
        self.arrivals: list[Arrival] = []
        self.replicas: list[StandInReplica] = []
        self.ways_to_store: dict[str, Proxy] = {}
        """The way of each node to the store, by the name of the node."""
        self._store_port = 0
        self._beats: list[asyncio.Task[None]] = []
        self.began_at = time.monotonic()

    async def start(self) -> None:
        """Start the store."""
        self._store_port = await self.store.start()

    async def add_replica(self, service: str, zone: str, slots: int) -> None:
        """Start a replica and write its entry, again and again as replicas do."""
        number = len(self.replicas)
        record = ReplicaRecord(f"i-{number:08x}", service, LOOPBACK, 1, zone, slots, False, 0.0)
        replica = StandInReplica(
            record, ReplicaBehaviour(random.Random(number)), self.arrivals.append, 1000
        )
        port = await replica.start()
        record = ReplicaRecord(f"i-{number:08x}", service, LOOPBACK, port, zone, slots, False, 0.0)
        replica.record = record
        self.replicas.append(replica)
        self._beats.append(asyncio.ensure_future(self._beat(record)))
        await asyncio.sleep(0)

    async def _beat(self, record: ReplicaRecord) -> None:
        sequence = 0
        while True:
            sequence += 1
            self.store.put(f"servers/{record.replica_id}", replica_value(record, sequence))
            await asyncio.sleep(1.2)

    async def add_node(self, name: str, zone: str) -> Node:
        """Start a node; it may take a while until it is ready."""
        way = self.ways_to_store[name] = Proxy((LOOPBACK, self._store_port))
        await way.start()
        node = self.nodes[name] = Node(self, name, zone, way.port)
        await node.start()
        return node

    def node_keys(self) -> set[str]:
        """Return the names of the nodes whose keys are in the store."""
        keys = self.store.contents.items
        return {key.removeprefix(NODE_PREFIX) for key in keys if key.startswith(NODE_PREFIX)}

    async def wait_listed(self, names: set[str]) -> None:
        """Wait until the keys of nodes are in the store."""
        until = time.monotonic() + LISTED_SECONDS
        while not names <= self.node_keys():
            if time.monotonic() > until:
                raise CannotRunError(f"keys are missing: {sorted(names - self.node_keys())}")
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """End all that was started."""
        for node in self.nodes.values():
            await node.end()
        for beat in self._beats:
            beat.cancel()
        for replica in self.replicas:
            replica.end()
        for way in self.ways_to_store.values():
            way.close()
        await self.store.close()


_SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
_GAP = re.compile(r"{{([\w.@,]+)(\|json)?}}")


def fill_template(text: str, fields: Fields) -> str:
    """Return a settings template with its gaps filled, as far as the project's one uses them."""
    text = _SECTION.sub(lambda match: _section(match, fields), text)
    return _GAP.sub(lambda match: _gap(match, fields), text)


def _section(match: re.Match[str], fields: Fields) -> str:
    found = _look_up(fields, match[2])
    if match[1] == "^":
        return "" if found else match[3]
    if not isinstance(found, Mapping):
        return match[3] if found else ""
    entries = [match[3].replace("{{@}}", str(name)) for name in found]
    last = len(entries) - 1
    return "".join(
        entry.replace("{{,}}", "" if position == last else ",")
        for position, entry in enumerate(entries)
    )


def _gap(match: re.Match[str], fields: Fields) -> str:
    found = _look_up(fields, match[1])
    if match[2]:
        return json.dumps(found)
    if isinstance(found, bool):
        return str(found).lower()
    if isinstance(found, list):
        return ",".join(str(item) for item in found)
    return "" if found is None else str(found)


def _look_up(fields: Fields, name: str) -> Any:
    found: Any = fields
    for part in name.split("."):
        if isinstance(found, Mapping):
            found = found.get(part)
        elif isinstance(found, list) and part.isdigit():
            found = found[int(part)]
        else:
            return None
    return found
