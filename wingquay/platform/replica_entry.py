"""Reads the entry that a replica keeps in the store."""

import re

import orjson

from ..forwarding.forwarding_node import FormatFailureKind
from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
from .names import DRAINING

MILLISECONDS_PER_SECOND = 1000.0
_VISIBLE = re.compile(r"[!-~]+")
"""What a header's text may hold: requests name the replica that they are for."""


def parse_replica(replica_id: str, value: bytes) -> ReplicaRecord | Failure[FormatFailureKind]:
    """Return the record of a stored entry, or why it cannot be read."""
    if not _VISIBLE.fullmatch(replica_id):
        reason = f"id {replica_id!r}; allowed: visible ASCII signs"
        return Failure(FormatFailureKind.MALFORMED, reason)
    try:
        document = orjson.loads(value)
        host, _, port = str(document["address"]).rpartition(":")
        return ReplicaRecord(
            replica_id=replica_id,
            service=str(document["service"]),
            host=host,
            port=int(port),
            zone=str(document.get("zone", "")),
            slots=int(document.get("capacity") or 1),
            is_draining=document.get("state") == DRAINING,
            cold_seconds=float(document.get("warmupLeftMs") or 0) / MILLISECONDS_PER_SECOND,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Failure(FormatFailureKind.MALFORMED, f"{type(error).__name__}: {error}")
