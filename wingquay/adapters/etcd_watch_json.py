"""Watches of etcd's JSON gateway: the request, and the documents that come one a line."""

from collections.abc import Iterator
from typing import Literal

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from ..model.failure import Failure
from ..ports.store import StartWatch, StoreFailureKind, WatchBroken, WatchChanged
from .etcd_json import KeyValue, malformed, prefix_bounds, to_base64

WATCH_PATH = "/v3/watch"
MAX_LINE_BYTES = 16_777_216


class _Document(BaseModel):
    model_config = ConfigDict(frozen=True)


class _Event(_Document):
    type: Literal["PUT", "DELETE"] = "PUT"
    kv: KeyValue


class _Result(_Document):
    canceled: bool = False
    cancel_reason: str = ""
    compact_revision: int = 0
    events: tuple[_Event, ...] = ()


class _Error(_Document):
    message: str = ""


class _Message(_Document):
    result: _Result | None = None
    error: _Error | None = None


def encode_watch(watch: StartWatch) -> bytes:
    """Return the body of the request that opens ``watch``."""
    start, end = prefix_bounds(watch.key)
    create = {
        "key": to_base64(start),
        "range_end": to_base64(end),
        "start_revision": str(watch.from_store_revision),
    }
    return orjson.dumps({"create_request": create})


def decode_watch_line(
    watch_id: str, line: bytes
) -> WatchChanged | WatchBroken | None | Failure[StoreFailureKind]:
    """Return what one line of a watch says; ``None``: nothing that concerns the keys."""
    try:
        return _decode(watch_id, line)
    except (ValidationError, UnicodeDecodeError) as error:
        return malformed(str(error))


def _decode(
    watch_id: str, line: bytes
) -> WatchChanged | WatchBroken | None | Failure[StoreFailureKind]:
    message = _Message.model_validate_json(line)
    if message.error is not None:
        return WatchBroken(watch_id, f"the store answered: {message.error.message}")
    result = message.result
    if result is None:
        return malformed("a watch line without result")
    if result.canceled or result.compact_revision:
        reason = result.cancel_reason or f"compacted at {result.compact_revision}"
        return WatchBroken(watch_id, reason)
    if not result.events:
        return None
    # Several changes of one key may come in one message, in order: the last one counts.
    latest = {event.kv.key.decode(): event for event in result.events}
    changed = tuple(e.kv.to_stored_value() for e in latest.values() if e.type == "PUT")
    deleted = tuple(key for key, event in latest.items() if event.type == "DELETE")
    # The header's revision may be ahead of the events that were sent, so it cannot be resumed
    # from without a gap.
    newest = max(event.kv.mod_revision for event in result.events)
    return WatchChanged(watch_id, changed, deleted, newest)


class LineSplitter:
    """Puts the pieces of a stream together and cuts them at line ends."""

    def __init__(self, limit_bytes: int = MAX_LINE_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._rest = b""

    @property
    def is_over_limit(self) -> bool:
        """Whether a line has grown too long to go on."""
        return len(self._rest) > self._limit_bytes

    def lines(self, piece: bytes) -> Iterator[bytes]:
        """Return the lines that ``piece`` completes, empty ones left out."""
        *whole, self._rest = (self._rest + piece).split(b"\n")
        return (line for line in whole if line.strip())
