"""Reads the tenants of the operator's configuration document.

One rule for what cannot be used: the document as a whole is refused, with one line that names the
field, its value and what is allowed, and the configuration before it goes on. To leave out only the
tenant at fault would turn its callers away, and to leave out a field would change who may call. A
key stands in no such line: the tenant's name and the key's position do.
"""

import math
import re
from collections.abc import Mapping
from typing import Any

from ..model.tenants import Tenant, TenantDirectory
from .field_refused import FieldRefusedError

GREATEST_PRIORITY = 2**32 - 1
"""What a message to another node can hold."""
MOST_CHARACTERS_TOLD = 80
"""Of a value that is refused, in the log."""
_HEADER_TEXT = re.compile(r"[!-~]([ -~]*[!-~])?")
"""A tenant's name goes to replicas in a header."""
_KINDS = {
    bool: "true or false",
    dict: "an object",
    float: "a number",
    int: "a number",
    list: "a list",
    str: "a text",
    type(None): "null",
}
"""What a value is, for lines that must not show it."""

Document = Mapping[str, Any]


def read_tenants(document: Document) -> TenantDirectory | None:
    """Return the tenants of a configuration; ``None``: it has no such field.

    Raises
    ------
    FieldRefusedError
        If a field cannot be used.
    """
    if "tenants" not in document:
        return None
    entries = document["tenants"]
    if not isinstance(entries, list):
        raise FieldRefusedError("tenants", _kind(entries), "a list of tenants")
    tenants = tuple(_tenant(entry, position) for position, entry in enumerate(entries))
    _refuse_shared_names(tenants)
    _refuse_shared_keys(tenants)
    return TenantDirectory(tenants)


def _tenant(entry: object, position: int) -> Tenant:
    place = f"tenants[{position}]"
    if not isinstance(entry, dict):
        raise FieldRefusedError(place, _kind(entry), "an object")
    name = entry.get("name")
    if not isinstance(name, str) or not _HEADER_TEXT.fullmatch(name):
        allowed = "a text of visible ASCII signs, with spaces between them only"
        raise FieldRefusedError(f"{place}.name", _told(name), allowed)
    of_tenant = f"of tenant {name!r}"
    return Tenant(
        name,
        _keys(entry.get("apiKeys"), of_tenant),
        _priority(entry.get("priority"), f"priority {of_tenant}"),
        _number(entry.get("ratePerS"), f"ratePerS {of_tenant}"),
        _number(entry.get("burst"), f"burst {of_tenant}"),
    )


def _keys(given: object, of_tenant: str) -> tuple[str, ...]:
    """Return a tenant's keys; it may have none, since the last one can be taken away."""
    if given is None:
        return ()
    if not isinstance(given, list):
        raise FieldRefusedError(f"apiKeys {of_tenant}", _kind(given), "a list of texts")
    for position, key in enumerate(given):
        if not isinstance(key, str) or not key.strip():
            kind = "an empty text" if isinstance(key, str) else _kind(key)
            name = f"apiKeys[{position}] {of_tenant}"
            raise FieldRefusedError(name, kind, "a text that is not empty")
    return tuple(given)


def _priority(given: object, name: str) -> int | None:
    if given is None:
        return None
    if isinstance(given, bool) or not isinstance(given, int) or not 0 <= given <= GREATEST_PRIORITY:
        raise FieldRefusedError(name, _told(given), f"a whole number from 0 to {GREATEST_PRIORITY}")
    return given


def _number(given: object, name: str) -> float:
    if given is None:
        return 0.0
    is_number = isinstance(given, int | float) and not isinstance(given, bool)
    if not is_number or not math.isfinite(given) or given < 0:  # type: ignore[arg-type,operator]
        raise FieldRefusedError(name, _told(given), "a finite number from 0 on")
    return float(given)  # type: ignore[arg-type]


def _refuse_shared_names(tenants: tuple[Tenant, ...]) -> None:
    positions: dict[str, int] = {}
    for position, tenant in enumerate(tenants):
        first = positions.setdefault(tenant.name, position)
        if first != position:
            allowed = f"a name that no other tenant has; tenants[{first}] has it"
            raise FieldRefusedError(f"tenants[{position}].name", repr(tenant.name), allowed)


def _refuse_shared_keys(tenants: tuple[Tenant, ...]) -> None:
    holders: dict[str, str] = {}
    for tenant in tenants:
        for position, key in enumerate(tenant.keys):
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                name = f"apiKeys[{position}] of tenant {tenant.name!r}"
                given = f"a key of tenant {holder!r}"
                raise FieldRefusedError(name, given, "a key that no other tenant holds")


def _kind(given: object) -> str:
    return _KINDS.get(type(given), "of another type")


def _told(given: object) -> str:
    return repr(given)[:MOST_CHARACTERS_TOLD]
