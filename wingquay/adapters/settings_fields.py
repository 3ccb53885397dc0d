"""What each setting means and allows, read from the models: for the document and for errors."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, get_args

from annotated_types import Ge, Gt, Le, Lt
from pydantic import BaseModel, SecretStr
from pydantic.fields import FieldInfo

UNITS_BY_SUFFIX = {
    "_seconds": "seconds",
    "_bytes": "bytes",
    "_seconds_per_node": "seconds",
    "_ratio": "ratio",
    "_share": "ratio",
}


@dataclass(frozen=True, slots=True)
class FieldDescription:
    """One setting as documented.

    Parameters
    ----------
    path
        Section and name, as ``section.name``.
    default
        The default as TOML, or ``None`` if the setting is required.
    example
        A value as TOML for the example file.
    """

    path: str
    description: str
    unit: str
    allowed: str
    default: str | None
    example: str
    secret: bool

    @property
    def name(self) -> str:
        """The name within its section."""
        return self.path.rpartition(".")[2]


def section_models(settings: type[BaseModel]) -> dict[str, type[BaseModel]]:
    """Return the sections by name, in the order they are declared."""
    models: dict[str, type[BaseModel]] = {}
    for name, info in settings.model_fields.items():
        if isinstance(info.annotation, type) and issubclass(info.annotation, BaseModel):
            models[name] = info.annotation
    return models


def entry_model(info: FieldInfo) -> type[BaseModel] | None:
    """Return the model of the entries if the setting is a list of tables."""
    for argument in get_args(info.annotation):
        if isinstance(argument, type) and issubclass(argument, BaseModel):
            return argument
    return None


def describe(section: str, model: type[BaseModel]) -> Iterator[FieldDescription]:
    """Yield the settings of one section, entries of lists of tables included."""
    for name, info in model.model_fields.items():
        path = f"{section}.{name}"
        entries = entry_model(info)
        if entries is None:
            yield _describe_field(path, info)
        else:
            yield from describe(path, entries)


def describe_all(settings: type[BaseModel]) -> dict[str, FieldDescription]:
    """Return every setting by its path."""
    descriptions: dict[str, FieldDescription] = {}
    for section, model in section_models(settings).items():
        for description in describe(section, model):
            descriptions[description.path] = description
    return descriptions


def as_toml(value: object) -> str:
    """Return a scalar or a list of scalars as TOML."""
    if isinstance(value, Enum):
        return as_toml(value.value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list | tuple):
        return "[" + ", ".join(as_toml(item) for item in value) + "]"
    return str(value)


def _describe_field(path: str, info: FieldInfo) -> FieldDescription:
    default = None if info.is_required() else as_toml(info.default)
    example = as_toml(info.examples[0]) if info.examples else default
    return FieldDescription(
        path=path,
        description=info.description or "",
        unit=_unit(path, info),
        allowed=_allowed(info),
        default=default,
        example=example or '""',
        secret=info.annotation is SecretStr,
    )


def _extra(info: FieldInfo) -> dict[str, Any]:
    extra = info.json_schema_extra
    return extra if isinstance(extra, dict) else {}


def _unit(path: str, info: FieldInfo) -> str:
    if "unit" in _extra(info):
        return str(_extra(info)["unit"])
    for suffix, unit in UNITS_BY_SUFFIX.items():
        if path.endswith(suffix):
            return unit
    return ""


def _allowed(info: FieldInfo) -> str:
    if "allowed" in _extra(info):
        text = str(_extra(info)["allowed"])
        is_list = str(info.annotation).startswith("tuple") and not text.startswith("a list")
        return f"a list, each {text}" if is_list else text
    kind = info.annotation
    if isinstance(kind, type) and issubclass(kind, Enum):
        return "one of " + ", ".join(as_toml(member) for member in kind)
    if kind is bool:
        return "true or false"
    if kind in (int, float):
        return ("a whole number" if kind is int else "a number") + _bounds(info)
    return "text"


def _bounds(info: FieldInfo) -> str:
    parts: list[str] = []
    for constraint in info.metadata:
        if isinstance(constraint, Ge):
            parts.append(f"at least {_number(constraint.ge)}")
        elif isinstance(constraint, Gt):
            parts.append(f"above {_number(constraint.gt)}")
        elif isinstance(constraint, Le):
            parts.append(f"at most {_number(constraint.le)}")
        elif isinstance(constraint, Lt):
            parts.append(f"below {_number(constraint.lt)}")
    return " " + " and ".join(parts) if parts else ""


def _number(value: object) -> str:
    return str(value).removesuffix(".0")
