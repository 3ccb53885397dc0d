"""Immutable values that are cheap to define and to make.

A frozen dataclass sets each field through ``object.__setattr__``, which makes one of 15 fields
eight times dearer than a plain one, and its definition compiles six methods. The messages of the
query path are made for every sub-request, and a process that starts defines them all before it
serves. So the type checker keeps values immutable instead (``mypy --strict`` refuses every
assignment to a field), and all values share their comparison, hash and text. They compare and hash
by their fields, as frozen dataclasses do; the text leaves out fields that are made with
``field(repr=False)``: secrets, which must not come into a log.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

Value = TypeVar("Value")


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value(decorated: type[Value]) -> type[Value]:
    """Make ``decorated`` a dataclass with slots whose fields must not be assigned to."""
    made = dataclass(slots=True, repr=False, eq=False)(decorated)
    names: tuple[str, ...] = made.__match_args__  # type: ignore[attr-defined]
    key = _key_of(names)
    shown = tuple(item.name for item in fields(made) if item.repr)  # type: ignore[arg-type]

    def is_equal(self: Value, other: object) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return key(self) == key(other)

    def hash_of(self: Value) -> int:
        return hash(key(self))

    def text_of(self: Value) -> str:
        pairs = ", ".join(f"{name}={getattr(self, name)!r}" for name in shown)
        return f"{type(self).__qualname__}({pairs})"

    made.__eq__ = is_equal  # type: ignore[assignment]
    made.__hash__ = hash_of  # type: ignore[assignment]
    made.__repr__ = text_of  # type: ignore[assignment]
    return made


def _key_of(names: tuple[str, ...]) -> Callable[[Any], object]:
    """Return a function that gives the fields of a value."""
    if not names:
        return lambda _: ()
    return attrgetter(*names)
