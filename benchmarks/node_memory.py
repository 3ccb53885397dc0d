"""Resident memory of a real node, by the number of replicas in its configuration.

Each size runs a ``wingquay serve`` process of its own that reads the configuration from the store
stand-in. Shards have two replicas each, at loopback addresses that refuse connections; the node
owns them all, as a node alone does. The baseline is a bare Python interpreter with an event loop
in the same run.
"""

import asyncio
import statistics
from collections.abc import Sequence

import fire
import orjson

from benchmarks.support.accounting import processor_seconds, resident_bytes
from benchmarks.support.processes import ChildProcess
from benchmarks.support.tier import Tier
from benchmarks.support.workload import Address, make_configuration

REPLICA_COUNTS = (56, 400, 2_800)
REPLICAS_PER_SHARD = 2
CLOSED_PORT = 1
SETTLING_SECONDS = 3.0
MEGABYTE = 1e6
KILOBYTE = 1e3


def _closed_addresses(count: int) -> list[Address]:
    """Return distinct loopback addresses where nothing listens."""
    return [(f"127.1.{index // 250}.{index % 250 + 1}", CLOSED_PORT) for index in range(count)]


async def _bare_interpreter_mb() -> float:
    process = await ChildProcess.start("benchmarks.support.bare_interpreter", [])
    try:
        await process.line()
        return resident_bytes(process.process_id) / MEGABYTE
    finally:
        await process.stop()


async def _node(replicas: int) -> tuple[float, float, int]:
    """Return resident MB, processor time of the start (seconds) and bytes of the document."""
    shards = replicas // REPLICAS_PER_SHARD
    addresses = _closed_addresses(replicas)
    configuration = make_configuration(shards, REPLICAS_PER_SHARD, addresses)
    document_bytes = len(orjson.dumps(configuration.model_dump(mode="json")))
    async with Tier(1, configuration) as tier:
        await asyncio.sleep(SETTLING_SECONDS)
        process_id = tier.nodes[0].process_id
        return (
            resident_bytes(process_id) / MEGABYTE,
            processor_seconds(process_id),
            document_bytes,
        )


async def _measure(counts: Sequence[int]) -> None:
    bare_mb = await _bare_interpreter_mb()
    print(f"bare interpreter with an event loop: {bare_mb:.1f} MB")
    print("replicas  resident MB  of bare  document KB  processor s since the start")
    resident: list[float] = []
    for count in counts:
        megabytes, seconds, document_bytes = await _node(count)
        resident.append(megabytes)
        print(
            f"{count:8} {megabytes:12.1f} {megabytes / bare_mb:8.2f}"
            f" {document_bytes / KILOBYTE:12.0f} {seconds:10.2f}"
        )
    slope, intercept = statistics.linear_regression([float(count) for count in counts], resident)
    print(f"{intercept:.1f} MB + {slope * MEGABYTE / KILOBYTE:.2f} KB a replica")


def main(replicas: tuple[int, ...] = REPLICA_COUNTS) -> None:
    """Print the resident memory for each number of ``replicas``."""
    asyncio.run(_measure(replicas))


if __name__ == "__main__":
    fire.Fire(main)
