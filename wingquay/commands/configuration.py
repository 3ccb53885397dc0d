"""``wingquay configuration``: show revisions, their history and what differs between them."""

from ..model.identifiers import Revision
from ..ports.operator import DiffConfigurations, ShowConfiguration, ShowHistory
from .operator_session import OperatorSession
from .operator_text import configuration_text, diff_text, history_text


class command:  # noqa: N801 - looked up by this name
    """Show the configuration in force, earlier revisions, and who confirmed what."""

    async def show(self, revision: int | None = None, *, session: OperatorSession) -> int:
        """Show the configuration in force, or an earlier revision.

        Parameters
        ----------
        revision
            An earlier revision.
        """
        wanted = ShowConfiguration(revision=None if revision is None else Revision(revision))
        return await session.run(wanted, configuration_text)

    async def history(self, *, session: OperatorSession) -> int:
        """List who confirmed what and when, oldest first."""
        return await session.run(ShowHistory(), history_text)

    async def diff(
        self, from_revision: int, to_revision: int | None = None, *, session: OperatorSession
    ) -> int:
        """Compare two revisions; without a second one, with the revision in force."""
        wanted = DiffConfigurations(
            from_revision=Revision(from_revision),
            to_revision=None if to_revision is None else Revision(to_revision),
        )
        return await session.run(wanted, diff_text)
