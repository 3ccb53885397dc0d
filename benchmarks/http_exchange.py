"""What one back-end exchange costs: our client and server beside bare h11, within one run.

``python -m benchmarks.http_exchange`` prints exchanges a core-second (processor time of both
sides, which share one loop) and the ratio to bare h11. Repeats are interleaved, so that a slow
moment of the machine falls on all variants alike; the median repeat counts.
"""

import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any, cast

import fire
import h11
import orjson

from wingquay.adapters.backend_client import BackendClient
from wingquay.adapters.http_messages import HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer
from wingquay.model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from wingquay.model.key_range import KeyRange
from wingquay.ports.backend import AttemptFinished, BackendAnswer, StartAttempt
from wingquay.ports.machine import Event

LOOPBACK = "127.0.0.1"
CONCURRENCY = 16
ROWS = 4
RECEIVED_HEADERS = {
    "content-type": "application/json",
    "endpoint-load-metrics": 'JSON {"application_utilization":0.41}',
    "wingquay-versions": "101-103",
}
BODY = orjson.dumps(
    {
        "snapshot": 102,
        "covered": [["village-0100", "village-0200"]],
        "rows": [[f"village-01{number:02}", "tower 17; link up"] for number in range(ROWS)],
    }
)
SENT_BODY = orjson.dumps(
    {
        "service": "coverage-lookup",
        "shard": "coverage-lookup-3",
        "kind": "tower-sweep",
        "key_ranges": [["village-0100", "village-0200"]],
        "body": "",
    }
)
END_OF_MESSAGE = h11.EndOfMessage()

Exchanges = Callable[[int, int], Awaitable[None]]
"""Runs so many exchanges against a server on a port."""


class BareServer(asyncio.Protocol):
    """The least that answers a request through h11."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)
        self._http = h11.Connection(h11.SERVER)

    def data_received(self, data: bytes) -> None:
        """Answer when the request is whole."""
        http = self._http
        http.receive_data(data)
        attempt_id = b""
        while True:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                return
            if type(event) is h11.Request:
                attempt_id = dict(event.headers)[b"wingquay-attempt"]
            elif type(event) is h11.EndOfMessage:
                break
        headers = [(b"wingquay-attempt", attempt_id)]
        headers += [(name.encode(), value.encode()) for name, value in RECEIVED_HEADERS.items()]
        headers.append((b"content-length", b"%d" % len(BODY)))
        head = http.send(h11.Response(status_code=200, headers=headers)) or b""
        body = http.send(h11.Data(data=BODY)) or b""
        http.send(END_OF_MESSAGE)
        self._transport.write(head + body)
        http.start_next_cycle()


class BareClient(asyncio.Protocol):
    """The least that makes exchanges one after another through h11."""

    def __init__(self, numbers: list[int], done: asyncio.Future[None]) -> None:
        self._numbers = numbers
        self._done = done

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)
        self._http = h11.Connection(h11.CLIENT)
        self._send()

    def data_received(self, data: bytes) -> None:
        """Go on with the next exchange when the response is whole."""
        http = self._http
        http.receive_data(data)
        while True:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                return
            if type(event) is h11.EndOfMessage:
                break
        http.start_next_cycle()
        self._send()

    def _send(self) -> None:
        if not self._numbers:
            self._transport.close()
            if not self._done.done():
                self._done.set_result(None)
            return
        headers = [
            (b"host", b"127.0.0.1:7001"),
            (b"wingquay-attempt", b"attempt-%d" % self._numbers.pop()),
            (b"wingquay-deadline-ms", b"1500"),
            (b"content-type", b"application/json"),
            (b"wingquay-snapshot", b"102"),
            (b"content-length", b"%d" % len(SENT_BODY)),
        ]
        http = self._http
        head = http.send(h11.Request(method=b"POST", target=b"/search", headers=headers)) or b""
        body = http.send(h11.Data(data=SENT_BODY)) or b""
        http.send(END_OF_MESSAGE)
        self._transport.write(head + body)


async def bare_exchanges(port: int, count: int) -> None:
    """Run exchanges with the bare client."""
    loop = asyncio.get_running_loop()
    numbers = list(range(count))
    done = [loop.create_future() for _ in range(CONCURRENCY)]
    for future in done:
        await loop.create_connection(lambda f=future: BareClient(numbers, f), LOOPBACK, port)  # type: ignore[misc]
    await asyncio.gather(*done)


async def client_exchanges(port: int, count: int) -> None:
    """Run exchanges with the adapter towards back ends."""
    done = asyncio.get_running_loop().create_future()
    remaining = count
    started = 0

    def finished(event: Event) -> None:
        nonlocal remaining
        assert isinstance(event, AttemptFinished)
        assert isinstance(event.result, BackendAnswer), event.result
        remaining -= 1
        if remaining == 0:
            done.set_result(None)
        elif started < count:
            start()

    def start() -> None:
        nonlocal started
        client.perform(attempts[started])
        started += 1

    client = BackendClient(finished)
    attempts = [_attempt(f"attempt-{number}", port) for number in range(count)]
    for _ in range(CONCURRENCY):
        start()
    await done
    await client.close()


def _attempt(name: str, port: int) -> StartAttempt:
    return StartAttempt(
        attempt_id=AttemptId(name),
        replica_id=ReplicaId("coverage-lookup-3-a"),
        host=LOOPBACK,
        port=port,
        connection_limit=CONCURRENCY,
        service=ServiceName("coverage-lookup"),
        shard_id=ShardId("coverage-lookup-3"),
        kind=RequestKindName("tower-sweep"),
        key_ranges=(KeyRange("village-0100", "village-0200"),),
        snapshot=SnapshotVersion(102),
        remaining_seconds=1.5,
        repeatable=True,
    )


async def answer(request: HttpRequest) -> HttpResponse:
    """Answer as the bare server does."""
    headers = {"wingquay-attempt": request.headers["wingquay-attempt"], **RECEIVED_HEADERS}
    return HttpResponse(200, headers, BODY)


async def _core_seconds(exchanges: Exchanges, port: int, count: int) -> float:
    began = time.process_time()
    await exchanges(port, count)
    return time.process_time() - began


async def _measure(count: int, repeats: int) -> dict[str, float]:
    """Return exchanges a core-second by variant: the median of the repeats."""
    loop = asyncio.get_running_loop()
    bare_server = await loop.create_server(BareServer, LOOPBACK, 0)
    bare_port = bare_server.sockets[0].getsockname()[1]
    server = HttpServer(answer)
    port = await server.start(LOOPBACK, 0)
    variants: dict[str, tuple[Exchanges, int]] = {
        "bare client, bare server": (bare_exchanges, bare_port),
        "our client, bare server": (client_exchanges, bare_port),
        "bare client, our server": (bare_exchanges, port),
        "our client, our server": (client_exchanges, port),
    }
    rates: dict[str, list[float]] = {name: [] for name in variants}
    for _ in range(repeats):
        for name, (exchanges, variant_port) in variants.items():
            rates[name].append(count / await _core_seconds(exchanges, variant_port, count))
    bare_server.close()
    await server.close()
    return {name: statistics.median(values) for name, values in rates.items()}


def main(count: int = 5_000, repeats: int = 5, json: bool = False) -> None:
    """Print what exchanges cost.

    Parameters
    ----------
    count
        Exchanges in each repeat of each variant.
    repeats
        Repeats, of which the median counts.
    json
        Print one JSON object instead of a table.
    """
    rates = asyncio.run(_measure(count, repeats))
    if json:
        print(orjson.dumps(rates).decode())
        return
    bare = rates["bare client, bare server"]
    print(f"{count} exchanges x {repeats} repeats, {CONCURRENCY} connections, one loop")
    for name, rate in rates.items():
        microseconds = 1e6 / rate
        print(
            f"{name:26} {rate:8.0f} a core-second {microseconds:6.0f} us {rate / bare:6.2f} of bare"
        )


if __name__ == "__main__":
    fire.Fire(main)
