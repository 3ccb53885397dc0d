"""``wingquay status``: what a node knows of revisions, zones, nodes and the store."""

from ..ports.operator import ShowStatus
from .operator_session import OperatorSession
from .operator_text import status_text


async def command(*, session: OperatorSession) -> int:
    """Show what a node knows of revisions, zones, nodes and the store."""
    return await session.run(ShowStatus(), status_text)
