"""Callers in a process of their own: closed loop (so many at a time) or open loop (a set rate).

Prints ``begin`` when the warm-up is over and a JSON object at the end. In the open loop the
latency counts from the moment at which a request was due, whether or not it could leave then, so
that a slow node cannot hide its delay (no coordinated omission).
"""

import asyncio
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import fire
import orjson

from benchmarks.support.workload import CALLER_TOKEN, DEADLINE_SECONDS, KIND, SERVICE
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.settings import Endpoint, parse_endpoint
from wingquay.model.failure import Failure

QUERY_PATH = "/v1/query"
CONNECTION_LIMIT = 1_000
WORK = re.compile(rb'"sub_requests":(\d+),"attempts":(\d+)')
TAIL_BYTES = 200
COMPLETE = b'"outcome":"complete"'
HEADERS = {"authorization": f"Bearer {CALLER_TOKEN}", "content-type": "application/json"}
BODY = orjson.dumps({"service": SERVICE, "kind": KIND, "key_ranges": [{}]})
MILLISECONDS_PER_SECOND = 1_000


@dataclass(slots=True)
class Tally:
    """What came back since the warm-up ended."""

    complete: int = 0
    others: int = 0
    sub_requests: int = 0
    attempts: int = 0
    latencies_seconds: list[float] = field(default_factory=list)

    def count_work(self, tail: bytes) -> None:
        """Take in how many sub-requests and exchanges an answer cost, from the end of its body."""
        said = WORK.search(tail)
        if said is not None:
            self.sub_requests += int(said[1])
            self.attempts += int(said[2])

    def quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile of complete answers; 0 without any."""
        ordered = sorted(self.latencies_seconds)
        if not ordered:
            return 0.0
        index = min(len(ordered) - 1, int(quantile * len(ordered)))
        return ordered[index] * MILLISECONDS_PER_SECOND


class Callers:
    """Asks nodes in turn."""

    def __init__(self, targets: Sequence[Endpoint]) -> None:
        self._targets = targets
        self._client = HttpClient(connection_limit=CONNECTION_LIMIT)
        self._sent = 0
        self.tally = Tally()

    async def ask(self, due_at: float) -> None:
        """Send one request; its latency counts from ``due_at``."""
        target = self._targets[self._sent % len(self._targets)]
        self._sent += 1
        tally = self.tally
        response = await self._client.request(
            target.host, target.port, "POST", QUERY_PATH, HEADERS, BODY, DEADLINE_SECONDS
        )
        if isinstance(response, Failure) or COMPLETE not in response.whole_body:
            tally.others += 1
            return
        tally.complete += 1
        tally.count_work(response.whole_body[-TAIL_BYTES:])
        tally.latencies_seconds.append(time.perf_counter() - due_at)

    async def closed_loop(self, concurrency: int, seconds: float) -> None:
        """Keep ``concurrency`` requests in flight for ``seconds``."""
        ends_at = time.perf_counter() + seconds

        async def caller() -> None:
            while (now := time.perf_counter()) < ends_at:
                await self.ask(now)

        await asyncio.gather(*(caller() for _ in range(concurrency)))

    async def open_loop(self, rate: float, seconds: float) -> None:
        """Send ``rate`` requests a second, evenly, for ``seconds``; wait for all of them."""
        began = time.perf_counter()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(rate * seconds)):
                due_at = began + number / rate
                await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
                tasks.create_task(self.ask(due_at))

    async def close(self) -> None:
        """End every connection."""
        await self._client.close()


async def _run(
    targets: Sequence[Endpoint], concurrency: int, rate: float, warm_up: float, seconds: float
) -> None:
    callers = Callers(targets)
    await callers.closed_loop(concurrency, warm_up)
    callers.tally = Tally()
    print("begin", flush=True)
    began = time.perf_counter()
    if rate > 0:
        await callers.open_loop(rate, seconds)
    else:
        await callers.closed_loop(concurrency, seconds)
    elapsed = time.perf_counter() - began
    tally = callers.tally
    document = {
        "complete": tally.complete,
        "others": tally.others,
        "sub_requests": tally.sub_requests,
        "attempts": tally.attempts,
        "seconds": elapsed,
        "p50_ms": tally.quantile_ms(0.5),
        "p99_ms": tally.quantile_ms(0.99),
    }
    print(orjson.dumps(document).decode(), flush=True)
    await callers.close()


def main(
    targets: str, concurrency: int = 4, rate: float = 0.0, warm_up: float = 1.0, seconds: float = 3
) -> None:
    """Ask the nodes at ``targets`` (addresses with a + between them)."""
    endpoints = [parse_endpoint(target) for target in targets.split("+")]
    asyncio.run(_run(endpoints, concurrency, rate, warm_up, seconds))


if __name__ == "__main__":
    fire.Fire(main)
