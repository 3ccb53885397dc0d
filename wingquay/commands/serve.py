"""``wingquay serve``: run a node."""

import sys
from pathlib import Path

from ..adapters.settings import parse_endpoint
from ..adapters.settings_check import SettingsErrors, read_settings
from ..serving import serve
from .exit_codes import USAGE

_LISTEN_FLAGS = {
    "callers": "caller_interface",
    "operators": "operator_interface",
    "peers": "peers",
}
"""Flags that override where a section listens."""


async def command(
    settings: str,
    callers: str | None = None,
    operators: str | None = None,
    peers: str | None = None,
    name: str | None = None,
    zone: str | None = None,
) -> int:
    """Run a node until SIGTERM or SIGINT, then stop without cutting requests off.

    The first signal begins the planned stop: the readiness page says so, nothing new is taken,
    and the process ends when nothing is in flight any more (exit code 0). A second signal ends
    it at once and says what was cut off (exit code 1). Logs go to the standard error stream.

    Parameters
    ----------
    settings
        The settings file (TOML); see "wingquay settings example".
    callers
        Address for callers, such as 10.0.0.1:7400, in place of the file's.
    operators
        Address for operators, in place of the file's.
    peers
        Address for peers, in place of the file's.
    name
        Name of the machine, in place of the file's.
    zone
        Zone of the machine, in place of the file's.
    """
    try:
        text = Path(settings).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _refuse([f"{settings}: cannot be read: {error}"])
    given = {"callers": callers, "operators": operators, "peers": peers}
    overrides, errors = _listen_overrides(given)
    node_overrides: dict[str, object] = {}
    if name is not None:
        node_overrides["name"] = name
    if zone is not None:
        node_overrides["zone"] = zone
    if node_overrides:
        overrides["node"] = node_overrides
    checked = read_settings(text, overrides)
    if isinstance(checked, SettingsErrors):
        errors += [f"{settings}: {line}" for line in checked.lines]
    if errors or isinstance(checked, SettingsErrors):
        return _refuse(errors)
    return await serve(checked)


def _listen_overrides(
    given: dict[str, str | None],
) -> tuple[dict[str, dict[str, object]], list[str]]:
    overrides: dict[str, dict[str, object]] = {}
    errors: list[str] = []
    for flag, address in given.items():
        if address is None:
            continue
        try:
            endpoint = parse_endpoint(address)
        except ValueError:
            errors.append(f"--{flag}: {address!r} is not allowed; must be such as 10.0.0.1:7400")
            continue
        overrides[_LISTEN_FLAGS[flag]] = {"host": endpoint.host, "port": endpoint.port}
    return overrides, errors


def _refuse(lines: list[str]) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return USAGE
