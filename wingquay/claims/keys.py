"""Claim keys, request digests, and claim partitions."""

from collections.abc import Iterable
from hashlib import blake2b

from ..model.identifiers import CallerName, ServiceName
from ..model.request import QueryRequest

PARTITIONS = 64
"""Number of claim partitions of a deployment. Fixed, since the stored document depends on it."""

DIGEST_BYTES = 16
_PARTITION_DIGITS = 8
_LENGTH_BYTES = 8


def claim_key(caller: CallerName, service: ServiceName, idempotency_key: str) -> str:
    """Return the key of the claim for a caller's idempotency key."""
    return _digest((caller, service, idempotency_key))


def request_digest(request: QueryRequest) -> str:
    """Return a digest of the request's content, without deadline and trace."""
    parts = [request.kind, request.body]
    for key_range in request.key_ranges:
        end = "" if key_range.end is None else f"={key_range.end}"
        parts += [key_range.start, end]
    return _digest(parts)


def partition_of(key: str) -> int:
    """Return the claim partition of a claim key."""
    return int(key[:_PARTITION_DIGITS], base=16) % PARTITIONS


def _digest(parts: Iterable[str]) -> str:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        encoded = part.encode()
        # The length distinguishes ("ab", "c") from ("a", "bc").
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(encoded)
    return digest.hexdigest()
