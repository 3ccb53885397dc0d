"""Replicas of a platform on loopback, written for tests; its store is the product's stand-in."""

import asyncio

from tests.adapters.raw_http import LOOPBACK
from wingquay.platform.standins.store import StandInStore


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Return method, target, headers (lower case) and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {
        name.lower(): text.strip() for name, _, text in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


class StandInReplica:
    """Answers every request with its own id and the body that it is given."""

    def __init__(self, replica_id: str, service: str, body: bytes) -> None:
        self.replica_id = replica_id
        self.service = service
        self.body = body
        self.answers_after_seconds = 0.0
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []

    async def start(self, store: StandInStore) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{port}",
            "zone": "z",
            "capacity": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
        }
        store.put(f"servers/{self.replica_id}", self.entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                request = await read_request(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.requests.append(request)
            await asyncio.sleep(self.answers_after_seconds)
            request_id = request[2]["request-id"]
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nX-Own: yes\r\n"
                f"Server-Stamp: {self.replica_id}.{request_id}\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n"
            )
            writer.write(head.encode() + self.body)
