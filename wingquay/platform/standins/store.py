"""A stand-in of the platform's store: the calls that nodes make, in memory, with its troubles.

Its answers are linearizable, because it handles one call at a time.
"""

import asyncio
import base64
import contextlib
from collections import Counter
from collections.abc import Mapping
from typing import Any

import orjson

from ...adapters.http_messages import ConnectionCutError, HttpRequest, HttpResponse
from ...adapters.http_server import HttpServer
from ..names import STORE_KEEP, STORE_LEASE, STORE_LEASE_END, STORE_RANGE, STORE_TRANSACTION
from .store_contents import Document, StoreContents, StoreCopy

STORE_KEY = "/-/kv-key"
STORE_WATCH_PATH = "/-/kv-watch"
ERA_HEADER = "Store-Era"
MILLISECONDS_PER_SECOND = 1000.0
STALE = "stale"
"""Under this name reads that may be old are counted besides their path."""
PAGE_ITEMS = 500
PAGE_EVENTS = 500
LEASE_CHECK_SECONDS = 0.1

Answer = tuple[int, Document]


class StandInStore:
    """Serves the store's calls over HTTP; its writers in the same process call it directly."""

    def __init__(self) -> None:
        self.contents = StoreContents()
        self.era: str | None = None
        """What all answers state as the era; ``None``: nothing."""
        self.eras: list[str | None] = []
        """What the next answers state instead."""
        self.statuses: list[int] = []
        """Statuses with which the next calls are refused."""
        self.refused_paths: set[str] = set()
        """Calls that are all refused."""
        self.delay_seconds = 0.0
        """Time that each answer takes."""
        self.is_silent = False
        """Whether calls get no answer at all."""
        self.loses_answers = False
        """Whether calls are carried out and their connections then cut."""
        self.shown_values: dict[str, object] = {}
        """What listings show as the values of these keys, in place of what is stored."""
        self.page_items = PAGE_ITEMS
        self.page_events = PAGE_EVENTS
        self.calls: Counter[str] = Counter()
        self.waits: list[str] = []
        """Milliseconds for which each watch allowed the store to wait."""
        self._copy: StoreCopy | None = None
        """What stale reads show, if that is older than what is there."""
        self._changed = asyncio.Event()
        self._server = HttpServer(self._serve)
        self._lease_checks: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen; return the port."""
        self._lease_checks = asyncio.get_running_loop().create_task(self._check_leases())
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._lease_checks is not None:
            self._lease_checks.cancel()
        await self._server.close()

    def put(self, key: str, value: object, lease_id: int = 0) -> int:
        """Write a key; return the revision. A value that is not bytes is written as JSON."""
        content = value if isinstance(value, bytes) else orjson.dumps(value)
        revision = self.contents.put(key, content, lease_id)
        self._wake()
        return revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        self.contents.remove(key)
        self._wake()

    def keep_copy(self) -> None:
        """Let stale reads show what is there now from here on."""
        self._copy = self.contents.copy()

    def forget_history(self) -> None:
        """Forget all changes so far; watches from before are told so."""
        self.contents.forget_history()
        self._wake()

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy in the next era."""
        self.contents.restore(copy)
        self.era = str(int(self.era or 0) + 1)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            if self.contents.end_leases_until(asyncio.get_running_loop().time()):
                self._wake()

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        self.calls[request.path] += 1
        await self._hold()
        status, document = await self._answer_or_refuse(request)
        if self.loses_answers:
            raise ConnectionCutError
        era = self.eras.pop(0) if self.eras else self.era
        headers = {} if era is None else {ERA_HEADER: era}
        return HttpResponse(status, headers, orjson.dumps(document))

    async def _hold(self) -> None:
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        while self.is_silent:
            await asyncio.sleep(LEASE_CHECK_SECONDS)

    async def _answer_or_refuse(self, request: HttpRequest) -> Answer:
        if self.statuses:
            return self.statuses.pop(0), {}
        if request.path in self.refused_paths:
            return 503, {}
        return await self._answer(request)

    async def _answer(self, request: HttpRequest) -> Answer:
        if request.method == "GET":
            return await self._read(request)
        now = asyncio.get_running_loop().time()
        document = orjson.loads(request.body) if request.body else {}
        if request.path == STORE_TRANSACTION:
            return self._transact(document)
        if request.path == STORE_LEASE:
            seconds = float(document["ttl_ms"]) / MILLISECONDS_PER_SECOND
            lease_id = self.contents.grant(seconds, now)
            return 200, {"lease": lease_id, "ttl_ms": document["ttl_ms"]}
        return self._change_lease(request, now)

    def _change_lease(self, request: HttpRequest, now: float) -> Answer:
        lease_id = int(request.path.rpartition("/")[2])
        if request.path.startswith(STORE_KEEP):
            seconds = self.contents.renew(lease_id, now)
            if seconds is not None:
                return 200, {"ttl_ms": round(seconds * MILLISECONDS_PER_SECOND)}
        elif request.path.startswith(STORE_LEASE_END) and lease_id in self.contents.leases:
            self.contents.end_lease(lease_id)
            self._wake()
            return 200, {}
        return 404, {}

    async def _read(self, request: HttpRequest) -> Answer:
        query = request.query
        if request.path == STORE_RANGE:
            return 200, self._range(query)
        if request.path == STORE_WATCH_PATH:
            self.waits.append(query["waitMs"])
            prefix, after = query["pathPrefix"], int(query["after"])
            return await self._watch(prefix, after, int(query["waitMs"]))
        item = self.contents.items.get(query.get("tlsKey", ""))
        if request.path != STORE_KEY or item is None:
            return 404, {}
        return 200, {**item.document(), "at": self.contents.revision}

    def _range(self, query: Mapping[str, str]) -> Document:
        contents = self.contents
        if query.get("stale") == "1":
            self.calls[STALE] += 1
            if self._copy is not None:
                contents = StoreContents()
                contents.restore(self._copy)
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        items, has_more = contents.page(prefix, after, self.page_items)
        for item in items:
            key = str(item["tlsKey"])
            item["value"] = self.shown_values.get(key, item["value"])
        return {"items": items, "more": has_more, "at": contents.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> Answer:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_ms / MILLISECONDS_PER_SECOND
        while True:
            if not self.contents.has_history_since(after):
                return 410, {}
            changes = self.contents.changes(prefix, after)
            if len(changes) > self.page_events:
                page = changes[: self.page_events]
                return 200, {"events": [event for _, event in page], "at": page[-1][0]}
            left_seconds = ends_at - loop.time()
            if changes or left_seconds <= 0:
                events = [event for _, event in changes]
                return 200, {"events": events, "at": self.contents.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_seconds)

    def _transact(self, document: Mapping[str, Any]) -> Answer:
        items = self.contents.items
        expected = document["expectedRevision"]
        for row in expected:
            item = items.get(row["tlsKey"])
            if (0 if item is None else item.revision) != row["revision"]:
                keys = [str(each["tlsKey"]) for each in expected]
                return 412, {"items": [items[key].document() for key in keys if key in items]}
        lease_ids = {int(entry["lease"]) for entry in document["put"]} - {0}
        if not lease_ids <= self.contents.leases.keys():
            return 404, {}
        for entry in document["put"]:
            value = base64.b64decode(entry["value"])
            self.contents.put(entry["tlsKey"], value, int(entry["lease"]))
        for key in document["remove"]:
            self.contents.remove(key)
        self._wake()
        return 200, {"revision": self.contents.revision}
