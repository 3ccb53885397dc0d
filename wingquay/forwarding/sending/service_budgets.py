"""The budgets of extra arrivals at all services, and which part of each is this node's."""

from typing import Protocol

from ..exchange import ServiceCall
from ..knowledge.presence import NodeCount
from ..settings import ForwardingSettings
from .arrival_budget import OWNERS_RESERVE, STEP_IN_PACE, ArrivalBudget


class SharesShards(Protocol):
    """Knows among how many nodes the requests for a shard are divided."""

    def sharing_nodes(self, shard: str, now: float) -> int:
        """Return how many nodes usually ask a shard."""
        ...


class ServiceBudgets:
    """One budget for each service.

    Parameters
    ----------
    settings
        What all nodes together may cause.
    nodes
        How many these are.
    """

    def __init__(self, settings: ForwardingSettings, nodes: NodeCount) -> None:
        self._settings = settings
        self._nodes = nodes
        self._budgets: dict[str, ArrivalBudget] = {}

    def of(self, service: str) -> ArrivalBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = ArrivalBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_seconds
            )
            self._budgets[service] = budget
        return budget

    def spend(self, call: ServiceCall, placement: SharesShards | None, now: float) -> bool:
        """Take one extra arrival for a call; ``False`` if the budget does not allow it.

        Parameters
        ----------
        placement
            Who asks which shard, once shards are divided among nodes.
        """
        budget = self.of(call.service)
        nodes = self._nodes.get(now)
        if placement is None:
            return budget.spend(nodes, now)
        if call.is_owned:
            owners = placement.sharing_nodes(call.service, now)
            return budget.spend(min(nodes, owners * OWNERS_RESERVE), now)
        is_wide = len(call.exchange.route.shards) >= self._settings.delegate_least_shards
        return budget.spend(nodes, now, STEP_IN_PACE if is_wide else 1.0)
