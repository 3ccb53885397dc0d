"""Immutable values that are cheap to make.

A frozen dataclass sets each field through ``object.__setattr__``, which makes one of 15 fields
eight times dearer than a plain one. The messages of the query path are made for every
sub-request, so the type checker keeps them immutable instead: ``mypy --strict`` refuses every
assignment to a field. They compare and hash by their fields, as frozen ones do.
"""

from dataclasses import dataclass, field
from typing import TypeVar, dataclass_transform

Value = TypeVar("Value")


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value(decorated: type[Value]) -> type[Value]:
    """Make ``decorated`` a dataclass with slots whose fields must not be assigned to."""
    return dataclass(slots=True, unsafe_hash=True)(decorated)
