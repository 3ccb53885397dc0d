"""Typed flags, and calls that wait until the whole command line has been understood.

``fire`` calls a function before it looks at what is left of the command line, so a misspelt flag
would be noticed after the command ran. Here the function that ``fire`` calls only records the
call; it is carried out once nothing is left over.
"""

import asyncio
import functools
import inspect
import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin

from fire import decorators
from fire.core import FireError

from .flag_groups import FlagGroups

# fire lists public attributes of functions in its help; its own mark is not for users.
decorators.FIRE_METADATA = "_fire_metadata"

_TRUE_WORDS = frozenset({"True", "true", "yes", "1"})
_FALSE_WORDS = frozenset({"False", "false", "no", "0"})


class Invocation:
    """A command with its arguments, not yet carried out."""

    __slots__ = ("_arguments", "_function")

    def __init__(self, function: Callable[..., Any], arguments: inspect.BoundArguments) -> None:
        self._function = function
        self._arguments = arguments


def carry_out(invocation: Invocation) -> int:
    """Run the command and return its exit code."""
    call = functools.partial(
        invocation._function,
        *invocation._arguments.args,
        **invocation._arguments.kwargs,
    )
    result = call()
    if inspect.iscoroutine(result):
        result = asyncio.run(result)
    return int(result or 0)


def deferred(command: Any) -> Any:
    """Return ``command`` (a function, or a class of subcommands) with calls only recorded."""
    if not inspect.isclass(command):
        return _deferred_function(command)
    group = command()
    members: dict[str, Any] = {"__doc__": command.__doc__}
    for name, method in inspect.getmembers(group, inspect.ismethod):
        if not name.startswith("_"):
            members[name] = staticmethod(_deferred_function(method))
    return type(command.__name__, (), members)()


def _deferred_function(function: Callable[..., Any]) -> Callable[..., Invocation]:
    groups = FlagGroups(function)
    signature = groups.signature

    @functools.wraps(function)
    def record(*arguments: Any, **flags: Any) -> Invocation:
        given = signature.bind(*arguments, **flags)
        given.apply_defaults()
        return Invocation(function, groups.bind(given.arguments))

    # fire reads the flags from the one and their meaning from the other.
    record.__signature__ = signature  # type: ignore[attr-defined]
    record.__doc__ = groups.documentation
    parsers = {name: _parser(name, kind) for name, kind in groups.kinds.items()}
    recorded: Callable[..., Invocation] = decorators.SetParseFns(**parsers)(record)
    return recorded


def _parser(name: str, kind: Any) -> Callable[[str], Any]:
    plain_kind = _without_none(kind)

    def parse(text: str) -> Any:
        try:
            return _convert(text, plain_kind)
        except ValueError:
            flag = name.replace("_", "-")
            message = f"--{flag}: {text!r} is not allowed; must be {_KIND_NAMES[plain_kind]}"
            raise FireError(message) from None

    return parse


_KIND_NAMES: dict[Any, str] = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def _without_none(kind: Any) -> Any:
    if get_origin(kind) not in (Union, types.UnionType):
        return kind
    return next(member for member in get_args(kind) if member is not type(None))


def _convert(text: str, kind: Any) -> Any:
    if kind is bool:
        if text in _TRUE_WORDS:
            return True
        if text in _FALSE_WORDS:
            return False
        raise ValueError(text)
    return kind(text)
