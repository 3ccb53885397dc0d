"""Reads the entry that a replica keeps in the store.

Other writers leave entries there too. One that does not say, in the form agreed on, all that this
product goes by names no replica to use: a state that is not known would be taken for ready, a
missing capacity for one that nobody stated. Fields that this product does not use may hold
anything.
"""

import re
from functools import lru_cache
from ipaddress import ip_address

import orjson

from ..forwarding.store_formats import FormatFailureKind
from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
from .names import DRAINING, READY

MILLISECONDS_PER_SECOND = 1000.0
MOST_SLOTS = 4096
"""Requests that a replica works on at a time, at most: more than any machine does. One that claims
more would seem free whatever is sent to it, and get the requests of all others."""
MOST_COLD_MS = 3_600_000
"""A replica is slow for seconds after its start; one that claims more than an hour would be left
out of its share for as long as that."""
MOST_BORN = 2**53 - 1
"""The greatest whole number that every reader of JSON tells from its neighbours."""
MOST_PORT = 65_535
MOST_ADDRESS_CHARACTERS = 60
"""No IP number with a port is longer, and what is read is kept."""
KNOWN_ADDRESSES = 4096
"""Addresses whose reading is kept: replicas write their entries again and again, and to read an
address takes as long as all the rest."""
MOST_REASON_CHARACTERS = 160
"""Length of what a log line says of an entry: its writer must not fill the log."""
MOST_SHOWN_CHARACTERS = 60
"""Length of the part of a field's value that is shown."""

_VISIBLE = re.compile(r"[!-~]+")
"""What a header's text may hold: requests name the replica that they are for."""
_ADDRESS = re.compile(r"(?:([0-9.]+)|\[([0-9A-Fa-f]*:[0-9A-Fa-f:.]+)\]):([0-9]{1,5})")
_ABSENT = object()

Document = dict[str, object]


class _UnusableError(Exception):
    """A field does not hold what is agreed on."""


def parse_replica(replica_id: str, value: bytes) -> ReplicaRecord | Failure[FormatFailureKind]:
    """Return the record of a stored entry, or why it names no replica to use."""
    if not _VISIBLE.fullmatch(replica_id):
        return _malformed(f"id {_shown(replica_id)}; allowed: visible ASCII signs")
    try:
        document = orjson.loads(value)
    except ValueError:
        return _malformed("no JSON document")
    if not isinstance(document, dict):
        return _malformed(f"{type(document).__name__}; allowed: an object")
    try:
        return _record(replica_id, document)
    except _UnusableError as error:
        return _malformed(str(error))


def _record(replica_id: str, document: Document) -> ReplicaRecord:
    service = _text(document, "service")
    host, port = _address(document)
    return ReplicaRecord(
        replica_id=replica_id,
        service=service,
        host=host,
        port=port,
        zone=_text(document, "zone"),
        slots=_whole(document, "capacity", 1, MOST_SLOTS),
        is_draining=_is_draining(document),
        cold_seconds=_cold_seconds(document),
        born=_whole(document, "born", 0, MOST_BORN) if "born" in document else None,
    )


def _text(document: Document, name: str) -> str:
    found = document.get(name, _ABSENT)
    if isinstance(found, str) and found:
        return found
    raise _unusable(name, found, "text of 1 sign or more")


def _whole(document: Document, name: str, least: int, most: int) -> int:
    found = document.get(name, _ABSENT)
    if type(found) is int and least <= found <= most:
        return found
    raise _unusable(name, found, f"a whole number from {least} to {most}")


def _is_draining(document: Document) -> bool:
    found = document.get("state", _ABSENT)
    if found == DRAINING or found == READY:
        return found == DRAINING
    raise _unusable("state", found, f"{READY!r} or {DRAINING!r}")


def _cold_seconds(document: Document) -> float:
    found = document.get("warmupLeftMs", _ABSENT)
    if type(found) in (int, float) and 0 <= found <= MOST_COLD_MS:  # type: ignore[operator]
        return float(found) / MILLISECONDS_PER_SECOND  # type: ignore[arg-type]
    raise _unusable("warmupLeftMs", found, f"a number from 0 to {MOST_COLD_MS}")


def _address(document: Document) -> tuple[str, int]:
    found = document.get("address", _ABSENT)
    if isinstance(found, str) and len(found) <= MOST_ADDRESS_CHARACTERS:
        known = _read_address(found)
        if known is not None:
            return known
    raise _unusable("address", found, "an IP number with a port")


@lru_cache(maxsize=KNOWN_ADDRESSES)
def _read_address(text: str) -> tuple[str, int] | None:
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return None
    host, port = match[1] or match[2], int(match[3])
    return (host, port) if _is_usable_host(host) and 1 <= port <= MOST_PORT else None


def _is_usable_host(host: str) -> bool:
    """Whether a host is the IP number of one machine; the unspecified one would be this machine."""
    try:
        number = ip_address(host)
    except ValueError:
        return False
    is_broadcast = number.version == 4 and not ~int(number) & 0xFFFFFFFF
    return not (number.is_unspecified or number.is_multicast or is_broadcast)


def _unusable(name: str, found: object, allowed: str) -> _UnusableError:
    text = "missing" if found is _ABSENT else _shown(found)
    return _UnusableError(f"{name} {text}; allowed: {allowed}")


def _shown(found: object) -> str:
    text = repr(found)
    if len(text) <= MOST_SHOWN_CHARACTERS:
        return text
    return f"{text[:MOST_SHOWN_CHARACTERS]}..."


def _malformed(reason: str) -> Failure[FormatFailureKind]:
    return Failure(FormatFailureKind.MALFORMED, reason)
