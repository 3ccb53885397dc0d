"""What a query costs a real node: processor time by fan-out, with one node and with two.

Each ``wingquay serve`` node, the back ends and the callers are processes of their own on
loopback. A node's processor time is what the system accounts to its process. The bare h11
exchange is measured while the nodes are under load: client alone (against one of the back ends)
and client and server together. One replica a shard and slots without end: hedges
and queues are left out, the cost of the work is what is seen.
"""

import asyncio
import signal
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import fire
import orjson

from benchmarks.http_exchange import bare_exchanges
from benchmarks.support.accounting import processor_seconds, resident_bytes
from benchmarks.support.bare_exchange import measure_bare_exchange
from benchmarks.support.processes import ChildProcess
from benchmarks.support.profile_report import report_lines
from benchmarks.support.tier import BackendProcesses, Tier, configuration_at

ROWS = 4
BARE_EXCHANGES = 300
"""In each of many short measurements of the baseline, whose median counts."""

SUB_REQUESTS_IN_FLIGHT = 400
"""Concurrent callers of a node times fan-out, at least one caller."""

MOST_CALLERS = 32
OPEN_LOOP_SHARE = 0.5
"""Rate of the open loop as a share of what the closed loop reached."""

FEWEST_OPEN_LOOP_REQUESTS = 4
WARM_UP_SECONDS = 1.0
MICROSECONDS = 1e6
MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class Run:
    """What one run of callers brought and what it cost the nodes."""

    queries: int
    others: int
    sub_requests: int
    """Those sent again to another owner included."""
    attempts: int
    queries_per_second: float
    p50_ms: float
    p99_ms: float
    node_seconds: float
    node_share: float
    """Processor time a second of the busiest node."""


@dataclass(frozen=True, slots=True)
class Variant:
    """A number of nodes and a fan-out, measured."""

    node_count: int
    fan_out: int
    closed: Run
    open: Run
    resident_mb: float
    bare_client_us: float
    bare_both_us: float

    @property
    def query_us(self) -> float:
        """Processor time of all nodes for one query."""
        return self.closed.node_seconds * MICROSECONDS / self.closed.queries

    @property
    def sub_request_us(self) -> float:
        """The same, for each sub-request."""
        return self.query_us / self.fan_out

    @property
    def exchanges(self) -> float:
        """Exchanges with back ends for each sub-request that the queries needed."""
        return self.closed.attempts / (self.closed.queries * self.fan_out)


class BareMeter:
    """Measures bare h11 exchanges while the nodes are under load, so that both share the machine.

    Parameters
    ----------
    backend_port
        Of a back end in another process, for the client's side alone.
    """

    def __init__(self, backend_port: int) -> None:
        self._backend_port = backend_port
        self._client: list[float] = []
        self._both: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._client.append(await _bare_client_us(self._backend_port))
            self._both.append(await measure_bare_exchange(BARE_EXCHANGES))

    @property
    def client_us(self) -> float:
        """Processor time of the client for one exchange."""
        return statistics.median(self._client)

    @property
    def both_us(self) -> float:
        """Processor time of client and server for one exchange."""
        return statistics.median(self._both)


async def _bare_client_us(port: int) -> float:
    began = time.process_time()
    await bare_exchanges(port, BARE_EXCHANGES)
    return (time.process_time() - began) * MICROSECONDS / BARE_EXCHANGES


async def _run_callers(tier: Tier, flags: dict[str, float]) -> Run:
    """Run the callers' process; account only for what follows its warm-up."""
    arguments = ["--targets", "+".join(tier.caller_addresses)]
    arguments += [f"--{name}={value}" for name, value in flags.items()]
    callers = await ChildProcess.start("benchmarks.support.callers", arguments)
    try:
        assert await callers.line() == "begin"
        before = [processor_seconds(node.process_id) for node in tier.nodes]
        document = orjson.loads(await callers.line())
        after = [processor_seconds(node.process_id) for node in tier.nodes]
    finally:
        await callers.stop()
    used = [end - start for start, end in zip(before, after, strict=True)]
    return Run(
        queries=document["complete"],
        others=document["others"],
        sub_requests=document["sub_requests"],
        attempts=document["attempts"],
        queries_per_second=document["complete"] / document["seconds"],
        p50_ms=document["p50_ms"],
        p99_ms=document["p99_ms"],
        node_seconds=sum(used),
        node_share=max(used) / document["seconds"],
    )


@dataclass(frozen=True, slots=True)
class Load:
    """What the callers ask: rows each shard answers, length of a run, sub-requests in flight."""

    rows: int
    seconds: float
    in_flight: int


async def measure(
    node_count: int, fan_out: int, load: Load, profile_directory: Path | None = None
) -> Variant:
    """Measure one variant."""
    backends = BackendProcesses(fan_out, load.rows)
    concurrency = max(1, min(MOST_CALLERS, load.in_flight // fan_out)) * node_count
    seconds = load.seconds
    try:
        addresses = await backends.start()
        meter = BareMeter(addresses[0][1])
        async with Tier(node_count, configuration_at(addresses), profile_directory) as tier:
            flags = {"concurrency": concurrency, "warm_up": WARM_UP_SECONDS, "seconds": seconds}
            if profile_directory is not None:
                await _run_callers(tier, {**flags, "seconds": WARM_UP_SECONDS})
                for node in tier.nodes:
                    node.send(signal.SIGUSR1)
            metering = asyncio.create_task(meter.run())
            closed = await _run_callers(tier, flags)
            metering.cancel()
            flags["rate"] = closed.queries_per_second * OPEN_LOOP_SHARE
            flags["seconds"] = max(seconds, FEWEST_OPEN_LOOP_REQUESTS / flags["rate"])
            open_run = await _run_callers(tier, flags)
            resident = max(resident_bytes(node.process_id) for node in tier.nodes)
    finally:
        await backends.stop()
    return Variant(
        node_count=node_count,
        fan_out=fan_out,
        closed=closed,
        open=open_run,
        resident_mb=resident / MEGABYTE,
        bare_client_us=meter.client_us,
        bare_both_us=meter.both_us,
    )


async def _measure_all(
    node_counts: Sequence[int], fan_outs: Sequence[int], load: Load
) -> list[Variant]:
    return [
        await measure(node_count, fan_out, load)
        for node_count in node_counts
        for fan_out in fan_outs
    ]


def _print_table(variants: list[Variant]) -> None:
    print(
        "nodes fan-out |  q/s  node share |  us/query  us/sub-request  exchanges  of bare client"
        "  of bare both | half load p50, p99 ms (n) | RSS MB | not complete"
    )
    for entry in variants:
        print(
            f"{entry.node_count:5} {entry.fan_out:7} |"
            f" {entry.closed.queries_per_second:6.1f} {entry.closed.node_share:9.2f}  |"
            f" {entry.query_us:9.0f} {entry.sub_request_us:15.1f} {entry.exchanges:10.2f}"
            f" {entry.sub_request_us / entry.bare_client_us:15.2f}"
            f" {entry.sub_request_us / entry.bare_both_us:13.2f} |"
            f" {entry.open.p50_ms:9.1f} {entry.open.p99_ms:9.1f} ({entry.open.queries:3}) |"
            f" {entry.resident_mb:6.0f} | {entry.closed.others + entry.open.others}"
        )
    for node_count in sorted({entry.node_count for entry in variants}):
        chosen = [entry for entry in variants if entry.node_count == node_count]
        if len(chosen) > 1:
            _print_slope(node_count, chosen)


def _print_slope(node_count: int, variants: list[Variant]) -> None:
    fan_outs = [float(entry.fan_out) for entry in variants]
    costs = [entry.query_us for entry in variants]
    slope, intercept = statistics.linear_regression(fan_outs, costs)
    bare = statistics.median(entry.bare_both_us for entry in variants)
    client = statistics.median(entry.bare_client_us for entry in variants)
    print(
        f"{node_count} node(s): {intercept:.0f} us a query + {slope:.1f} us a sub-request"
        f" = {slope / client:.2f} bare clients ({client:.1f} us)"
        f" = {slope / bare:.2f} bare exchanges ({bare:.1f} us)"
    )


def main(
    nodes: str = "1,2",
    fan_outs: str = "8,50,200,750",
    rows: int = ROWS,
    seconds: float = 2.0,
    in_flight: int = SUB_REQUESTS_IN_FLIGHT,
    json: bool = False,
    profile: bool = False,
) -> None:
    """Print what a query costs a node.

    Parameters
    ----------
    nodes, fan_outs
        Variants, with commas between them.
    rows
        Rows that each shard answers.
    seconds
        Length of each run of callers.
    in_flight
        Sub-requests that a node's callers keep in flight; one caller is the least.
    json
        Print one JSON object a line instead of tables.
    profile
        Measure the first variant only and show where the nodes' processor time goes.
    """
    load = Load(rows, seconds, in_flight)
    if profile:
        _profile(_numbers(nodes)[0], _numbers(fan_outs)[0], load)
        return
    variants = asyncio.run(_measure_all(_numbers(nodes), _numbers(fan_outs), load))
    if json:
        for variant in variants:
            print(orjson.dumps(variant).decode())
        return
    _print_table(variants)


def _profile(node_count: int, fan_out: int, load: Load) -> None:
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        variant = asyncio.run(measure(node_count, fan_out, load, directory))
        _print_table([variant])
        for index in range(node_count):
            print(f"node {index}:")
            print("\n".join(report_lines(directory / f"node-{index}.json")))


def _numbers(text: str | int | tuple[int, ...]) -> list[int]:
    """Return what fire made of numbers with commas between them."""
    if isinstance(text, tuple):
        return list(text)
    return [int(part) for part in str(text).split(",")]


if __name__ == "__main__":
    fire.Fire(main)
