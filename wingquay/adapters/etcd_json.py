"""The store port's operations as requests of etcd's JSON gateway, and its replies.

The gateway writes 64-bit numbers as strings, keys and values in base64, and leaves out fields
that have their default. Source: the etcd v3 API (``rpc.proto``) and the gateway's documentation.
Decoding never raises: whatever came is a result or a failure.
"""

import base64
from collections.abc import Callable
from dataclasses import dataclass

import orjson
from pydantic import Base64Bytes, BaseModel, ConfigDict, Field, ValidationError

from ..model.failure import Failure
from ..ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    RevokeLease,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreResult,
    SwapResult,
)

RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"

EVERY_KEY_START = b"\0"
EVERY_KEY_END = b"\0"
"""A range from the first of these to the second holds every key."""

LARGEST_BYTE = 0xFF
REASON_CHARACTERS = 200

DecodedReply = StoreResult | Failure[StoreFailureKind]


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """One request to the gateway (always ``POST``)."""

    path: str
    body: bytes


class _Document(BaseModel):
    model_config = ConfigDict(frozen=True)


class _Header(_Document):
    revision: int = 0


class KeyValue(_Document):
    """A key as the gateway writes it."""

    key: Base64Bytes
    value: Base64Bytes = b""
    mod_revision: int = 0
    lease: int = 0

    def to_stored_value(self) -> StoredValue:
        """Return the key as the port has it; raises ``UnicodeDecodeError`` for other keys."""
        return StoredValue(self.key.decode(), self.value, self.mod_revision, self.lease)


class _RangeReply(_Document):
    header: _Header = _Header()
    kvs: tuple[KeyValue, ...] = ()


class _TransactionOperationReply(_Document):
    response_range: _RangeReply | None = None


class _TransactionReply(_Document):
    header: _Header
    succeeded: bool = False
    responses: tuple[_TransactionOperationReply, ...] = ()


class _LeaseReply(_Document):
    lease_id: int = Field(alias="ID")
    time_to_live: int = Field(default=0, alias="TTL")


class _KeepAliveReply(_Document):
    result: _LeaseReply


def encode(operation: StoreOperation) -> GatewayRequest:
    """Return the request that carries out ``operation``."""
    match operation:
        case Read():
            return GatewayRequest(RANGE_PATH, orjson.dumps(_range_document(operation)))
        case CompareAndSwap():
            return GatewayRequest(TRANSACTION_PATH, orjson.dumps(_swap_document(operation)))
        case GrantLease():
            document = {"TTL": str(operation.time_to_live_seconds)}
            return GatewayRequest(GRANT_PATH, orjson.dumps(document))
        case KeepLeaseAlive():
            return GatewayRequest(KEEP_ALIVE_PATH, _lease_document(operation.lease_id))
        case RevokeLease():
            return GatewayRequest(REVOKE_PATH, _lease_document(operation.lease_id))


def decode(operation: StoreOperation, body: bytes) -> DecodedReply:
    """Return what the body of a 200 reply to ``operation`` says."""
    try:
        return _DECODERS[type(operation)](operation, body)
    except (ValidationError, UnicodeDecodeError) as error:
        return malformed(str(error))


def not_found(operation: StoreOperation) -> DecodedReply:
    """Return what a "not found" reply means: the lease that the operation names is gone."""
    match operation:
        case KeepLeaseAlive() | RevokeLease():
            return LeaseState(operation.lease_id, 0.0)
        case CompareAndSwap():
            return SwapResult(succeeded=False, store_revision=0)
        case _:
            return malformed("the store answered 404")


def malformed(reason: str) -> Failure[StoreFailureKind]:
    """Return the failure for a reply that makes no sense."""
    line = " ".join(reason.split())
    return Failure(StoreFailureKind.MALFORMED, line[:REASON_CHARACTERS])


def to_base64(data: bytes) -> str:
    """Return ``data`` as the gateway takes bytes."""
    return base64.b64encode(data).decode()


def prefix_bounds(prefix: str) -> tuple[bytes, bytes]:
    """Return start and end of the range that holds the keys with ``prefix``."""
    start = prefix.encode()
    stem = start.rstrip(bytes([LARGEST_BYTE]))
    if not stem:
        return start or EVERY_KEY_START, EVERY_KEY_END
    return start, stem[:-1] + bytes([stem[-1] + 1])


def _range_document(read: Read) -> dict[str, str]:
    document = {"key": to_base64(read.key.encode())}
    if read.prefix:
        start, end = prefix_bounds(read.key)
        document = {"key": to_base64(start), "range_end": to_base64(end)}
    if read.modified_after:
        document["min_mod_revision"] = str(read.modified_after + 1)
    return document


def _swap_document(swap: CompareAndSwap) -> dict[str, object]:
    key = to_base64(swap.key.encode())
    compare = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(swap.expected_modified_at),
    }
    write: dict[str, object] = {"request_delete_range": {"key": key}}
    if swap.value is not None:
        put = {"key": key, "value": to_base64(swap.value), "lease": str(swap.lease_id)}
        write = {"request_put": put}
    read = {"request_range": {"key": key}}
    return {"compare": [compare], "success": [write], "failure": [read]}


def _lease_document(lease_id: int) -> bytes:
    return orjson.dumps({"ID": str(lease_id)})


def _decode_read(_operation: StoreOperation, body: bytes) -> StoreResult:
    reply = _RangeReply.model_validate_json(body)
    values = tuple(entry.to_stored_value() for entry in reply.kvs)
    return ReadResult(values, reply.header.revision)


def _decode_swap(_operation: StoreOperation, body: bytes) -> StoreResult:
    reply = _TransactionReply.model_validate_json(body)
    current = None
    if not reply.succeeded:
        ranges = [entry.response_range for entry in reply.responses]
        kvs = ranges[0].kvs if ranges and ranges[0] is not None else ()
        current = kvs[0].to_stored_value() if kvs else None
    return SwapResult(reply.succeeded, reply.header.revision, current)


def _decode_grant(_operation: StoreOperation, body: bytes) -> StoreResult:
    reply = _LeaseReply.model_validate_json(body)
    return LeaseState(reply.lease_id, float(max(0, reply.time_to_live)))


def _decode_keep_alive(_operation: StoreOperation, body: bytes) -> StoreResult:
    # The gateway answers with a stream of documents, one a line; there is one for one request.
    first_line = body.split(b"\n", maxsplit=1)[0]
    reply = _KeepAliveReply.model_validate_json(first_line).result
    return LeaseState(reply.lease_id, float(max(0, reply.time_to_live)))


def _decode_revoke(operation: StoreOperation, body: bytes) -> StoreResult:
    _RangeReply.model_validate_json(body)
    assert isinstance(operation, RevokeLease)
    return LeaseState(operation.lease_id, 0.0)


_DECODERS: dict[type, Callable[[StoreOperation, bytes], StoreResult]] = {
    Read: _decode_read,
    CompareAndSwap: _decode_swap,
    GrantLease: _decode_grant,
    KeepLeaseAlive: _decode_keep_alive,
    RevokeLease: _decode_revoke,
}
