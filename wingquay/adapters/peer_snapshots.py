"""Tells other nodes what this one knows of the store, and asks them when the store is silent.

A protobuf message over HTTP, on an address that only nodes reach. Nothing of it is loaded before it
is needed.
"""

import asyncio
from collections.abc import Callable, Sequence

from ..model.failure import Failure
from ..ports.machine import Event
from ..ports.peer_snapshot import PeerSnapshot, RequestPeerSnapshot
from ..ports.store import ReadResult, StoredValue
from .http_client import HttpClient
from .http_messages import HttpRequest, HttpResponse

PATH = "/store-snapshot"
CONTENT_TYPE = "application/x-protobuf"
TIMEOUT_SECONDS = 0.4
"""Time allowed for one peer: the next one is asked after it."""
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503

Address = tuple[str, int]


class PeerSnapshots:
    """Performs ``RequestPeerSnapshot`` and answers the same question of others.

    Parameters
    ----------
    peers
        Addresses of other nodes, some of which may be out of date.
    known
        Returns what this node knows of the store.
    emit
        Takes the events.
    """

    def __init__(
        self,
        peers: Sequence[Address],
        known: Callable[[], ReadResult | None],
        emit: Callable[[Event], None],
    ) -> None:
        self._peers = tuple(peers)
        self._known = known
        self._emit = emit
        self._asking: asyncio.Task[None] | None = None

    def ask(self, _action: RequestPeerSnapshot) -> None:
        """Ask one peer after another, unless that is under way."""
        if self._peers and (self._asking is None or self._asking.done()):
            self._asking = asyncio.get_running_loop().create_task(self._ask_all())

    def close(self) -> None:
        """End asking."""
        if self._asking is not None:
            self._asking.cancel()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer another node."""
        if request.path != PATH:
            return HttpResponse(STATUS_NOT_FOUND)
        known = self._known()
        if known is None:
            return HttpResponse(STATUS_UNAVAILABLE)
        return HttpResponse(STATUS_OK, {"content-type": CONTENT_TYPE}, encode_snapshot(known))

    async def _ask_all(self) -> None:
        client = HttpClient()
        try:
            for host, port in self._peers:
                snapshot = await self._ask_one(client, host, port)
                if snapshot is not None:
                    self._emit(snapshot)
                    return
        finally:
            await client.close()

    async def _ask_one(self, client: HttpClient, host: str, port: int) -> PeerSnapshot | None:
        result = await client.request(host, port, "GET", PATH, timeout_seconds=TIMEOUT_SECONDS)
        if isinstance(result, Failure) or result.status != STATUS_OK:
            return None
        return decode_snapshot(result.whole_body)


def encode_snapshot(known: ReadResult) -> bytes:
    """Return a snapshot as peers exchange it."""
    from .proto import peer_pb2

    message = peer_pb2.StoreSnapshot(store_revision=known.store_revision)
    for item in known.values:
        message.items.add(key=item.key, value=item.value, modified_at=item.modified_at)
    return message.SerializeToString()


def decode_snapshot(data: bytes) -> PeerSnapshot | None:
    """Return a peer's snapshot; ``None``: it is malformed."""
    from google.protobuf.message import DecodeError

    from .proto import peer_pb2

    message = peer_pb2.StoreSnapshot()
    try:
        message.ParseFromString(data)
    except DecodeError:
        return None
    values = tuple(StoredValue(item.key, item.value, item.modified_at) for item in message.items)
    return PeerSnapshot(values, message.store_revision)
