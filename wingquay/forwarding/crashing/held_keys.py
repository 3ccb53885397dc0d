"""Writes requests that are held back into the store, and follows what others have written.

Nodes that start find them there. The key goes with its lease when the hold is over, or when an
operator takes it away; then the request may be tried again.
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
from .suspects import MOST_HOLD_SECONDS

OPERATION_PREFIX = "held-request-"
TIMEOUT_SECONDS = 2.0
TRIES = 3
"""Calls for one key that may fail before it is left to the node that next rejects the request."""
AGAIN_SECONDS = 10.0
"""Least time between two times that this node begins to write the same key."""
MOST_KEYS = 64
"""Keys in the store from which on none is written: nodes tell each other all the same."""


@dataclass(slots=True, eq=False)
class _Writing:
    """A key that is being written."""

    identity: bytes
    held: HeldRequest
    begun_at: float
    tries: int = 0
    lease_id: int = 0
    is_under_way: bool = True


class HeldKeys:
    """One key for each request that is held back.

    Parameters
    ----------
    formats
        How keys and values are written.
    hold, lift
        Take in that a request is held back, for how long and by whose word, and that it no longer
        is.
    """

    def __init__(
        self,
        formats: StoreFormats,
        hold: Callable[[bytes, float, str, float], list[Action]],
        lift: Callable[[bytes, float], list[Action]],
    ) -> None:
        self._formats = formats
        self._hold = hold
        self._lift = lift
        self._known: set[str] = set()
        self._writings: dict[str, _Writing] = {}

    def is_mine(self, key: str) -> bool:
        """Whether a key tells of a request that is held back."""
        return key.startswith(self._formats.held_prefix)

    def is_answer(self, event: StoreResponse) -> bool:
        """Whether the answer is to one of this part's requests."""
        return event.operation_id.startswith(OPERATION_PREFIX)

    def missing_from(self, keys: Collection[str]) -> tuple[str, ...]:
        """Return the known keys that a whole listing lacks."""
        return tuple(key for key in sorted(self._known) if key not in keys)

    def put(self, item: StoredValue, now: float) -> list[Action]:
        """Take in a key."""
        held = self._formats.parse_held(item.value)
        identity = self._identity(item.key)
        if held is None or identity is None:
            fields = (("key", item.key), ("reason", "not a request that is held back"))
            return [Log("held_request_unreadable", LogLevel.WARNING, fields)]
        self._known.add(item.key)
        return self._hold(identity, min(held.seconds, MOST_HOLD_SECONDS), held.found_by, now)

    def remove(self, key: str, now: float) -> list[Action]:
        """Take in that a key is gone."""
        self._known.discard(key)
        identity = self._identity(key)
        return [] if identity is None else self._lift(identity, now)

    def write(self, identity: bytes, held: HeldRequest, now: float) -> list[Action]:
        """Write the key of a request that is held back, unless it stands there already."""
        key = self._formats.held_prefix + identity.hex()
        known = self._writings.get(key)
        is_recent = known is not None and now - known.begun_at < AGAIN_SECONDS
        if key in self._known or is_recent or len(self._known) >= MOST_KEYS:
            return []
        for old in [name for name, item in self._writings.items() if _is_done(item, now)]:
            del self._writings[old]
        if len(self._writings) >= MOST_KEYS:
            return []
        self._writings[key] = _Writing(identity, held, now)
        return [self._lease_request(key)]

    def answered(self, event: StoreResponse) -> list[Action]:
        """Take in the store's answer."""
        key = event.operation_id.removeprefix(OPERATION_PREFIX)
        writing = self._writings.get(key)
        if writing is None or not writing.is_under_way:
            return []
        result = event.result
        if isinstance(result, LeaseState):
            writing.lease_id = result.lease_id
            value = self._formats.held_value(writing.held)
            operation = CompareAndSwap(key, 0, value, writing.lease_id)
            return [StoreRequest(event.operation_id, operation, TIMEOUT_SECONDS)]
        if isinstance(result, SwapResult):
            writing.is_under_way = False
            return []
        return self._failed(key, writing, result)

    def _failed(self, key: str, writing: _Writing, result: object) -> list[Action]:
        writing.tries += 1
        writing.is_under_way = writing.tries < TRIES
        if writing.is_under_way:
            return [self._lease_request(key)]
        reason = result.reason if isinstance(result, Failure) else "unexpected answer"
        fields = (("digest", writing.identity.hex()), ("reason", reason))
        return [Log("held_request_not_written", LogLevel.WARNING, fields)]

    def _lease_request(self, key: str) -> StoreRequest:
        seconds = int(min(self._writings[key].held.seconds, MOST_HOLD_SECONDS))
        operation = GrantLease(max(seconds, 1))
        return StoreRequest(OPERATION_PREFIX + key, operation, TIMEOUT_SECONDS)

    def _identity(self, key: str) -> bytes | None:
        try:
            return bytes.fromhex(key.removeprefix(self._formats.held_prefix))
        except ValueError:
            return None


def _is_done(writing: _Writing, now: float) -> bool:
    return not writing.is_under_way and now - writing.begun_at >= AGAIN_SECONDS
