"""Readable differences between two configuration documents.

The diff lists every key that differs, including keys unknown to this version, because a plan is
rebased only if its diff stays the same. The order of list entries is not compared.
"""

import hashlib
import json
from collections.abc import Iterable, Sequence
from typing import Any

from ..model.plan import ClassEffect
from .document import ConfigurationDocument, Json, entry_identity

_NOT_COMPARED = frozenset({"revision", "confirm_id", "audit", "schema_version", "oldest_writer"})

_SINGULAR = {
    "deployments": "deployment",
    "classes": "class",
    "services": "service",
    "callers": "caller",
    "attachments": "assignment",
    "kinds": "kind",
    "shards": "shard",
    "replicas": "replica",
}


def document_diff(before: ConfigurationDocument, after: ConfigurationDocument) -> list[str]:
    """Return one line for each entry added (``+``), removed (``-``) or changed (``~``)."""
    return _entry_lines("configuration", _compared_fields(before), _compared_fields(after))


def change_digest(diff: Sequence[str], effects: Sequence[ClassEffect]) -> str:
    """Return the SHA-256 (hexadecimal) of the diff lines and effects of a plan."""
    shown = [*diff, *(effect.model_dump_json() for effect in effects)]
    return hashlib.sha256("\n".join(shown).encode()).hexdigest()


def _compared_fields(document: ConfigurationDocument) -> Json:
    return {key: value for key, value in document.raw().items() if key not in _NOT_COMPARED}


def _entry_lines(label: str, before: Json | None, after: Json | None) -> list[str]:
    left, right = before or {}, after or {}
    keys = [*left, *(key for key in right if key not in left)]
    nested = [key for key in keys if _is_nested(left.get(key), right.get(key))]
    plain = [key for key in keys if key not in nested]
    lines = _field_lines(label, before, after, plain)
    for key in nested:
        lines += _nested_lines(label, key, left.get(key) or [], right.get(key) or [])
    return lines


def _is_nested(*values: Any) -> bool:
    """Whether all values are lists (or ``None``) whose entries have an identity."""
    entries = [entry for value in values if isinstance(value, list) for entry in value]
    all_lists = all(value is None or isinstance(value, list) for value in values)
    return (
        all_lists and bool(entries) and all(entry_identity(entry) is not None for entry in entries)
    )


def _field_lines(
    label: str, before: Json | None, after: Json | None, keys: Iterable[str]
) -> list[str]:
    if before is None and after is not None:
        return [f"+ {label}: {_format_fields(after, keys)}"]
    if after is None and before is not None:
        return [f"- {label}: {_format_fields(before, keys)}"]
    left, right = before or {}, after or {}
    changes = [
        f"{key} {_format_value(left.get(key))} -> {_format_value(right.get(key))}"
        for key in keys
        if left.get(key) != right.get(key)
    ]
    return [f"~ {label}: {', '.join(changes)}"] if changes else []


def _format_fields(entry: Json, keys: Iterable[str]) -> str:
    return ", ".join(
        f"{key} {_format_value(entry[key])}" for key in keys if entry.get(key) is not None
    )


def _format_value(value: Any) -> str:
    if value is None:
        return "none"
    return value if isinstance(value, str) and value else json.dumps(value, sort_keys=True)


def _nested_lines(label: str, key: str, before: list[Json], after: list[Json]) -> list[str]:
    left = {entry_identity(entry): entry for entry in before}
    right = {entry_identity(entry): entry for entry in after}
    identities = [*left, *(identity for identity in right if identity not in left)]
    prefix = "" if label == "configuration" else f"{label} "
    lines: list[str] = []
    for identity in identities:
        if left.get(identity) == right.get(identity):
            continue
        name = "/".join(part for part in identity or () if part)
        entry_label = f"{prefix}{_SINGULAR.get(key, key)} {name}"
        lines += _entry_lines(entry_label, left.get(identity), right.get(identity))
    return lines
