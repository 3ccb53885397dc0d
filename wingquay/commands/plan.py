"""``wingquay plan``: show, list, confirm or discard plans."""

from ..ports.operator import ConfirmPlan, DiscardPlan, ListPlans, ShowPlan
from .operator_session import OperatorSession
from .operator_text import (
    confirm_text,
    discard_text,
    plan_list_text,
    plan_text,
)


class command:  # noqa: N801 - looked up by this name
    """Show, list, confirm or discard plans."""

    async def show(self, plan_id: str, *, session: OperatorSession) -> int:
        """Show a plan.

        Parameters
        ----------
        plan_id
            The plan's id, as `wingquay intent` printed it.
        """
        return await session.run(ShowPlan(plan_id=plan_id), plan_text)

    async def list(self, *, session: OperatorSession) -> int:
        """List the plans that can be confirmed."""
        return await session.run(ListPlans(), plan_list_text)

    async def confirm(self, plan_id: str, *, session: OperatorSession) -> int:
        """Let a plan take effect; doing so again changes nothing more."""
        wanted = ConfirmPlan(plan_id=plan_id)
        return await session.run(wanted, confirm_text)

    async def discard(self, plan_id: str, *, session: OperatorSession) -> int:
        """Forget a plan."""
        wanted = DiscardPlan(plan_id=plan_id)
        return await session.run(wanted, discard_text)
