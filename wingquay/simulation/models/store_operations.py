"""The port's operations in terms of the modelled store's transactions, and back."""

from dataclasses import dataclass

from ...model.failure import Failure
from ...ports.store import (
    CompareAndSwap,
    Read,
    StoreFailureKind,
    StoreOperation,
    StoreResponse,
    StoreResult,
    SwapResult,
    WatchBroken,
    WatchChanged,
)
from .store_state import (
    EVERYTHING_FROM_START,
    Compare,
    Delete,
    KeySpan,
    Put,
    Range,
    Transaction,
    TransactionResult,
)

LARGEST_BYTE = 0xFF

ModelOperation = StoreOperation | Transaction
ModelResult = StoreResult | TransactionResult | Failure[StoreFailureKind]


@dataclass(frozen=True, slots=True)
class TransactionReply:
    """The reply to a ``Transaction``; port operations are replied to by ``StoreResponse``."""

    operation_id: str
    result: TransactionResult | Failure[StoreFailureKind]


StoreReply = StoreResponse | TransactionReply
StoreOutput = StoreReply | WatchChanged | WatchBroken


def prefix_span(prefix: str) -> KeySpan:
    """Return the span of the keys that begin with ``prefix``."""
    start = prefix.encode()
    stem = start.rstrip(bytes([LARGEST_BYTE]))
    if not stem:
        return KeySpan(start, EVERYTHING_FROM_START)
    return KeySpan(start, stem[:-1] + bytes([stem[-1] + 1]))


def span_of_read(read: Read) -> KeySpan:
    """Return what ``read`` reads."""
    return prefix_span(read.key) if read.prefix else KeySpan(read.key.encode())


def transaction_of_swap(swap: CompareAndSwap) -> Transaction:
    """Return the transaction that carries out ``swap`` and reads the key if it fails."""
    key = swap.key.encode()
    span = KeySpan(key)
    write = Delete(span) if swap.value is None else Put(key, swap.value, swap.lease_id)
    compare = Compare(key, swap.expected_modified_at)
    return Transaction((compare,), (write,), (Range(span),))


def swap_result(result: TransactionResult) -> SwapResult:
    """Return what a swap's transaction brought."""
    if result.succeeded or not result.ranges or not result.ranges[0]:
        return SwapResult(result.succeeded, result.revision)
    current = result.ranges[0][0].to_stored_value()
    return SwapResult(succeeded=False, store_revision=result.revision, current=current)


def reply_to(operation_id: str, operation: ModelOperation, result: ModelResult) -> StoreReply:
    """Return the reply to ``operation``."""
    if isinstance(operation, Transaction):
        assert isinstance(result, TransactionResult | Failure)
        return TransactionReply(operation_id, result)
    assert not isinstance(result, TransactionResult)
    return StoreResponse(operation_id, result)


def failed(kind: StoreFailureKind) -> Failure[StoreFailureKind]:
    """Return the failure of ``kind`` as the store's callers see it."""
    return Failure(kind, f"the store's reply: {kind.value}")
