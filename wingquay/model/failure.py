"""The value returned for an error: a kind for programs and a reason for people."""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Kind = TypeVar("Kind", bound=Enum, covariant=True)


@dataclass(frozen=True, slots=True)
class Failure(Generic[Kind]):
    """An error that is returned instead of raised.

    Each layer defines its own enumeration of kinds and maps failures of the layer below to it.

    Parameters
    ----------
    kind
        Member of the layer's enumeration.
    reason
        One sentence for people, with field and value where applicable.
    """

    kind: Kind
    reason: str
