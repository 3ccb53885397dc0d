"""What operators can ask for: intents, as strictly checked data.

An intent says what should become true; a plan says what that would change. Unknown fields are
refused, at any depth: a misspelt field must not be silently ignored. Source: brief, "The product".
"""

from collections.abc import Callable
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .configuration import Caller, Deployment, Service, Shard
from .identifiers import (
    CallerName,
    ClassName,
    DeploymentName,
    RequestKindName,
    Revision,
    ServiceName,
)

TOP_CLASS = "top"
"""Stands for the class with the greatest price when the plan is made."""

LOWEST_CLASS = "lowest"
"""Stands for the class with the smallest price when the plan is made."""

RESERVED_CLASS_NAMES = (TOP_CLASS, LOWEST_CLASS)

Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]*$")]
"""Names that operators may give to new things."""


def unknown_paths(given: object, understood: object, path: str = "") -> list[str]:
    """Return the paths of the keys in ``given`` that have no counterpart in ``understood``."""
    if isinstance(given, dict) and isinstance(understood, dict):
        return [
            found
            for key, value in given.items()
            for found in _unknown_in_entry(key, value, understood, path)
        ]
    if isinstance(given, list | tuple) and isinstance(understood, list | tuple):
        pairs = enumerate(zip(given, understood, strict=False))
        return [
            found
            for index, (left, right) in pairs
            for found in unknown_paths(left, right, f"{path}[{index}]")
        ]
    return []


def _unknown_in_entry(
    key: object, value: object, understood: dict[Any, Any], path: str
) -> list[str]:
    entry_path = f"{path}.{key}" if path else str(key)
    if key not in understood:
        return [entry_path]
    return unknown_paths(value, understood[key], entry_path)


class _Intent(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")

    @model_validator(mode="wrap")
    @classmethod
    def _refuse_unknown_fields(cls, value: Any, handler: Callable[[Any], Any]) -> Any:
        parsed = handler(value)
        unknown = unknown_paths(value, parsed.model_dump(mode="json"))
        if unknown:
            raise ValueError(f"unknown fields: {', '.join(unknown)}")
        return parsed


class AssignClass(_Intent):
    """Serve a request kind, for one caller or (``None``) for all, in a class.

    ``class_name`` may be ``top`` or ``lowest``; the plan resolves and shows it.
    """

    intent: Literal["assign_class"] = "assign_class"
    service: ServiceName
    kind: RequestKindName
    class_name: ClassName
    deployment: DeploymentName
    caller: CallerName | None = None


class UnassignClass(_Intent):
    """Take back an assignment, so that the kind's own class counts again."""

    intent: Literal["unassign_class"] = "unassign_class"
    service: ServiceName
    kind: RequestKindName
    caller: CallerName | None = None


class SetClass(_Intent):
    """Create a priority class or change its price and promise."""

    intent: Literal["set_class"] = "set_class"
    name: Name
    price: float = Field(gt=0, le=1e6)
    promise_seconds: float = Field(gt=0, le=600)


class RemoveClass(_Intent):
    """Remove a class that nothing uses any more."""

    intent: Literal["remove_class"] = "remove_class"
    name: ClassName


class SetService(_Intent):
    """Create a service or replace it, with its kinds, shards and replicas."""

    intent: Literal["set_service"] = "set_service"
    service: Service


class SetShards(_Intent):
    """Replace the shards, with their replicas, of a service that exists."""

    intent: Literal["set_shards"] = "set_shards"
    service: ServiceName
    shards: tuple[Shard, ...]


class RemoveService(_Intent):
    """Remove a service with its assignments, and strike it from callers' lists."""

    intent: Literal["remove_service"] = "remove_service"
    name: ServiceName


class SetCaller(_Intent):
    """Create a caller or replace it."""

    intent: Literal["set_caller"] = "set_caller"
    caller: Caller


class RemoveCaller(_Intent):
    """Remove a caller and the assignments made for it."""

    intent: Literal["remove_caller"] = "remove_caller"
    name: CallerName


class SetDeployment(_Intent):
    """Create a deployment or replace its zones."""

    intent: Literal["set_deployment"] = "set_deployment"
    deployment: Deployment


class RestoreRevision(_Intent):
    """Make everything as it was at an earlier revision; the revision number still grows."""

    intent: Literal["restore_revision"] = "restore_revision"
    revision: Revision


Intent = Annotated[
    AssignClass
    | UnassignClass
    | SetClass
    | RemoveClass
    | SetService
    | SetShards
    | RemoveService
    | SetCaller
    | RemoveCaller
    | SetDeployment
    | RestoreRevision,
    Field(discriminator="intent"),
]
"""Any intent; the field ``intent`` tells which."""
