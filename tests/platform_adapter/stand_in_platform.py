"""A platform on loopback: the store with leases and watches, and replicas, written for tests."""

import asyncio
import base64
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

import orjson

from tests.adapters.raw_http import LOOPBACK

Item = dict[str, object]


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


class StandInStore:
    """The calls of the platform's store that nodes make, in memory."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases: dict[int, int] = {}
        self.forgotten_revision = 0
        self.era: str | None = None
        """What all answers state as the era; ``None``: nothing."""
        self.eras: list[str | None] = []
        """What the next answers state instead."""
        self._copy: tuple[int, dict[str, Item]] | None = None
        """What stale reads show, if that is older than what is there."""
        self.page_items = 500
        self.page_events = 500
        self.statuses: list[int] = []
        """Statuses with which the next calls are refused."""
        self.refused_paths: set[str] = set()
        """Calls that are all refused."""
        self.calls: dict[str, int] = defaultdict(int)
        self.waits: list[str] = []
        """Milliseconds for which each watch allowed the store to wait."""
        self._changed = asyncio.Event()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return int(self._server.sockets[0].getsockname()[1])

    def put(self, key: str, value: object, lease: int = 0) -> None:
        self.revision += 1
        content = value if isinstance(value, bytes) else orjson.dumps(value)
        item: Item = {
            "tlsKey": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "made": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        self._wake()

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.history.append({"tlsKey": key, "revision": self.revision, "gone": True})
        self._wake()

    def keep_copy(self) -> None:
        """Let stale reads show what is there now from here on."""
        self._copy = (self.revision, dict(self.items))

    def restore(self, revision: int, items: dict[str, Item]) -> None:
        """Come back from an older copy in the next era: later changes and all leases are lost."""
        self.revision = revision
        self.items = dict(items)
        self.history = [item for item in self.history if int(str(item["revision"])) <= revision]
        self.leases.clear()
        self.era = str(int(self.era or 0) + 1)
        self._wake()

    def forget_history(self) -> None:
        self.forgotten_revision = self.revision
        self.history.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                method, target, _, body = await read_request(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            url = urlsplit(target)
            self.calls[url.path] += 1
            if self.statuses:
                status, document = self.statuses.pop(0), {}
            elif url.path in self.refused_paths:
                status, document = 503, {}
            else:
                query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
                status, document = await self._answer(method, url.path, query, body)
            content = orjson.dumps(document)
            era = self.eras.pop(0) if self.eras else self.era
            stated = "" if era is None else f"Store-Era: {era}\r\n"
            head = f"HTTP/1.1 {status} X\r\n{stated}Content-Length: {len(content)}\r\n\r\n"
            writer.write(head.encode() + content)

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        if path == "/-/kv-range":
            return 200, self._range(query)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-lease":
            lease = len(self.leases) + 1
            self.leases[lease] = orjson.loads(body)["ttl_ms"]
            return 200, {"lease": lease, "ttl_ms": self.leases[lease]}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            return (200, {"ttl_ms": self.leases[lease]}) if lease in self.leases else (404, {})
        if path == "/-/kv-txn":
            return self._transaction(orjson.loads(body))
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        after = query.get("after", "")
        prefix = query.get("pathPrefix", "")
        revision, items = self.revision, self.items
        if query.get("stale") == "1":
            self.calls["stale"] += 1
            revision, items = self._copy or (revision, items)
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = [items[key] for key in keys[: self.page_items]]
        return {"items": page, "more": len(keys) > len(page), "at": revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        after = int(query["after"])
        self.waits.append(query["waitMs"])
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if not self.forgotten_revision <= after <= self.revision:
                return 410, {}
            events = [item for item in self.history if int(str(item["revision"])) > after]
            left = deadline - asyncio.get_running_loop().time()
            if len(events) > self.page_events:
                page = events[: self.page_events]
                return 200, {"events": page, "at": page[-1]["revision"]}
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transaction(self, document: dict[str, list[dict[str, object]]]) -> tuple[int, Item]:
        for condition in document["expectedRevision"]:
            item = self.items.get(str(condition["tlsKey"]))
            if (item["revision"] if item else 0) != condition["revision"]:
                return 412, {"items": [item] if item else []}
        for entry in document["put"]:
            content = base64.b64decode(str(entry["value"]))
            self.put(str(entry["tlsKey"]), content, int(str(entry["lease"])))
        return 200, {"revision": self.revision}


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
