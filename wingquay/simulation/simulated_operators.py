"""Simulated operators: they propose plans and confirm them, at whichever node they reach."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..model.failure import Failure
from ..model.identifiers import OperatorName
from ..model.intent import Intent
from ..ports.operator import (
    ConfirmPlan,
    ConfirmResult,
    OperatorFailureKind,
    OperatorMessage,
    OperatorReply,
    OperatorRequest,
    PlanResult,
    ProposePlan,
)
from .configuration_oracle import ConfigurationOracle
from .network import CLIENTS, Network
from .simulated_node import SimulatedNode
from .virtual_clock import VirtualClock

UNIX_SECONDS_AT_START = 1.75e9
PATIENCE_SECONDS = 15.0
"""An operator who got no reply by then turns to another node."""
MOST_TRIES = 4

Result = OperatorMessage | Failure[OperatorFailureKind]
Landed = Callable[[], None]


@dataclass(slots=True, eq=False)
class Errand:
    """One change that one operator wants.

    Parameters
    ----------
    landed
        Called when the operator is told that it has taken effect.
    confirming
        Called when the operator sends a confirm.
    uncertain
        Whether an earlier confirm may have taken effect.
    """

    operator: OperatorName
    intents: tuple[Intent, ...]
    landed: Landed | None = None
    confirming: Landed | None = None
    plan_id: str | None = None
    tries: int = 0
    uncertain: bool = False
    done: bool = False


class SimulatedOperators:
    """Carries operators' commands and replies.

    Parameters
    ----------
    ready_nodes
        Returns the nodes that operators can reach.
    """

    def __init__(
        self,
        network: Network,
        clock: VirtualClock,
        oracle: ConfigurationOracle,
        ready_nodes: Callable[[], list[SimulatedNode]],
        random_source: Random,
    ) -> None:
        self.confirmed = 0
        self._network = network
        self._clock = clock
        self._oracle = oracle
        self._ready_nodes = ready_nodes
        self._random = random_source
        self._exchanges: dict[str, Errand] = {}
        self._exchange_number = 0

    def change(
        self,
        operator: str,
        intents: tuple[Intent, ...],
        landed: Landed | None = None,
        confirming: Landed | None = None,
    ) -> None:
        """Let an operator propose ``intents`` and confirm the plan."""
        self._proceed(Errand(OperatorName(operator), intents, landed, confirming))

    def reply(self, node: SimulatedNode, action: OperatorReply) -> None:
        """Carry a reply to its operator."""
        self._network.send(
            node.identity.zone, CLIENTS, self._receive, action.exchange_id, action.result
        )

    def _proceed(self, errand: Errand) -> None:
        nodes = self._ready_nodes()
        if errand.done or errand.tries >= MOST_TRIES or not nodes:
            return
        errand.tries += 1
        command: OperatorMessage = ProposePlan(intents=errand.intents)
        if errand.plan_id is not None:
            command = ConfirmPlan(plan_id=errand.plan_id)
            if errand.confirming is not None:
                errand.confirming()
        self._exchange_number += 1
        exchange_id = f"operator-exchange-{self._exchange_number}"
        self._exchanges[exchange_id] = errand
        unix_seconds = UNIX_SECONDS_AT_START + self._clock.now
        request = OperatorRequest(exchange_id, errand.operator, command, unix_seconds)
        node = self._random.choice(nodes)
        self._network.send(CLIENTS, node.identity.zone, node.deliver, request)
        self._clock.after(PATIENCE_SECONDS, self._give_up, exchange_id)

    def _give_up(self, exchange_id: str) -> None:
        errand = self._exchanges.pop(exchange_id, None)
        if errand is not None:
            errand.uncertain = errand.plan_id is not None
            self._proceed(errand)

    def _receive(self, exchange_id: str, result: Result) -> None:
        errand = self._exchanges.pop(exchange_id, None)
        if errand is None:
            return
        if isinstance(result, PlanResult):
            errand.plan_id = result.plan.plan_id
            self._proceed(errand)
        elif isinstance(result, ConfirmResult):
            self._finish(errand, result)
        elif isinstance(result, Failure):
            self._fail(errand, result.kind)

    def _finish(self, errand: Errand, result: ConfirmResult) -> None:
        errand.done = True
        self.confirmed += 1
        self._oracle.told_landed(result.plan_id, result.revision, self._clock.now)
        if errand.landed is not None:
            errand.landed()

    def _fail(self, errand: Errand, kind: OperatorFailureKind) -> None:
        if kind is OperatorFailureKind.NOT_KNOWN_YET:
            errand.uncertain = True
            self._clock.after(1.0, self._proceed, errand)
            return
        if errand.plan_id is None:
            # No plan was made: an operator asks again a little later.
            self._clock.after(1.0, self._proceed, errand)
            return
        if kind is OperatorFailureKind.STORE_UNAVAILABLE and errand.uncertain:
            # This confirm changed nothing; an earlier one whose end is not known may have.
            self._clock.after(1.0, self._proceed, errand)
            return
        if kind in (OperatorFailureKind.CONFLICT, OperatorFailureKind.STORE_UNAVAILABLE):
            self._oracle.told_not_landed(errand.plan_id, self._clock.now)
        errand.done = True
