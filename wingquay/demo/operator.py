"""The demonstration's operator: states intents, confirms plans, sees them in force everywhere."""

import asyncio
import time
from typing import Any

from ..adapters.operator_client import OperatorClient
from ..adapters.settings import Endpoint
from ..model.configuration import Configuration
from ..model.failure import Failure
from ..model.intent import (
    Intent,
    SetCaller,
    SetClass,
    SetDeployment,
    SetService,
)
from ..ports.operator import ConfirmPlan, OperatorMessage, ProposePlan, ShowStatus

IN_FORCE_LIMIT_SECONDS = 5.0
IN_FORCE_CHECK_SECONDS = 0.02


class OperatorCommandError(Exception):
    """A command of the demonstration had no result."""


class DemoOperator:
    """Speaks to the operator interfaces of all nodes.

    Parameters
    ----------
    addresses
        Operator interfaces of the nodes; commands go to the first one.
    """

    def __init__(self, addresses: list[Endpoint], token: str) -> None:
        self._clients = [OperatorClient(entry.host, entry.port, token) for entry in addresses]

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            await client.close()

    async def propose(self, intents: tuple[Intent, ...]) -> dict[str, Any]:
        """Return the plan that the intents lead to.

        Raises
        ------
        OperatorCommandError
            The node gave no plan.
        """
        result = await self._send(self._clients[0], ProposePlan(intents=intents))
        plan: dict[str, Any] = result["plan"]
        return plan

    async def confirm(self, plan_id: str) -> float:
        """Confirm a plan; return the seconds until it was in force on every node.

        Raises
        ------
        OperatorCommandError
            The confirm did not land, or was not in force in time.
        """
        result = await self._send(self._clients[0], ConfirmPlan(plan_id=plan_id))
        confirmed_at = time.perf_counter()
        moments = await asyncio.gather(
            *(
                self._in_force_at(client, result["revision"], confirmed_at + IN_FORCE_LIMIT_SECONDS)
                for client in self._clients
            )
        )
        return max(0.0, max(moments) - confirmed_at)

    async def _in_force_at(self, client: OperatorClient, revision: int, limit_at: float) -> float:
        """Return when a revision came into force on a node, on the clock of ``perf_counter``."""
        while time.perf_counter() < limit_at:
            state = await self._send(client, ShowStatus())
            if (state["revision"] or 0) >= revision:
                return time.perf_counter() - float(state["in_force_since_seconds"])
            await asyncio.sleep(IN_FORCE_CHECK_SECONDS)
        raise OperatorCommandError(
            f"revision {revision} is not in force on every node after {IN_FORCE_LIMIT_SECONDS:g} s"
        )

    async def _send(self, client: OperatorClient, command: OperatorMessage) -> dict[str, Any]:
        reply = await client.send(command)
        if isinstance(reply, Failure):
            raise OperatorCommandError(reply.reason)
        if reply.is_problem:
            raise OperatorCommandError(str(reply.document.get("detail", reply.document)))
        return reply.document


def intents_for(configuration: Configuration) -> tuple[Intent, ...]:
    """Return the intents that lead from nothing to ``configuration``."""
    return (
        *(SetDeployment(deployment=entry) for entry in configuration.deployments),
        *(
            SetClass(name=entry.name, price=entry.price, promise_seconds=entry.promise_seconds)
            for entry in configuration.classes
        ),
        *(SetService(service=entry) for entry in configuration.services),
        *(SetCaller(caller=entry) for entry in configuration.callers),
    )


def effect_lines(plan: dict[str, Any]) -> str:
    """Return who gains and who loses by a plan, in a few words."""
    return "; ".join(
        f"{effect['kind']}: {_class_of(effect['before'])} -> {_class_of(effect['after'])} "
        f"({effect['direction']})"
        for effect in plan["effects"]
    )


def _class_of(terms: dict[str, Any] | None) -> str:
    return "none" if terms is None else str(terms["class_name"])
