"""The configuration as it is stored and sent: a JSON document with its audit records.

The document is the configuration's JSON object with the additional key ``audit``. Keys that are
unknown to this version are preserved on writes, so that an older node drops nothing that a newer
one wrote (docs/design/configuration.md, "Schema versions").
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import orjson
from pydantic import ValidationError

from ..model.audit import AuditRecord
from ..model.configuration import SCHEMA_VERSION, Configuration
from ..model.failure import Failure
from ..model.identifiers import Revision

MAX_AUDIT_RECORDS = 64
"""Limit of audit records; the history holds the listed revisions except the newest."""

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Size limit of an uncompressed document; larger ones are refused."""

Json = dict[str, Any]

_IDENTITY_KEYS = (("replica_id",), ("shard_id",), ("name",), ("service", "kind", "caller"))


class DocumentFailureKind(Enum):
    """Why a document cannot be used."""

    MALFORMED = "malformed"
    NEWER_WRITER_NEEDED = "newer_writer_needed"


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """A confirmed configuration with the audit records of its confirms, oldest first."""

    configuration: Configuration
    audit: tuple[AuditRecord, ...]
    body: bytes = field(repr=False)

    @property
    def revision(self) -> Revision:
        """The revision of the configuration."""
        return self.configuration.revision

    def find_record(self, confirm_id: str) -> AuditRecord | None:
        """Return the audit record of the confirm ``confirm_id``, or ``None`` if not listed."""
        return next((entry for entry in self.audit if entry.confirm_id == confirm_id), None)

    def raw(self) -> Json:
        """Return the document's JSON object, including keys unknown to this version."""
        parsed: Json = orjson.loads(self.body)
        return parsed


EMPTY_DOCUMENT = ConfigurationDocument(
    Configuration(), (), orjson.dumps(Configuration().model_dump(mode="json"))
)
"""Revision 0, the document before the first confirm."""


def parse_document(
    body: bytes, previous: ConfigurationDocument | None = None
) -> ConfigurationDocument | Failure[DocumentFailureKind]:
    """Parse and validate a document.

    Parameters
    ----------
    previous
        A parsed document whose unchanged services are reused instead of being validated again,
        which makes parsing a large configuration faster.
    """
    try:
        raw = orjson.loads(body)
        configuration = Configuration.model_validate(_reuse_services(raw, previous))
        audit = tuple(AuditRecord.model_validate(entry) for entry in raw.get("audit", ()))
    except (ValueError, ValidationError, TypeError, AttributeError) as error:
        reason = f"configuration document: {str(error)[:300]}"
        return Failure(DocumentFailureKind.MALFORMED, reason)
    return ConfigurationDocument(configuration, audit, body)


def _reuse_services(raw: Json, previous: ConfigurationDocument | None) -> Json:
    if previous is None or not isinstance(raw.get("services"), list):
        return raw
    previous_services = previous.raw().get("services", ())
    known_services = previous.configuration.services
    reused = [
        known_services[index]
        if index < len(known_services) and entry == previous_services[index]
        else entry
        for index, entry in enumerate(raw["services"])
    ]
    return {**raw, "services": reused}


def next_document(
    base: ConfigurationDocument,
    configuration: Configuration,
    record: AuditRecord,
    restored: Sequence[ConfigurationDocument] = (),
) -> ConfigurationDocument | Failure[DocumentFailureKind]:
    """Return the document that follows ``base`` when ``configuration`` is confirmed.

    Parameters
    ----------
    restored
        Earlier documents that the configuration was restored from. Unknown keys are copied from
        these instead of from ``base``.
    """
    base_raw = base.raw()
    oldest_writer = base_raw.get("oldest_writer", SCHEMA_VERSION)
    if oldest_writer > SCHEMA_VERSION:
        reason = f"only nodes of schema version {oldest_writer} or later may write this document"
        return Failure(DocumentFailureKind.NEWER_WRITER_NEEDED, reason)
    confirmed = configuration.model_copy(
        update={
            "revision": record.revision,
            "confirm_id": record.confirm_id,
            "schema_version": max(SCHEMA_VERSION, base.configuration.schema_version),
        }
    )
    raw = confirmed.model_dump(mode="json")
    for earlier in restored or (base,):
        raw = keep_unknown_keys(raw, earlier.raw())
    if "oldest_writer" in base_raw:
        raw["oldest_writer"] = oldest_writer
    audit = [*base_raw.get("audit", ()), record.model_dump(mode="json")][-MAX_AUDIT_RECORDS:]
    raw["audit"] = audit
    body = orjson.dumps(raw)
    records = (*base.audit, record)[-MAX_AUDIT_RECORDS:]
    return ConfigurationDocument(confirmed, records, body)


def entry_identity(entry: object) -> tuple[str, ...] | None:
    """Return the values that identify a list entry, or ``None`` if it has no identity."""
    if not isinstance(entry, dict):
        return None
    for keys in _IDENTITY_KEYS:
        if all(key in entry for key in keys):
            return tuple("" if entry[key] is None else str(entry[key]) for key in keys)
    return None


def keep_unknown_keys(written: Any, earlier: Any) -> Any:
    """Return ``written`` with the keys that only ``earlier`` has, at every depth.

    This version writes every key that it knows, so a key found only in the earlier document is
    unknown to it. List entries are matched by identity. The keys of a removed entry are dropped.
    """
    if written == earlier:
        return written
    if isinstance(written, dict) and isinstance(earlier, dict):
        unknown = {key: value for key, value in earlier.items() if key not in written}
        known_keys = {
            key: keep_unknown_keys(value, earlier[key]) if key in earlier else value
            for key, value in written.items()
        }
        return {**known_keys, **unknown}
    if isinstance(written, list) and isinstance(earlier, list):
        by_identity = {entry_identity(entry): entry for entry in earlier}
        by_identity.pop(None, None)
        return [
            keep_unknown_keys(entry, by_identity.get(entry_identity(entry), entry))
            for entry in written
        ]
    return written


def pack_body(body: bytes) -> bytes:
    """Compress a document for the peer link (zlib, RFC 1950)."""
    return zlib.compress(body, level=6)


def unpack_body(packed: bytes) -> bytes | Failure[DocumentFailureKind]:
    """Decompress a packed document; fail if it exceeds ``MAX_BODY_BYTES``."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed, MAX_BODY_BYTES)
    except zlib.error as error:
        return Failure(DocumentFailureKind.MALFORMED, f"configuration body: {error}")
    if not decompressor.eof:
        return Failure(DocumentFailureKind.MALFORMED, "configuration body: truncated or too large")
    return body
