"""``wingquay plan``: show, list, confirm or discard plans."""

from wingquay.commands.operator_session import run_command
from wingquay.commands.operator_text import (
    confirm_text,
    discard_text,
    plan_list_text,
    plan_text,
)
from wingquay.ports.operator import ConfirmPlan, DiscardPlan, ListPlans, ShowPlan


class command:  # noqa: N801 - looked up by this name
    """Show, list, confirm or discard plans."""

    async def show(
        self,
        plan_id: str,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """Show a plan.

        Parameters
        ----------
        plan_id
            The plan's id, as `wingquay intent` printed it.
        server
            IP:PORT where a node serves operators.
        token_file
            File with the operator's token.
        json
            Print JSON.
        """
        return await run_command(ShowPlan(plan_id=plan_id), plan_text, server, token_file, json)

    async def list(
        self,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """List the plans that can be confirmed."""
        return await run_command(ListPlans(), plan_list_text, server, token_file, json)

    async def confirm(
        self,
        plan_id: str,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """Let a plan take effect; doing so again changes nothing more."""
        wanted = ConfirmPlan(plan_id=plan_id)
        return await run_command(wanted, confirm_text, server, token_file, json)

    async def discard(
        self,
        plan_id: str,
        server: str | None = None,
        token_file: str | None = None,
        json: bool = False,
    ) -> int:
        """Forget a plan."""
        wanted = DiscardPlan(plan_id=plan_id)
        return await run_command(wanted, discard_text, server, token_file, json)
