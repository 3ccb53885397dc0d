"""``wingquay status``: what a node knows of revisions, zones, nodes and the store."""

from wingquay.commands.operator_session import OperatorSession
from wingquay.commands.operator_text import status_text
from wingquay.ports.operator import ShowStatus


async def command(*, session: OperatorSession) -> int:
    """Show what a node knows of revisions, zones, nodes and the store."""
    return await session.run(ShowStatus(), status_text)
