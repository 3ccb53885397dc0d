"""``wingquay status``: what a node knows of revisions, zones, nodes and the store."""

from wingquay.commands.operator_session import run_command
from wingquay.commands.operator_text import status_text
from wingquay.ports.operator import ShowStatus


async def command(
    server: str | None = None,
    token_file: str | None = None,
    json: bool = False,
) -> int:
    """Show what a node knows of revisions, zones, nodes and the store.

    Parameters
    ----------
    server
        IP:PORT where a node serves operators.
    token_file
        File with the operator's token.
    json
        Print JSON.
    """
    return await run_command(ShowStatus(), status_text, server, token_file, json)
