"""Processor time of one request to many shards, on the node that asks all of them itself.

``python -m benchmarks.wide_request`` prints microseconds of processor time a shard, for the first
request after a start, which opens all connections, and for later ones. The replicas answer from a
process of their own over loopback sockets. ``--profile`` prints where the time of the later ones
goes, by function. The median of the repeats counts.
"""

import asyncio
import cProfile
import pstats
import random
import statistics
import subprocess
import sys
import time
from typing import cast

import fire

from wingquay.adapters.replica_client import ReplicaClient
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.forwarding_machine import ForwardingMachine
from wingquay.forwarding.knowledge.presence import NodeCount
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.replica_record import ReplicaRecord
from wingquay.model.routing_table import CallerLimits, Route, RoutingTable, UpstreamService
from wingquay.platform.replica_dialect import PlatformReplicaDialect
from wingquay.ports.forwarding import (
    CancelSend,
    ForwardRequested,
    OpaqueRequest,
    ReplyFailure,
    ReplyMerged,
    SendToReplica,
)
from wingquay.ports.machine import Count, Event, Log, Observe
from wingquay.runtime import NodeRuntime

LOOPBACK = "127.0.0.1"
HOST = "search.example"
RECORDS = 60
RECORD_BYTES = 16
COPIES = 2
OBJECTIVE_SECONDS = 5.0
"""Long enough for nothing to be hedged or cut off."""
PROFILE_ROWS = 40
MICROSECONDS = 1e6
READY = b"listening on "


class BareReplica(asyncio.Protocol):
    """Answers each request with its id, a signature, a load and records."""

    body = bytes(range(RECORD_BYTES)) * RECORDS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)
        self._buffer = b""

    def data_received(self, data: bytes) -> None:
        """Answer every whole request."""
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            lines = dict(line.partition(b": ")[::2] for line in head.split(b"\r\n")[1:])
            request_id, replica = lines[b"Request-Id"], lines[b"Expected-Instance"]
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + b"\r\nServer-Stamp: "
                b"3e1b.07.5a2.600." + replica + b"\r\nServer-Load: 1,0,2,100\r\n"
                b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body
            )


async def _serve_replicas() -> None:
    server = await asyncio.get_running_loop().create_server(BareReplica, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    print(f"{READY.decode()}{port}", flush=True)
    await server.serve_forever()


class AskingNode:
    """The decisions and the replica client of a node, without callers and store."""

    def __init__(self, shards: int, port: int) -> None:
        names = tuple(f"shard{number}" for number in range(shards))
        settings = ForwardingSettings(zone="a")
        source = random.Random(1)
        directory = ReplicaDirectory(settings, source)
        now = asyncio.get_running_loop().time()
        for name in names:
            for copy in range(COPIES):
                record = ReplicaRecord(f"i-{name}-{copy}", name, LOOPBACK, port, "a", 2)
                directory.put(record, now)
        route = Route(
            name="sweep",
            host=HOST,
            path_prefix="/all/",
            shards=names,
            is_repeatable=True,
            max_attempts=2,
            timeout_seconds=2 * OBJECTIVE_SECONDS,
            objective_seconds=OBJECTIVE_SECONDS,
            merged_records=50,
            min_share=0.95,
        )
        services = {name: UpstreamService(name, 60) for name in names}
        machine = ForwardingMachine(settings, directory, NodeCount(settings), source)
        machine.set_table(RoutingTable(1, (route,), services, CallerLimits()))
        self.runtime = NodeRuntime(machine, asyncio.get_running_loop())
        self.client = ReplicaClient(PlatformReplicaDialect(), self._emit, _ignore)
        self._replies: dict[int, asyncio.Future[ReplyMerged | ReplyFailure]] = {}
        for kind in (Log, Count, Observe):
            self.runtime.register(kind, _ignore)
        self.runtime.register(SendToReplica, self.client.send)
        self.runtime.register(CancelSend, self.client.cancel)
        self.runtime.register(ReplyMerged, self._reply)
        self.runtime.register(ReplyFailure, self._reply)

    def _emit(self, event: Event) -> None:
        self.runtime.emit(event)

    def _reply(self, reply: ReplyMerged | ReplyFailure) -> None:
        self._replies[reply.exchange_id].set_result(reply)

    async def ask(self, number: int) -> ReplyMerged | ReplyFailure:
        """Send one wide request and wait for its answer."""
        headers = (
            (b"Host", HOST.encode()),
            (b"Request-Id", b"9c41d07be2a3%04x" % number),
            (b"Accept", b"*/*"),
        )
        request = OpaqueRequest(b"GET", b"/all/2f", headers)
        future = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        self._emit(ForwardRequested(number, headers[1][1].decode(), HOST, "/all/2f", request, 60.0))
        reply: ReplyMerged | ReplyFailure = await future
        assert isinstance(reply, ReplyMerged), reply
        return reply


def _ignore(_action: object) -> None:
    pass


async def _measure(shards: int, requests: int, port: int, profile: bool) -> tuple[float, float]:
    """Return the processor seconds of the first request and of each later one."""
    node = AskingNode(shards, port)
    begun = time.process_time()
    await node.ask(1)
    first = time.process_time() - begun
    for number in range(2, 6):
        await node.ask(number)
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    begun = time.process_time()
    for number in range(6, 6 + requests):
        reply = await node.ask(number)
        assert len(reply.signatures) == shards
    later = (time.process_time() - begun) / requests
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_ROWS)
    node.client.close()
    node.runtime.close()
    return first, later


def main(shards: int = 90, requests: int = 30, repeats: int = 5, profile: bool = False) -> None:
    """Print the processor time a shard.

    Parameters
    ----------
    shards
        Shards of the request.
    requests
        Later requests of each repeat.
    repeats
        Repeats, of which the median counts.
    profile
        Print where the time of the later requests goes.
    """
    command = [sys.executable, "-m", "benchmarks.wide_request", "--serve-replicas"]
    replicas = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert replicas.stdout is not None
        port = int(replicas.stdout.readline().removeprefix(READY))
        runs = [asyncio.run(_measure(shards, requests, port, profile)) for _ in range(repeats)]
    finally:
        replicas.terminate()
        replicas.wait()
    for name, seconds in zip(("first request", "later ones"), zip(*runs, strict=True), strict=True):
        median = statistics.median(seconds) / shards * MICROSECONDS
        print(f"{name}: {median:.0f} us a shard ({shards} shards, median of {repeats})")


if __name__ == "__main__":
    if "--serve-replicas" in sys.argv:
        asyncio.run(_serve_replicas())
    else:
        fire.Fire(main)
