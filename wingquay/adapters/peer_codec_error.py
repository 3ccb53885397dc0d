"""Why bytes from a peer cannot be understood, and the checks that the codecs share."""

from collections.abc import Mapping
from enum import Enum
from math import isfinite
from typing import TypeVar

Member = TypeVar("Member", bound=Enum)


class PeerCodecFailureKind(Enum):
    """Why bytes are not a message."""

    MALFORMED = "malformed"
    UNKNOWN_MESSAGE = "unknown_message"
    """Well formed, but of a kind that this version of wingquay does not know."""


class MalformedError(ValueError):
    """Raised inside the codecs only; :func:`peer_codec.decode` turns it into a ``Failure``."""


def member_of(members: Mapping[int, Member], number: int) -> Member:
    """Return the member of an enumeration for its number on the wire.

    Raises
    ------
    MalformedError
        If the number is not assigned, for example by a newer version.
    """
    member = members.get(number)
    if member is None:
        raise MalformedError(f"unassigned enumeration number {number}")
    return member


def check_finite(first: float, second: float = 0.0, third: float = 0.0) -> None:
    """Refuse numbers that are infinite or not a number.

    Raises
    ------
    MalformedError
        If one of them is.
    """
    if not (isfinite(first) and isfinite(second) and isfinite(third)):
        raise MalformedError(f"one of {first}, {second}, {third} is not finite")
