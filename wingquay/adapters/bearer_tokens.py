"""Bearer tokens (RFC 6750): only their SHA-256 is known, and it is compared in constant time."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..model.configuration import Caller
from ..model.identifiers import CallerName

AUTHORIZATION_HEADER = "authorization"
SCHEME = "bearer"
CHALLENGE = {"www-authenticate": 'Bearer realm="wingquay"'}
"""Header that goes with status 401."""


class CallerDirectory(Protocol):
    """Knows who may call."""

    @property
    def is_known(self) -> bool:
        """Whether the callers are known yet; until then nobody can be told from a stranger."""
        ...

    def authenticate(self, token: str) -> CallerName | None:
        """Return whose token it is, or ``None`` if it is nobody's."""
        ...


@dataclass(frozen=True, slots=True)
class TokenOwner:
    """A name and the SHA-256 (hexadecimal) of its token."""

    name: str
    token_sha256: str


class TokenTable:
    """Finds the owner of a token in time that does not tell how near a guess was."""

    def __init__(self, owners: Iterable[TokenOwner]) -> None:
        self._owners = tuple((owner.name, owner.token_sha256.encode()) for owner in owners)

    def owner_of(self, token: str) -> str | None:
        """Return the name of the token's owner; every entry is compared, whichever matches."""
        digest = hash_token(token).encode()
        found = None
        for name, expected in self._owners:
            if hmac.compare_digest(digest, expected):
                found = name
        return found


class ConfiguredCallers:
    """The callers of the configuration in force, as a ``CallerDirectory``."""

    def __init__(self) -> None:
        self._table = TokenTable(())
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether a configuration has been in force yet."""
        return self._is_known

    def replace(self, callers: Iterable[Caller]) -> None:
        """Know exactly these callers from now on."""
        owners = (TokenOwner(caller.name, caller.token_sha256) for caller in callers)
        self._table = TokenTable(owners)
        self._is_known = True

    def authenticate(self, token: str) -> CallerName | None:
        """Return whose token it is, or ``None`` if it is nobody's."""
        name = self._table.owner_of(token)
        return None if name is None else CallerName(name)


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token, in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()


def bearer_token(headers: Mapping[str, str]) -> str | None:
    """Return the token of an ``Authorization: Bearer`` header, or ``None`` without one."""
    scheme, _, token = headers.get(AUTHORIZATION_HEADER, "").partition(" ")
    token = token.strip()
    return token if scheme.lower() == SCHEME and token else None
