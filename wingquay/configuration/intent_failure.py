"""Shared by the functions that apply intents: failures and lookups of named entries."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

from ..model.failure import Failure


class IntentFailureKind(Enum):
    """Why intents cannot be applied."""

    INVALID = "invalid"


IntentFailure = Failure[IntentFailureKind]

Entry = TypeVar("Entry")


def invalid_intent(reason: str) -> IntentFailure:
    """Return a failure; ``reason`` states the field, its value and the allowed values."""
    return Failure(IntentFailureKind.INVALID, reason)


def unknown_name(field: str, value: str, allowed: Iterable[str]) -> IntentFailure:
    """Return the failure for a name that does not exist."""
    return invalid_intent(f"{field}: {value!r} does not exist; allowed: {sorted(allowed)}")


def entry_name(entry: object) -> str:
    """Return the name that identifies an entry in its list."""
    return str(getattr(entry, "name"))  # noqa: B009


def replace_entry(
    entries: tuple[Entry, ...], entry: Entry, identity: Callable[[Entry], object]
) -> tuple[Entry, ...]:
    """Return ``entries`` with ``entry`` in place of the one with its identity, else appended."""
    if all(identity(present) != identity(entry) for present in entries):
        return (*entries, entry)
    return tuple(entry if identity(present) == identity(entry) else present for present in entries)
