"""The back-end side of the batching trial: one exchange carries many sub-requests.

Not part of the product and not a wire format that wingquay speaks. The body of a request is a
JSON list of sub-requests, that of the answer the list of their results, in the same order.
Prints its port and serves until SIGTERM.
"""

import asyncio
import signal
from typing import Any, cast

import fire
import h11
import orjson

from benchmarks.support.bare_backends import END_OF_MESSAGE, LOOPBACK, REPORT_HEADERS
from benchmarks.support.workload import SNAPSHOT, make_rows

HEADER_BYTES = 16_384


class BatchBackend(asyncio.Protocol):
    """A connection whose every request is a batch; each sub-request gets the same rows."""

    def __init__(self, rows: int) -> None:
        self._rows = [(row.key, row.value) for row in make_rows(0, rows)]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_BYTES)
        self._pieces: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        """Answer when the request is whole."""
        http = self._http
        http.receive_data(data)
        while True:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                return
            if type(event) is h11.Data:
                self._pieces.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                self._respond(self._results(b"".join(self._pieces)))
                self._pieces.clear()
                http.start_next_cycle()
                return
            elif type(event) is h11.ConnectionClosed:
                self._transport.close()
                return

    def _results(self, body: bytes) -> bytes:
        results = [
            {
                "attempt": entry["attempt"],
                "snapshot": SNAPSHOT,
                "covered": entry["key_ranges"],
                "rows": self._rows,
            }
            for entry in orjson.loads(body)
        ]
        return orjson.dumps(results)

    def _respond(self, body: bytes) -> None:
        headers = [*REPORT_HEADERS, (b"content-length", b"%d" % len(body))]
        http = self._http
        head = http.send(h11.Response(status_code=200, headers=headers)) or b""
        data = http.send(h11.Data(data=body)) or b""
        http.send(END_OF_MESSAGE)
        self._transport.write(head + data)


async def _serve(rows: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    server = await loop.create_server(lambda: BatchBackend(rows), LOOPBACK, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await stopped.wait()


def main(rows: int) -> None:
    """Serve answers of ``rows`` rows."""
    asyncio.run(_serve(rows))


if __name__ == "__main__":
    fire.Fire(main)
