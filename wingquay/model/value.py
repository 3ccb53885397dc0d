"""Immutable value classes that are cheap to define and to construct.

Frozen dataclasses set each field through ``object.__setattr__``, which makes construction several
times slower, and their definition compiles six methods. Messages of the query path are constructed
for every sub-request, and all of them are defined at process start. Therefore ``mypy --strict``
enforces immutability instead, and all values share one implementation of comparison, hash and
``repr``. Values compare and hash by their fields, like frozen dataclasses. Fields declared with
``field(repr=False)`` hold secrets and are left out of ``repr``, so that they do not appear in logs.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

Value = TypeVar("Value")


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value(decorated: type[Value]) -> type[Value]:
    """Make ``decorated`` a dataclass with slots whose fields must not be reassigned."""
    value_class = dataclass(slots=True, repr=False, eq=False)(decorated)
    names: tuple[str, ...] = value_class.__match_args__  # type: ignore[attr-defined]
    key = _field_getter(names)
    repr_fields = tuple(item.name for item in fields(value_class) if item.repr)  # type: ignore[arg-type]

    def is_equal(self: Value, other: object) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return key(self) == key(other)

    def value_hash(self: Value) -> int:
        return hash(key(self))

    def value_repr(self: Value) -> str:
        shown = ", ".join(f"{name}={getattr(self, name)!r}" for name in repr_fields)
        return f"{type(self).__qualname__}({shown})"

    value_class.__eq__ = is_equal  # type: ignore[assignment]
    value_class.__hash__ = value_hash  # type: ignore[assignment]
    value_class.__repr__ = value_repr  # type: ignore[assignment]
    return value_class


def _field_getter(names: tuple[str, ...]) -> Callable[[Any], object]:
    """Return a function that returns the fields of a value."""
    if not names:
        return lambda _: ()
    return attrgetter(*names)
