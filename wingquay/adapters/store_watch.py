"""One watch: an exchange whose response goes on until either side ends it."""

from collections.abc import AsyncIterator, Callable

from ..model.failure import Failure
from ..ports.machine import Event
from ..ports.store import StartWatch, WatchBroken
from .etcd_watch_json import (
    WATCH_PATH,
    LineSplitter,
    decode_watch_line,
    encode_watch,
)
from .http_client import HttpClient
from .http_stream import HttpStream

OPEN_TIMEOUT_SECONDS = 5.0
STATUS_OK = 200


async def run_watch(
    client: HttpClient,
    host: str,
    port: int,
    watch: StartWatch,
    emit: Callable[[Event], None],
) -> str:
    """Emit ``WatchChanged`` until the watch ends, and return why it ended.

    Cancelling the task ends the watch too.
    """
    stream = await client.open_stream(
        host,
        port,
        "POST",
        WATCH_PATH,
        {"content-type": "application/json"},
        encode_watch(watch),
        OPEN_TIMEOUT_SECONDS,
    )
    if isinstance(stream, Failure):
        return stream.reason
    try:
        return await _follow(stream, watch.watch_id, emit)
    finally:
        stream.close()


async def _follow(stream: HttpStream, watch_id: str, emit: Callable[[Event], None]) -> str:
    """Emit what the stream says and return why it ended."""
    if stream.status != STATUS_OK:
        return f"the store answered {stream.status}"
    async for line in _lines(stream):
        event = decode_watch_line(watch_id, line)
        if isinstance(event, WatchBroken | Failure):
            return event.reason
        if event is not None:
            emit(event)
    return "the store ended the watch" if stream.failure is None else stream.failure.reason


async def _lines(stream: HttpStream) -> AsyncIterator[bytes]:
    splitter = LineSplitter()
    async for piece in stream:
        for line in splitter.lines(piece):
            yield line
        if splitter.is_over_limit:
            return
