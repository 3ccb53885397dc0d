"""Intents: the changes that operators can request, validated strictly.

An intent states a desired result; a plan shows the changes that it would cause. Unknown fields are
rejected at any depth, so that a misspelt field is not silently ignored.
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
"""Stands for the class with the highest price at the time of planning."""

LOWEST_CLASS = "lowest"
"""Stands for the class with the lowest price at the time of planning."""

RESERVED_CLASS_NAMES = (TOP_CLASS, LOWEST_CLASS)

Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]*$")]
"""Name that an operator may give to a new item."""


def unknown_paths(given: object, accepted: object, path: str = "") -> list[str]:
    """Return the paths of the keys in ``given`` that are missing from ``accepted``."""
    if isinstance(given, dict) and isinstance(accepted, dict):
        return [
            found
            for key, value in given.items()
            for found in _unknown_in_entry(key, value, accepted, path)
        ]
    if isinstance(given, list | tuple) and isinstance(accepted, list | tuple):
        pairs = enumerate(zip(given, accepted, strict=False))
        return [
            found
            for index, (left, right) in pairs
            for found in unknown_paths(left, right, f"{path}[{index}]")
        ]
    return []


def _unknown_in_entry(key: object, value: object, accepted: dict[Any, Any], path: str) -> list[str]:
    entry_path = f"{path}.{key}" if path else str(key)
    if key not in accepted:
        return [entry_path]
    return unknown_paths(value, accepted[key], entry_path)


class _Intent(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")

    @model_validator(mode="wrap")
    @classmethod
    def _reject_unknown_fields(cls, value: Any, handler: Callable[[Any], Any]) -> Any:
        parsed = handler(value)
        unknown = unknown_paths(value, parsed.model_dump(mode="json"))
        if unknown:
            raise ValueError(f"unknown fields: {', '.join(unknown)}")
        return parsed


class AssignClass(_Intent):
    """Assign a request kind to a class, for one caller or all (``None``).

    ``class_name`` may be ``top`` or ``lowest``; the plan shows the class that it resolves to.
    """

    intent: Literal["assign_class"] = "assign_class"
    service: ServiceName
    kind: RequestKindName
    class_name: ClassName
    deployment: DeploymentName
    caller: CallerName | None = None


class UnassignClass(_Intent):
    """Remove an assignment, so that the class of the request kind applies again."""

    intent: Literal["unassign_class"] = "unassign_class"
    service: ServiceName
    kind: RequestKindName
    caller: CallerName | None = None


class SetClass(_Intent):
    """Create a priority class, or change its price and promise."""

    intent: Literal["set_class"] = "set_class"
    name: Name
    price: float = Field(gt=0, le=1e6)
    promise_seconds: float = Field(gt=0, le=600)


class RemoveClass(_Intent):
    """Remove a class that is not in use."""

    intent: Literal["remove_class"] = "remove_class"
    name: ClassName


class SetService(_Intent):
    """Create or replace a service with its kinds, shards and replicas."""

    intent: Literal["set_service"] = "set_service"
    service: Service


class SetShards(_Intent):
    """Replace the shards and replicas of an existing service."""

    intent: Literal["set_shards"] = "set_shards"
    service: ServiceName
    shards: tuple[Shard, ...]


class RemoveService(_Intent):
    """Remove a service, its assignments and its entries in callers' lists of services."""

    intent: Literal["remove_service"] = "remove_service"
    name: ServiceName


class SetCaller(_Intent):
    """Create or replace a caller."""

    intent: Literal["set_caller"] = "set_caller"
    caller: Caller


class RemoveCaller(_Intent):
    """Remove a caller and its assignments."""

    intent: Literal["remove_caller"] = "remove_caller"
    name: CallerName


class SetDeployment(_Intent):
    """Create a deployment, or replace its zones."""

    intent: Literal["set_deployment"] = "set_deployment"
    deployment: Deployment


class RestoreRevision(_Intent):
    """Restore the contents of an earlier revision, under a new revision number."""

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
"""Any intent, discriminated by the field ``intent``."""
