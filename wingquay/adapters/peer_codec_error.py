"""Why bytes from a peer cannot be understood, and the checks that the codecs share."""

import math
from collections.abc import Mapping
from enum import Enum
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


def finite(value: float) -> float:
    """Return ``value`` unless it is infinite or not a number.

    Raises
    ------
    MalformedError
        If it is.
    """
    if not math.isfinite(value):
        raise MalformedError(f"number {value} is not finite")
    return value
