"""Calls of the platform's key-value service and what it answers, without any I/O."""

import base64
from typing import Any
from urllib.parse import quote

import orjson

from ..adapters.http_messages import HttpResponse
from ..model.failure import Failure
from ..model.store_version import StoreVersion
from ..model.value import value
from ..ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreResult,
    SwapResult,
    WatchChanged,
)
from .names import REPLICA_PREFIX, STORE_KEEP, STORE_LEASE, STORE_TRANSACTION, STORE_WATCH

MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_HISTORY_LOST = 410
STATUS_CONDITION_FAILED = 412
STATUS_RATE_LIMITED = 429
FULL_EVENTS = 400
FULL_BYTES = 700_000
"""Sizes from which on an answer may have been cut, somewhat below the store's own limits."""


@value
class StoreCall:
    """A call that writes: its path and its body."""

    path: str
    body: bytes


def write_call(operation: StoreOperation, era: int) -> StoreCall | Failure[StoreFailureKind]:
    """Return the call for an operation in an era of the store, or why there is none."""
    if isinstance(operation, GrantLease):
        milliseconds = operation.time_to_live_seconds * MILLISECONDS_PER_SECOND
        return StoreCall(STORE_LEASE, orjson.dumps({"ttl_ms": milliseconds}))
    if isinstance(operation, KeepLeaseAlive):
        return StoreCall(f"{STORE_KEEP}{operation.lease_id}", b"")
    if isinstance(operation, CompareAndSwap):
        expected = StoreVersion(operation.expected_modified_at)
        if expected and expected.era != era:
            reason = f"the condition is of era {expected.era}, the store is in era {era}"
            return Failure(StoreFailureKind.UNREACHABLE, reason)
        return StoreCall(STORE_TRANSACTION, orjson.dumps(_transaction(operation)))
    reason = f"{type(operation).__name__} is not offered here"
    return Failure(StoreFailureKind.MALFORMED, reason)


def write_result(
    operation: StoreOperation, response: HttpResponse, era: int
) -> StoreResult | Failure[StoreFailureKind]:
    """Return what an answer says of an operation."""
    if isinstance(operation, KeepLeaseAlive) and response.status == STATUS_NOT_FOUND:
        return LeaseState(operation.lease_id, 0.0)
    is_swap = isinstance(operation, CompareAndSwap)
    if response.status != STATUS_OK and not (
        is_swap and response.status == STATUS_CONDITION_FAILED
    ):
        return refused(response)
    try:
        document = orjson.loads(response.whole_body)
        return _result(operation, response.status, document, era)
    except (ValueError, KeyError, TypeError) as error:
        return Failure(StoreFailureKind.MALFORMED, f"answer: {error!r}")


def refused(response: HttpResponse) -> Failure[StoreFailureKind]:
    """Return the failure that a status stands for."""
    kind = StoreFailureKind.UNREACHABLE
    if response.status == STATUS_HISTORY_LOST:
        kind = StoreFailureKind.HISTORY_LOST
    elif response.status == STATUS_RATE_LIMITED:
        kind = StoreFailureKind.RATE_LIMITED
    return Failure(kind, f"the store answered {response.status}")


def stored_value(item: Any, era: int) -> StoredValue:
    """Return an item of an era as the port has it.

    An entry of another writer that cannot be decoded has no content, so that it names no replica;
    the items beside it are read all the same.
    """
    key = str(item["tlsKey"])
    try:
        content = base64.b64decode(item["value"])
    except (TypeError, ValueError):
        if not key.startswith(REPLICA_PREFIX):
            raise
        content = b""
    lease_id = int(item.get("lease", 0))
    modified_at = StoreVersion.of(era, int(item["revision"]))
    created_at = StoreVersion.of(era, int(item.get("made", 0)))
    return StoredValue(key, content, modified_at, lease_id, created_at)


def watch_path(prefix: str, after_revision: int, wait_ms: int) -> str:
    """Return the call that asks for what has changed since a revision.

    Parameters
    ----------
    wait_ms
        How long the store holds the call while nothing has.
    """
    key = quote(prefix, safe="")
    return f"{STORE_WATCH}?pathPrefix={key}&after={after_revision}&waitMs={wait_ms}"


def watch_changed(
    watch_id: str, document: Any, era: int, begun_at: float | None = None
) -> WatchChanged:
    """Return the last state of each key that changed.

    Parameters
    ----------
    era
        The era of the answer.
    begun_at
        When the call that was answered was begun.
    """
    changed: dict[str, StoredValue] = {}
    gone: dict[str, None] = {}
    for item in document.get("events", ()):
        key = str(item["tlsKey"])
        if item.get("gone"):
            changed.pop(key, None)
            gone[key] = None
        else:
            gone.pop(key, None)
            changed[key] = stored_value(item, era)
    return WatchChanged(
        watch_id,
        tuple(changed.values()),
        tuple(gone),
        StoreVersion.of(era, int(document["at"])),
        is_full_watch(document),
        begun_at,
    )


def is_full_watch(document: Any) -> bool:
    """Whether an answer to a watch may hold only a part of what has changed.

    The store cuts answers at about 500 events or 1 MB and does not say so; the next one goes on
    where the last one ended.
    """
    events = document.get("events", ())
    size_bytes = sum(len(str(item.get("value") or "")) for item in events)
    return len(events) >= FULL_EVENTS or size_bytes >= FULL_BYTES


def _transaction(operation: CompareAndSwap) -> dict[str, object]:
    revision = StoreVersion(operation.expected_modified_at).revision
    condition = {"tlsKey": operation.key, "revision": revision}
    if operation.value is None:
        return {"expectedRevision": [condition], "put": [], "remove": [operation.key]}
    content = base64.b64encode(operation.value).decode("ascii")
    entry = {"tlsKey": operation.key, "value": content, "lease": operation.lease_id}
    return {"expectedRevision": [condition], "put": [entry], "remove": []}


def _result(operation: StoreOperation, status: int, document: Any, era: int) -> StoreResult:
    if isinstance(operation, CompareAndSwap):
        if status == STATUS_OK:
            return SwapResult(True, StoreVersion.of(era, int(document["revision"])))
        items = [stored_value(item, era) for item in document["items"] if item.get("revision")]
        current = next((item for item in items if item.key == operation.key), None)
        return SwapResult(False, 0, current)
    seconds = float(document["ttl_ms"]) / MILLISECONDS_PER_SECOND
    if isinstance(operation, KeepLeaseAlive):
        return LeaseState(operation.lease_id, seconds)
    return LeaseState(int(document["lease"]), seconds)
