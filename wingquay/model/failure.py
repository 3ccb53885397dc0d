"""The sentinel for an error: a kind that programs test and a reason that people read."""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Kind = TypeVar("Kind", bound=Enum, covariant=True)


@dataclass(frozen=True, slots=True)
class Failure(Generic[Kind]):
    """An error that is returned, never raised.

    Each layer has its own enumeration of kinds and turns the failures of the layer below into
    its own.

    Parameters
    ----------
    kind
        What went wrong, as a member of the layer's enumeration.
    reason
        One sentence for people, naming field and value where there is one.
    """

    kind: Kind
    reason: str
