"""Digest that identifies repeats of the same request on all nodes and in all attempts."""

from collections.abc import Iterable
from hashlib import blake2b

from ...ports.forwarding import OpaqueRequest

DIGEST_BYTES = 16
"""Size of a digest in bytes; long enough to resist deliberate collisions."""
LENGTH_BYTES = 8
"""Size of the length prefix of each part in bytes; keeps different lists of parts distinct."""
_HOST = b"host"
_TENANT = b"tenant of the caller"
_CALLER_HEADERS = frozenset({b"authorization", b"cookie"})
"""Headers that identify the caller. All other headers may differ between retries."""


def compute_identity(request: OpaqueRequest, tenant: str = "") -> bytes:
    """Return a digest of the parts of a request that are the same in all its repeats.

    These are the method, host, target, body and the headers that identify the caller. The attempt
    id, the remaining time and the caller's address are left out.

    Parameters
    ----------
    request
        The request, without the caller's key if the configuration has tenants: other nodes receive
        the digest.
    tenant
        Name of the calling tenant; empty if the configuration has no tenants.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (*_parts(request), *_tenant_parts(tenant)):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.digest()


def _tenant_parts(tenant: str) -> Iterable[bytes]:
    if tenant:
        yield _TENANT
        yield tenant.encode()


def _parts(request: OpaqueRequest) -> Iterable[bytes]:
    yield request.method
    yield request.target
    yield request.body
    named = [(name.lower(), text) for name, text in request.headers]
    for name, text in sorted(named):
        if name == _HOST or name in _CALLER_HEADERS:
            yield name
            yield text.lower() if name == _HOST else text
