"""Many back ends in one process, each the least that speaks wingquay's wire format through h11.

``python -m benchmarks.support.bare_backends --first_shard 0 --shards 25 --rows 4`` prints the
ports as a JSON list, one a shard, and serves until SIGTERM. Answers are ready beforehand, so
that the back ends' own cost stays small beside the node's.
"""

import asyncio
import signal
from dataclasses import dataclass
from typing import Any, cast

import fire
import h11
import orjson

from benchmarks.support.workload import SNAPSHOT, make_rows, shard_bounds
from wingquay.adapters.http_messages import RawHeaders

LOOPBACK = "127.0.0.1"
ATTEMPT_HEADER = b"wingquay-attempt"
SNAPSHOT_HEADER = b"wingquay-snapshot"
REPORT_HEADERS: RawHeaders = [
    (b"content-type", b"application/json"),
    (b"endpoint-load-metrics", b'JSON {"application_utilization":0.41}'),
    (b"wingquay-versions", b"%d-%d" % (SNAPSHOT, SNAPSHOT)),
]
NOT_HELD_BODY = orjson.dumps({"type": "snapshot-not-held", "not_run": True})
HEALTH_BODY = orjson.dumps(
    {"state": "serving", "oldest": SNAPSHOT, "newest": SNAPSHOT, "utilization": 0.41}
)
END_OF_MESSAGE = h11.EndOfMessage()


@dataclass(frozen=True, slots=True)
class BareReply:
    """A status and a body that is ready."""

    status: int
    body: bytes


class BareBackend(asyncio.Protocol):
    """One connection to a back end whose answer is always the same."""

    def __init__(self, answer: bytes) -> None:
        self._answer = BareReply(200, answer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)
        self._http = h11.Connection(h11.SERVER)
        self._headers: dict[bytes, bytes] = {}
        self._target = b""

    def data_received(self, data: bytes) -> None:
        """Answer when the request is whole."""
        http = self._http
        http.receive_data(data)
        while True:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                return
            if type(event) is h11.Request:
                self._headers, self._target = dict(event.headers), event.target
            elif type(event) is h11.EndOfMessage:
                self._respond(self._reply())
                http.start_next_cycle()
                return
            elif type(event) is h11.ConnectionClosed:
                self._transport.close()
                return

    def _reply(self) -> BareReply:
        if self._target == b"/health":
            return BareReply(200, HEALTH_BODY)
        if self._headers.get(SNAPSHOT_HEADER) != b"%d" % SNAPSHOT:
            return BareReply(409, NOT_HELD_BODY)
        return self._answer

    def _respond(self, reply: BareReply) -> None:
        headers = [*REPORT_HEADERS, (b"content-length", b"%d" % len(reply.body))]
        attempt_id = self._headers.get(ATTEMPT_HEADER)
        if attempt_id is not None:
            headers.append((ATTEMPT_HEADER, attempt_id))
        http = self._http
        head = http.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        body = http.send(h11.Data(data=reply.body)) or b""
        http.send(END_OF_MESSAGE)
        self._transport.write(head + body)


def answer_body(shard_index: int, shards: int, rows: int) -> bytes:
    """Return the answer of a shard to a request for all keys."""
    return orjson.dumps(
        {
            "snapshot": SNAPSHOT,
            "covered": [shard_bounds(shard_index, shards)],
            "rows": [(row.key, row.value) for row in make_rows(shard_index, rows)],
        }
    )


async def start_backend(answer: bytes) -> int:
    """Serve one back end on loopback and return its port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: BareBackend(answer), LOOPBACK, 0)
    port: int = server.sockets[0].getsockname()[1]
    return port


async def _serve(first_shard: int, count: int, shards: int, rows: int) -> None:
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    ports = [
        await start_backend(answer_body(index, shards, rows))
        for index in range(first_shard, first_shard + count)
    ]
    print(orjson.dumps(ports).decode(), flush=True)
    await stopped.wait()


def main(first_shard: int, count: int, shards: int, rows: int) -> None:
    """Serve ``count`` of ``shards`` shards, with ``rows`` rows each."""
    asyncio.run(_serve(first_shard, count, shards, rows))


if __name__ == "__main__":
    fire.Fire(main)
