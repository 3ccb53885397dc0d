"""Selects the best of several replicas for a request, by one of two cost models."""

import random
from collections.abc import Iterable

from ..settings import ChoiceStrategy, ForwardingSettings
from .completion import LatencyTarget, completion_cost_seconds
from .replica_estimate import estimate_replica
from .replica_state import ReplicaState
from .replica_trials import ReplicaTrials


class ReplicaSelector:
    """Selects the replica with the lowest cost.

    Parameters
    ----------
    settings
        The zone of this node and the cost model (``choice_strategy``).
    random_source
        Breaks ties.
    """

    def __init__(self, settings: ForwardingSettings, random_source: random.Random) -> None:
        self._settings = settings
        self._random = random_source
        self._trials = ReplicaTrials(settings)

    def choose(
        self,
        states: Iterable[ReplicaState],
        now: float,
        prefers_reliable: bool,
        is_owned: bool,
        target: LatencyTarget | None,
    ) -> ReplicaState:
        """Return the best of some replicas and count it as chosen.

        Parameters
        ----------
        prefers_reliable
            Whether to prefer reliable replicas over the others.
        is_owned
            Whether this node owns the service on behalf of a group of nodes.
        target
            Latency target of the request; ``None``: replicas are compared by cost factors.
        """
        zone = self._settings.zone
        by_completion = self._settings.choice_strategy is ChoiceStrategy.COMPLETION

        def rank(state: ReplicaState) -> tuple[float, float]:
            is_trial_allowed = self._trials.is_allowed(state, now)
            if target is not None and by_completion:
                estimate = estimate_replica(state, now, zone, prefers_reliable, is_trial_allowed)
                return completion_cost_seconds(target, estimate, is_owned), self._random.random()
            cost = state.cost(now, zone, prefers_reliable, is_owned, is_trial_allowed)
            return cost, self._random.random()

        best = min(states, key=rank)
        self._trials.on_chosen(best, now)
        return best
