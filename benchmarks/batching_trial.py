"""A trial, not the product: what a sub-request costs when many to one replica share an exchange.

A scratch client and a scratch back end (``support/batch_backend.py``) exchange batches of k
sub-requests. The client does what the product's adapter does for each: writes it, checks the
answer's form, matches it by attempt id, builds the answer that the decision code takes. The fit
``exchange / k + item`` tells what batching can save. Baselines of the same run: the bare h11
exchange (client and server) and the product's adapter with one sub-request an exchange.
"""

import asyncio
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import starmap

import fire
import orjson
from pydantic import StrictInt, StrictStr, TypeAdapter
from typing_extensions import TypedDict

from benchmarks.http_exchange import BareServer, bare_exchanges, client_exchanges
from benchmarks.support.accounting import processor_seconds
from benchmarks.support.bare_backends import LOOPBACK
from benchmarks.support.processes import ChildProcess
from benchmarks.support.workload import KIND, SERVICE, SNAPSHOT, shard_bounds
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_messages import HttpResponse
from wingquay.model.answer import Row
from wingquay.model.identifiers import AttemptId, SnapshotVersion
from wingquay.model.key_range import KeyRange
from wingquay.ports.backend import BackendAnswer

BATCH_SIZES = (1, 8, 64, 512)
ROW_COUNTS = (4, 16)
SUB_REQUESTS_A_REPEAT = 4_096
BARE_EXCHANGES = 1_000
CONCURRENCY = 4
KEY_RANGES = (KeyRange(*shard_bounds(1, 3)),)
HEADERS = {"content-type": "application/json", "wingquay-snapshot": str(SNAPSHOT)}
MICROSECONDS = 1e6


class _Result(TypedDict):
    attempt: StrictStr
    snapshot: StrictInt | None
    covered: list[tuple[StrictStr, StrictStr | None]]
    rows: list[tuple[StrictStr, StrictStr]]


_RESULTS = TypeAdapter(list[_Result])


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one sub-request: processor microseconds on each side and bytes of body, both ways."""

    client_us: float
    server_us: float
    body_bytes: float


def _request_body(attempt_ids: Sequence[str]) -> bytes:
    return orjson.dumps(
        [
            {
                "attempt": attempt_id,
                "service": SERVICE,
                "shard": f"{SERVICE}-1",
                "kind": KIND,
                "deadline_ms": 140,
                "key_ranges": [(entry.start, entry.end) for entry in KEY_RANGES],
                "body": "",
            }
            for attempt_id in attempt_ids
        ]
    )


def _read_results(body: bytes) -> dict[AttemptId, BackendAnswer]:
    answers: dict[AttemptId, BackendAnswer] = {}
    for result in _RESULTS.validate_json(body):
        snapshot = result["snapshot"]
        answers[AttemptId(result["attempt"])] = BackendAnswer(
            snapshot=None if snapshot is None else SnapshotVersion(snapshot),
            covered=tuple(starmap(KeyRange, result["covered"])),
            rows=tuple(starmap(Row, result["rows"])),
        )
    return answers


class TrialClient:
    """Sends batches, a few at a time."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._client = HttpClient()
        self._started = 0
        self.body_bytes = 0

    async def run(self, batch_size: int, batches: int) -> None:
        """Send so many batches of so many sub-requests."""
        remaining = iter(range(batches))

        async def sender() -> None:
            for _ in remaining:
                await self._exchange(batch_size)

        await asyncio.gather(*(sender() for _ in range(CONCURRENCY)))

    async def _exchange(self, batch_size: int) -> None:
        attempt_ids = [f"node-1a2b3c4d.{self._started + index}" for index in range(batch_size)]
        self._started += batch_size
        body = _request_body(attempt_ids)
        response = await self._client.request(
            LOOPBACK, self._port, "POST", "/search-batch", HEADERS, body
        )
        assert isinstance(response, HttpResponse) and response.status == 200, response
        answers = _read_results(response.whole_body)
        assert list(answers) == attempt_ids
        self.body_bytes += len(body) + len(response.whole_body)

    async def close(self) -> None:
        """End every connection."""
        await self._client.close()


async def _sample(client: TrialClient, server_id: int, batch_size: int, items: int) -> Cost:
    batches = max(1, items // batch_size)
    client.body_bytes = 0
    server_began, began = processor_seconds(server_id), time.process_time()
    await client.run(batch_size, batches)
    client_seconds = time.process_time() - began
    server_seconds = processor_seconds(server_id) - server_began
    count = batches * batch_size
    scale = MICROSECONDS / count
    return Cost(client_seconds * scale, server_seconds * scale, client.body_bytes / count)


async def _baselines() -> tuple[float, float]:
    """Return microseconds of a bare exchange and of the adapter's, each with a bare server."""
    server = await asyncio.get_running_loop().create_server(BareServer, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    spent: list[float] = []
    for exchanges in (bare_exchanges, client_exchanges):
        began = time.process_time()
        await exchanges(port, BARE_EXCHANGES)
        spent.append((time.process_time() - began) * MICROSECONDS / BARE_EXCHANGES)
    server.close()
    return spent[0], spent[1]


async def measure(
    rows: int, items: int, repeats: int
) -> tuple[dict[int, Cost], tuple[float, float]]:
    """Return the cost by batch size, and the baselines; medians of interleaved repeats."""
    server = await ChildProcess.start("benchmarks.support.batch_backend", [f"--rows={rows}"])
    samples: dict[int, list[Cost]] = {size: [] for size in BATCH_SIZES}
    baselines: list[tuple[float, float]] = []
    try:
        client = TrialClient(int(await server.line()))
        await client.run(BATCH_SIZES[0], CONCURRENCY)
        for _ in range(repeats):
            baselines.append(await _baselines())
            for size, costs in samples.items():
                costs.append(await _sample(client, server.process_id, size, items))
        await client.close()
    finally:
        await server.stop()
    bare, adapter = zip(*baselines, strict=True)
    return (
        {size: _median(costs) for size, costs in samples.items()},
        (statistics.median(bare), statistics.median(adapter)),
    )


def _median(costs: Sequence[Cost]) -> Cost:
    return Cost(
        client_us=statistics.median(cost.client_us for cost in costs),
        server_us=statistics.median(cost.server_us for cost in costs),
        body_bytes=statistics.median(cost.body_bytes for cost in costs),
    )


def _print(rows: int, costs: dict[int, Cost], baselines: tuple[float, float]) -> None:
    bare, adapter = baselines
    print(
        f"{rows} rows a result; bare exchange (both sides) {bare:.1f} us,"
        f" product's adapter with a bare server {adapter:.1f} us"
    )
    print("    k  client us  server us  of bare  body bytes each")
    for size, cost in costs.items():
        share = (cost.client_us + cost.server_us) / bare
        print(
            f"{size:5} {cost.client_us:10.2f} {cost.server_us:10.2f} {share:8.3f}"
            f" {cost.body_bytes:12.0f}"
        )
    inverse = [1.0 / size for size in costs]
    for side in ("client", "server"):
        values = [getattr(cost, f"{side}_us") for cost in costs.values()]
        exchange, item = statistics.linear_regression(inverse, values)
        print(
            f"{side}: {exchange:.1f} us / k + {item:.1f} us"
            f" = {exchange / bare:.2f} / k + {item / bare:.3f} of a bare exchange"
        )


def main(items: int = SUB_REQUESTS_A_REPEAT, repeats: int = 3) -> None:
    """Print what batching saves.

    Parameters
    ----------
    items
        Sub-requests in each repeat of each batch size.
    repeats
        Repeats, interleaved, of which the median counts.
    """
    print("trial: no product code speaks this format")
    for rows in ROW_COUNTS:
        costs, baselines = asyncio.run(measure(rows, items, repeats))
        _print(rows, costs, baselines)


if __name__ == "__main__":
    fire.Fire(main)
