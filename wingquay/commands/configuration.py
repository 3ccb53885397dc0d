"""``wingquay configuration``: show revisions, their history and what differs between them."""

from wingquay.commands.operator_session import run_command
from wingquay.commands.operator_text import configuration_text, diff_text, history_text
from wingquay.model.identifiers import Revision
from wingquay.ports.operator import DiffConfigurations, ShowConfiguration, ShowHistory


class command:  # noqa: N801 - looked up by this name
    """Show the configuration in force, earlier revisions, and who confirmed what."""

    async def show(
        self,
        revision: int | None = None,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """Show the configuration in force, or an earlier revision.

        Parameters
        ----------
        revision
            An earlier revision.
        server
            IP:PORT where a node serves operators.
        token_file
            File with the operator's token.
        json
            Print the reply as it came.
        """
        wanted = ShowConfiguration(revision=None if revision is None else Revision(revision))
        return await run_command(wanted, configuration_text, server, token_file, json)

    async def history(
        self,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """List who confirmed what and when, oldest first."""
        return await run_command(ShowHistory(), history_text, server, token_file, json)

    async def diff(
        self,
        from_revision: int,
        to_revision: int | None = None,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """Compare two revisions; without a second one, with the revision in force."""
        wanted = DiffConfigurations(
            from_revision=Revision(from_revision),
            to_revision=None if to_revision is None else Revision(to_revision),
        )
        return await run_command(wanted, diff_text, server, token_file, json)
