"""Checks settings and reports all errors at once, one line each."""

import ipaddress
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from pydantic import ValidationError

from .settings import Endpoint, Settings, parse_endpoint
from .settings_contradictions import contradictions
from .settings_fields import (
    FieldDescription,
    describe_all,
    section_models,
)
from .settings_tuning import COMPLETE_SETTINGS

LISTENERS = ("caller_interface", "operator_interface", "peers")
"""Sections that give a ``host`` and a ``port`` to listen on."""

_LONGEST_VALUE = 80


@dataclass(frozen=True, slots=True)
class SettingsErrors:
    """Why settings were refused: one line each, naming setting, value and what is allowed."""

    lines: tuple[str, ...]


def read_settings(
    text: str,
    overrides: Mapping[str, Mapping[str, object]] | None = None,
) -> Settings | SettingsErrors:
    """Return the settings in a TOML text, or all that is wrong with them.

    Parameters
    ----------
    overrides
        Values by section and name that replace those of the text (from flags).
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return SettingsErrors((f"not a TOML file: {error}",))
    for section, values in (overrides or {}).items():
        table = data.setdefault(section, {})
        if isinstance(table, dict):
            table.update(values)
    return check_settings(data)


def check_settings(data: Mapping[str, object]) -> Settings | SettingsErrors:
    """Return the settings in ``data`` (parsed TOML), or all that is wrong with them."""
    lines: list[str] = []
    settings: Settings | None = None
    try:
        settings = COMPLETE_SETTINGS.model_validate_json(orjson.dumps(data))
    except ValidationError as error:
        lines += _field_errors(error)
    except TypeError as error:
        lines.append(f"settings hold a value that is not allowed: {error}")
    lines += _repeated_addresses(data)
    wrong_paths = frozenset(line.partition(":")[0] for line in lines)
    lines += contradictions(data, wrong_paths)
    if settings is None or lines:
        return SettingsErrors(tuple(lines))
    return settings


def _field_errors(error: ValidationError) -> list[str]:
    descriptions = describe_all(COMPLETE_SETTINGS)
    lines: list[str] = []
    for details in error.errors():
        location = details["loc"]
        shown = _shown_path(location)
        names = [str(part) for part in location if isinstance(part, str)]
        description = descriptions.get(".".join(names))
        line = _error_line(shown, names, details["type"], details["input"], description)
        if line not in lines:
            lines.append(line)
    return lines


def _shown_path(location: tuple[int | str, ...]) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".")


def _error_line(
    shown: str,
    names: list[str],
    error_type: str,
    value: object,
    description: FieldDescription | None,
) -> str:
    if error_type == "missing":
        allowed = description.allowed if description else "a section"
        return f"{shown}: missing; must be {allowed}"
    if error_type == "extra_forbidden":
        return f"{shown}: unknown setting; known here: {', '.join(_known_names(names[:-1]))}"
    if description is None:
        return f"{shown}: {_shown_value(value)} is not allowed; must be a section"
    text = "the value given" if description.secret else _shown_value(value)
    return f"{shown}: {text} is not allowed; must be {description.allowed}"


def _shown_value(value: object) -> str:
    text = orjson.dumps(value, default=str).decode()
    return text if len(text) <= _LONGEST_VALUE else text[:_LONGEST_VALUE] + "..."


def _known_names(section: list[str]) -> list[str]:
    if not section:
        return list(section_models(COMPLETE_SETTINGS))
    prefix = ".".join(section) + "."
    paths = [path for path in describe_all(COMPLETE_SETTINGS) if path.startswith(prefix)]
    return list(dict.fromkeys(path.removeprefix(prefix).partition(".")[0] for path in paths))


def _repeated_addresses(data: Mapping[str, object]) -> list[str]:
    """Return a line for each address that is given twice; malformed ones are left out."""
    lines: list[str] = []
    seen: list[tuple[str, Endpoint]] = []
    for path, endpoint in _given_addresses(data):
        first = next((known for known, other in seen if _same_address(endpoint, other)), None)
        if first is not None and not _own_seed(first, path):
            lines.append(
                f"{path}: {endpoint.host}:{endpoint.port} is given twice, first in {first}; "
                "must be an address of its own"
            )
        seen.append((path, endpoint))
    return lines


def _own_seed(first: str, second: str) -> bool:
    """Whether a seed names the node itself, so that all nodes can share one list of seeds."""
    return first == "peers" and second.startswith("peers.seeds")


def _same_address(one: Endpoint, other: Endpoint) -> bool:
    if one.port != other.port:
        return False
    wildcard = any(ipaddress.ip_address(host).is_unspecified for host in (one.host, other.host))
    return wildcard or one.host == other.host


def _given_addresses(data: Mapping[str, object]) -> Iterator[tuple[str, Endpoint]]:
    models = section_models(COMPLETE_SETTINGS)
    for section in LISTENERS:
        table = _table(data, section)
        port = table.get("port", models[section].model_fields["port"].default)
        endpoint = _endpoint_or_none(f"{_bracketed(table.get('host'))}:{port}")
        if endpoint is not None:
            yield section, endpoint
    for section, name in (
        ("peers", "seeds"),
        ("store", "endpoints"),
        ("machine_directory", "endpoints"),
    ):
        given = _table(data, section).get(name)
        for index, text in enumerate(given if isinstance(given, list) else []):
            endpoint = _endpoint_or_none(str(text))
            if endpoint is not None:
                yield f"{section}.{name}[{index}]", endpoint


def _table(data: Mapping[str, object], section: str) -> Mapping[str, Any]:
    table = data.get(section)
    return table if isinstance(table, dict) else {}


def _bracketed(host: object) -> str:
    return f"[{host}]" if ":" in str(host) else str(host)


def _endpoint_or_none(text: str) -> Endpoint | None:
    try:
        return parse_endpoint(text)
    except ValueError:
        return None
