"""A stand-in of the platform's metadata store: keys, watches and leases, as PROTOCOL.md says."""

import asyncio
import base64
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from .wire import ConnectionEndedError, Message, encode, read_message

PAGE_ITEMS = 500
HISTORY_EVENTS = 100_000


@dataclass
class Item:
    """A key's value with its revisions and its lease."""

    value: bytes
    revision: int
    made: int
    lease: int

    def document(self, key: str) -> dict[str, object]:
        """Return the item as the store's calls give it."""
        value = base64.b64encode(self.value).decode()
        return {
            "tlsKey": key,
            "value": value,
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        }


class Store:
    """Holds all keys in memory; linearizable, since it handles one call at a time."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.events: list[tuple[int, str, dict[str, object]]] = []
        self.leases: dict[int, float] = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._connections:
            writer.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        known = self.items.get(key)
        made = self.revision if known is None else known.made
        item = Item(value, self.revision, made, lease)
        self.items[key] = item
        self._note(key, item.document(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, {"tlsKey": key, "revision": self.revision, "gone": True})

    def _note(self, key: str, event: dict[str, object]) -> None:
        self.events.append((self.revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} Status", headers, body))
                await writer.drain()
        except (ConnectionEndedError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, object]]:
        self._expire()
        parts = urlsplit(request.target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if request.method == "GET":
            return await self._read(parts.path, query)
        document = json.loads(request.body) if request.body else {}
        return self._write(parts.path, document)

    async def _read(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        if path == "/-/kv-range":
            return 200, self._range(query.get("pathPrefix", ""), query.get("after", ""))
        if path == "/-/kv-watch":
            wait_seconds = int(query["waitMs"]) / 1000
            return 200, await self._watch(query["pathPrefix"], int(query["after"]), wait_seconds)
        item = self.items.get(query.get("tlsKey", ""))
        if path != "/-/kv-key" or item is None:
            return 404, {}
        return 200, item.document(query["tlsKey"]) | {"at": self.revision}

    def _range(self, prefix: str, after: str) -> dict[str, object]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key].document(key) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, prefix: str, after: int, wait_seconds: float) -> dict[str, object]:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        while True:
            events = [
                event
                for revision, key, event in self.events
                if revision > after and key.startswith(prefix)
            ]
            if events or loop.time() >= until:
                return {"events": events, "at": max(self.revision, after)}
            try:
                await asyncio.wait_for(self._changed.wait(), until - loop.time())
            except TimeoutError:
                continue

    def _write(self, path: str, document: dict) -> tuple[int, dict[str, object]]:
        now = asyncio.get_running_loop().time()
        if path == "/-/kv-txn":
            return self._transact(document)
        if path == "/-/kv-lease":
            self._next_lease += 1
            seconds = min(max(document["ttl_ms"], 1000), 600_000) / 1000
            self.leases[self._next_lease] = now + seconds
            self._ttl = {**getattr(self, "_ttl", {}), self._next_lease: seconds}
            return 200, {"lease": self._next_lease, "ttl_ms": int(seconds * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if "kv-keep" in path:
            self.leases[lease] = now + self._ttl[lease]
            return 200, {"ttl_ms": int(self._ttl[lease] * 1000)}
        self.leases[lease] = 0.0
        self._expire()
        return 200, {}

    def _transact(self, document: dict) -> tuple[int, dict[str, object]]:
        expected = document["expectedRevision"]
        for row in expected:
            item = self.items.get(row["tlsKey"])
            if (0 if item is None else item.revision) != row["revision"]:
                known = [row["tlsKey"] for row in expected if row["tlsKey"] in self.items]
                return 412, {"items": [self.items[key].document(key) for key in known]}
        if any(put["lease"] and put["lease"] not in self.leases for put in document["put"]):
            return 404, {}
        for put in document["put"]:
            self.put(put["tlsKey"], base64.b64decode(put["value"]), put["lease"])
        for key in document["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in [lease for lease, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item.lease == lease]:
                self.remove(key)
