"""What the operators' commands have in common: where the node is, the token, how to print."""

import ipaddress
import json as json_module
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..adapters.operator_client import OperatorClient, OperatorReplyDocument
from ..model.failure import Failure
from ..ports.operator import OperatorMessage
from .exit_codes import FAILED, OK, USAGE

SERVER_VARIABLE = "WINGQUAY_OPERATOR_SERVER"
TOKEN_VARIABLE = "WINGQUAY_OPERATOR_TOKEN"
DEFAULT_SERVER = "127.0.0.1:7401"
LARGEST_PORT = 65535

Render = Callable[[dict[str, Any]], str]


@dataclass(frozen=True, slots=True)
class Access:
    """Where a node serves operators, and the operator's token."""

    host: str
    port: int
    token: str


def find_access(server: str | None, token_file: str | None) -> Access | str:
    """Return the access from flags, else from the environment; or what is wrong with it."""
    place = server or os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER)
    host, _, port = place.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"--server: {place!r} is not allowed; must be IP:PORT"
    if not port.isdigit() or not 0 < int(port) <= LARGEST_PORT:
        return f"--server: {place!r} is not allowed; the port must be from 1 to {LARGEST_PORT}"
    token = _find_token(token_file)
    if not token:
        return f"no token: give --token-file FILE or set {TOKEN_VARIABLE}"
    return Access(host.strip("[]"), int(port), token)


def _find_token(token_file: str | None) -> str:
    if token_file is None:
        return os.environ.get(TOKEN_VARIABLE, "").strip()
    return Path(token_file).read_text(encoding="utf-8").strip()


@dataclass(frozen=True, slots=True)
class OperatorSession:
    """Where and how an operator's command runs: flags that all such commands take.

    Parameters
    ----------
    server
        IP:PORT where a node serves operators.
    token_file
        File with the operator's token.
    json
        Print the node's reply as JSON.
    """

    server: str | None = None
    token_file: str | None = None
    json: bool = False

    async def run(self, command: OperatorMessage, render: Render) -> int:
        """Send a command, print its result as text or as JSON, and return the exit code."""
        try:
            access = find_access(self.server, self.token_file)
        except (OSError, UnicodeDecodeError) as error:
            return complain(f"--token-file: cannot be read: {error}", USAGE)
        if isinstance(access, str):
            return complain(access, USAGE)
        client = OperatorClient(access.host, access.port, access.token)
        try:
            reply = await client.send(command)
        finally:
            await client.close()
        if isinstance(reply, Failure):
            return complain(reply.reason, FAILED)
        return self._print(reply, render)

    def _print(self, reply: OperatorReplyDocument, render: Render) -> int:
        if self.json:
            print(json_module.dumps(reply.document, indent=2))
        elif not reply.is_problem:
            print(render(reply.document))
        if reply.is_problem:
            kind = str(reply.document.get("type", "")).rpartition("/")[2]
            return complain(f"{kind}: {reply.document.get('detail', '')}", FAILED)
        return OK


def complain(line: str, code: int) -> int:
    """Print one line on the standard error stream and return ``code``."""
    print(f"wingquay: {line}", file=sys.stderr)
    return code
