"""Writes held requests to the store and applies those that other nodes have written.

Nodes that start later read them from the store. A key is removed when its lease expires at the end
of the hold period, or when an operator deletes it; the request may then be sent again.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ...model.failure import Failure
from ...ports.crash_messages import HeldRequest
from ...ports.machine import Action, Log, LogLevel
from ...ports.store import (
    CompareAndSwap,
    GrantLease,
    LeaseState,
    StoredValue,
    StoreRequest,
    StoreResponse,
    SwapResult,
)
from ..store_formats import StoreFormats
from .suspects import MAX_HOLD_SECONDS

OPERATION_PREFIX = "held-request-"
TIMEOUT_SECONDS = 2.0
MAX_WRITE_ATTEMPTS = 3
"""Maximum number of tries of one write; the next rejection of the request starts a new write."""
MIN_REWRITE_SECONDS = 10.0
"""Minimum time between two writes of the same key by this node."""
MAX_KEYS = 64
"""Number of keys in the store from which on this node writes no further ones."""


@dataclass(slots=True, eq=False)
class _KeyWrite:
    """The state of writing one key."""

    identity: bytes
    held: HeldRequest
    started_at: float
    attempts: int = 0
    lease_id: int = 0
    is_pending: bool = True


class HeldRequestKeys:
    """Manages the store keys of held requests, one key per request.

    Parameters
    ----------
    formats
        Formats of keys and values.
    hold
        Starts the hold of a request: identity, hold period in s, reporting node, current time.
    release
        Ends the hold of a request: identity, current time.
    """

    def __init__(
        self,
        formats: StoreFormats,
        hold: Callable[[bytes, float, str, float], list[Action]],
        release: Callable[[bytes, float], list[Action]],
    ) -> None:
        self._formats = formats
        self._hold = hold
        self._release = release
        self._known: set[str] = set()
        self._writes: dict[str, _KeyWrite] = {}

    def handles(self, key: str) -> bool:
        """Return whether a key belongs to a held request."""
        return key.startswith(self._formats.held_prefix)

    def handles_response(self, event: StoreResponse) -> bool:
        """Return whether a store response answers a request of this object."""
        return event.operation_id.startswith(OPERATION_PREFIX)

    def missing_from(self, keys: Collection[str]) -> tuple[str, ...]:
        """Return the known keys that are missing from a complete listing."""
        return tuple(key for key in sorted(self._known) if key not in keys)

    def forget_missing(self, keys: Collection[str]) -> None:
        """Forget the keys that the store lost; the holds go on, and repeats write them again."""
        self._known.intersection_update(keys)
        self._writes.clear()

    def put(self, item: StoredValue, now: float) -> list[Action]:
        """Apply a key that was written."""
        held = self._formats.parse_held(item.value)
        identity = self._identity(item.key)
        if held is None or identity is None:
            fields = (("key", item.key), ("reason", "not a held request"))
            return [Log("held_request_unreadable", LogLevel.WARNING, fields)]
        self._known.add(item.key)
        return self._hold(identity, min(held.seconds, MAX_HOLD_SECONDS), held.found_by, now)

    def remove(self, key: str, now: float) -> list[Action]:
        """Apply the removal of a key."""
        self._known.discard(key)
        identity = self._identity(key)
        return [] if identity is None else self._release(identity, now)

    def write(self, identity: bytes, held: HeldRequest, now: float) -> list[Action]:
        """Write the key of a held request.

        Nothing is written if the key exists or was written recently, or if there are ``MAX_KEYS``
        keys or writes already.
        """
        key = self._formats.held_prefix + identity.hex()
        previous = self._writes.get(key)
        is_recent = previous is not None and now - previous.started_at < MIN_REWRITE_SECONDS
        if key in self._known or is_recent or len(self._known) >= MAX_KEYS:
            return []
        for done in [name for name, item in self._writes.items() if _is_done(item, now)]:
            del self._writes[done]
        if len(self._writes) >= MAX_KEYS:
            return []
        self._writes[key] = _KeyWrite(identity, held, now)
        return [self._lease_request(key)]

    def handle_response(self, event: StoreResponse) -> list[Action]:
        """Continue a write with the store's response."""
        key = event.operation_id.removeprefix(OPERATION_PREFIX)
        key_write = self._writes.get(key)
        if key_write is None or not key_write.is_pending:
            return []
        result = event.result
        if isinstance(result, LeaseState):
            key_write.lease_id = result.lease_id
            value = self._formats.held_value(key_write.held)
            operation = CompareAndSwap(key, 0, value, key_write.lease_id)
            return [StoreRequest(event.operation_id, operation, TIMEOUT_SECONDS)]
        if isinstance(result, SwapResult):
            key_write.is_pending = False
            return []
        return self._failed(key, key_write, result)

    def _failed(self, key: str, key_write: _KeyWrite, result: object) -> list[Action]:
        key_write.attempts += 1
        key_write.is_pending = key_write.attempts < MAX_WRITE_ATTEMPTS
        if key_write.is_pending:
            return [self._lease_request(key)]
        reason = result.reason if isinstance(result, Failure) else "unexpected response"
        fields = (("digest", key_write.identity.hex()), ("reason", reason))
        return [Log("held_request_not_written", LogLevel.WARNING, fields)]

    def _lease_request(self, key: str) -> StoreRequest:
        seconds = int(min(self._writes[key].held.seconds, MAX_HOLD_SECONDS))
        operation = GrantLease(max(seconds, 1))
        return StoreRequest(OPERATION_PREFIX + key, operation, TIMEOUT_SECONDS)

    def _identity(self, key: str) -> bytes | None:
        try:
            return bytes.fromhex(key.removeprefix(self._formats.held_prefix))
        except ValueError:
            return None


def _is_done(key_write: _KeyWrite, now: float) -> bool:
    return not key_write.is_pending and now - key_write.started_at >= MIN_REWRITE_SECONDS
