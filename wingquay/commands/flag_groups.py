"""Flags that several commands share, written once as a dataclass.

A command that has a parameter whose type is a dataclass takes one flag for each field of it, after
its own flags. The dataclass's doc comment explains them in the command's help.
"""

import dataclasses
import inspect
from collections.abc import Callable, Mapping
from typing import Any, get_type_hints

_SECTION = "Parameters\n----------\n"


class FlagGroups:
    """The parameters of a command that stand for several flags each.

    Parameters
    ----------
    function
        The command.
    """

    def __init__(self, function: Callable[..., Any]) -> None:
        self._function = function
        self._signature = inspect.signature(function)
        kinds = get_type_hints(function)
        kinds.pop("return", None)
        self._groups: dict[str, type[Any]] = {
            name: kind
            for name, kind in kinds.items()
            if isinstance(kind, type) and dataclasses.is_dataclass(kind)
        }
        self._own_kinds = {name: kind for name, kind in kinds.items() if name not in self._groups}

    @property
    def kinds(self) -> dict[str, Any]:
        """The type of each flag."""
        kinds = dict(self._own_kinds)
        for group in self._groups.values():
            kinds |= get_type_hints(group)
        return kinds

    @property
    def signature(self) -> inspect.Signature:
        """The command's parameters with the flags of its groups in place of the groups."""
        own = [
            parameter
            for name, parameter in self._signature.parameters.items()
            if name not in self._groups
        ]
        shared = [
            parameter
            for group in self._groups.values()
            for parameter in inspect.signature(group).parameters.values()
        ]
        return self._signature.replace(parameters=own + shared)

    @property
    def documentation(self) -> str:
        """The command's doc comment, with the flags of its groups."""
        text = inspect.getdoc(self._function) or ""
        for group in self._groups.values():
            _, _, entries = (inspect.getdoc(group) or "").partition(_SECTION)
            start = "\n" if _SECTION in text else f"\n\n{_SECTION}"
            text += f"{start}{entries}"
        return text

    def bind(self, arguments: Mapping[str, Any]) -> inspect.BoundArguments:
        """Return the command's arguments, given all its flags by name."""
        remaining = dict(arguments)
        for name, group in self._groups.items():
            fields = dataclasses.fields(group)
            remaining[name] = group(**{field.name: remaining.pop(field.name) for field in fields})
        return self._signature.bind(**remaining)
