"""etcd's JSON gateway as a server reads and writes it.

Written apart from the client's codec on purpose: a mistake made on one side shows as a failing
test, not as an agreement of both.
"""

import base64
import math
from typing import Literal

import orjson
from pydantic import Base64Bytes, BaseModel, ConfigDict, Field

from ..ports.store import LeaseState, StoredValue, WatchChanged
from ..simulation.models.store_state import (
    Compare,
    Delete,
    Entry,
    KeySpan,
    Put,
    Range,
    StateOperation,
    Transaction,
    TransactionResult,
)

Document = dict[str, object]


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class RangeRequest(_Message):
    """Read, or delete, one key or a range of keys."""

    key: Base64Bytes
    range_end: Base64Bytes = b""
    min_mod_revision: int = 0

    @property
    def span(self) -> KeySpan:
        """The keys meant."""
        return KeySpan(self.key, self.range_end or None)

    @property
    def operation(self) -> Range:
        """The read meant."""
        return Range(self.span, max(0, self.min_mod_revision - 1))


class PutRequest(_Message):
    """Write a key."""

    key: Base64Bytes
    value: Base64Bytes = b""
    lease: int = 0


class _Compare(_Message):
    key: Base64Bytes
    target: Literal["MOD"]
    result: Literal["EQUAL"]
    mod_revision: int = 0


class _Operation(_Message):
    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: RangeRequest | None = None

    def to_state_operation(self) -> StateOperation:
        if self.request_put is not None:
            return Put(self.request_put.key, self.request_put.value, self.request_put.lease)
        if self.request_delete_range is not None:
            return Delete(self.request_delete_range.span)
        if self.request_range is not None:
            return self.request_range.operation
        raise ValueError("an operation of a transaction is empty")


class TransactionRequest(_Message):
    """Compare, then do one or the other."""

    compare: tuple[_Compare, ...] = ()
    success: tuple[_Operation, ...] = ()
    failure: tuple[_Operation, ...] = ()

    def to_transaction(self) -> Transaction:
        """Return it as the model takes it; raises ``ValueError`` for an empty operation."""
        return Transaction(
            tuple(Compare(entry.key, entry.mod_revision) for entry in self.compare),
            tuple(entry.to_state_operation() for entry in self.success),
            tuple(entry.to_state_operation() for entry in self.failure),
        )


class LeaseGrantRequest(_Message):
    """Ask for a lease."""

    time_to_live: int = Field(alias="TTL", gt=0)
    lease_id: int = Field(default=0, alias="ID")


class LeaseRequest(_Message):
    """Renew or revoke a lease."""

    lease_id: int = Field(alias="ID")


class _WatchCreate(_Message):
    key: Base64Bytes
    range_end: Base64Bytes = b""
    start_revision: int = 0

    @property
    def span(self) -> KeySpan:
        return KeySpan(self.key, self.range_end or None)


class WatchRequest(_Message):
    """Open a watch."""

    create_request: _WatchCreate


def range_document(entries: tuple[Entry, ...], revision: int) -> Document:
    """Return the reply to a range request."""
    document: Document = {"header": _header(revision)}
    if entries:
        document["kvs"] = [_entry_document(entry) for entry in entries]
        document["count"] = str(len(entries))
    return document


def transaction_document(result: TransactionResult) -> Document:
    """Return the reply to a transaction."""
    responses: list[Document] = []
    for entries in result.ranges:
        if entries is None:
            responses.append({"response_put": {"header": _header(result.revision)}})
        else:
            responses.append({"response_range": range_document(entries, result.revision)})
    document: Document = {"header": _header(result.revision)}
    if result.succeeded:
        document["succeeded"] = True
    if responses:
        document["responses"] = responses
    return document


def write_document(revision: int) -> Document:
    """Return the reply to a put, a deletion or a revocation."""
    return {"header": _header(revision)}


def lease_document(lease: LeaseState, revision: int) -> Document:
    """Return a lease; its time to live, if over, is left out like every default."""
    document: Document = {"header": _header(revision), "ID": str(lease.lease_id)}
    if lease.time_to_live_seconds > 0:
        document["TTL"] = str(math.ceil(lease.time_to_live_seconds))
    return document


def watch_created_line(revision: int) -> bytes:
    """Return the first line of a watch."""
    return _line({"result": {"header": _header(revision), "created": True}})


def watch_changed_line(change: WatchChanged) -> bytes:
    """Return the line that tells of a change."""
    events: list[Document] = [{"kv": _value_document(value)} for value in change.changed]
    for key in change.deleted:
        kv = {"key": _base64(key.encode()), "mod_revision": str(change.store_revision)}
        events.append({"type": "DELETE", "kv": kv})
    return _line({"result": {"header": _header(change.store_revision), "events": events}})


def watch_canceled_line(reason: str, compacted_at: int) -> bytes:
    """Return the last line of a watch that the store ends."""
    result: Document = {"canceled": True, "cancel_reason": reason}
    if compacted_at:
        result["compact_revision"] = str(compacted_at)
    return _line({"result": result})


def _line(document: Document) -> bytes:
    return orjson.dumps(document) + b"\n"


def _header(revision: int) -> Document:
    return {"cluster_id": "1", "member_id": "1", "revision": str(revision), "raft_term": "1"}


def _entry_document(entry: Entry) -> Document:
    document: Document = {
        "key": _base64(entry.key),
        "create_revision": str(entry.created_at),
        "mod_revision": str(entry.modified_at),
        "version": str(entry.version),
        "value": _base64(entry.value),
    }
    if entry.lease_id:
        document["lease"] = str(entry.lease_id)
    return document


def _value_document(value: StoredValue) -> Document:
    document: Document = {
        "key": _base64(value.key.encode()),
        "mod_revision": str(value.modified_at),
        "value": _base64(value.value),
    }
    if value.lease_id:
        document["lease"] = str(value.lease_id)
    return document


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode()
