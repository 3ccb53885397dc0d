"""Scheduling of requests to the store: backoff with jitter, and a rate limit for all nodes.

Source: "Exponential Backoff and Jitter" (Brooker, AWS Architecture Blog, 2015), full jitter.
"""

from random import Random

INITIAL_CEILING_SECONDS = 0.25
"""Upper bound of the first delay after a failure."""

MAX_CEILING_SECONDS = 10.0
"""Upper bound of all delays of a single node."""

CLUSTER_REQUESTS_PER_SECOND = 10.0
"""Target rate of all nodes together for reads at start and for retries of failed requests."""


class FullJitterBackoff:
    """Delays after failures, uniform between zero and a ceiling that doubles on each failure.

    Parameters
    ----------
    random
        Random number generator.
    initial_ceiling_seconds, max_ceiling_seconds
        Initial and maximum value of the ceiling.
    """

    def __init__(
        self,
        random: Random,
        initial_ceiling_seconds: float = INITIAL_CEILING_SECONDS,
        max_ceiling_seconds: float = MAX_CEILING_SECONDS,
    ) -> None:
        self._random = random
        self._initial = initial_ceiling_seconds
        self._max = max_ceiling_seconds
        self._ceiling = initial_ceiling_seconds

    def reset(self) -> None:
        """Return to the initial ceiling after a success."""
        self._ceiling = self._initial

    def next_delay_seconds(self, node_count: int = 1) -> float:
        """Return the delay after another failure.

        Parameters
        ----------
        node_count
            Number of nodes that may retry at the same time. The ceiling may exceed the maximum
            to keep their total rate below ``CLUSTER_REQUESTS_PER_SECOND``.
        """
        ceiling = self._ceiling
        # The mean delay is half the ceiling, hence the factor 2.
        max_ceiling = max(self._max, 2 * node_count / CLUSTER_REQUESTS_PER_SECOND)
        self._ceiling = min(max_ceiling, 2 * ceiling)
        return self._random.uniform(0.0, ceiling)


def is_selected(random: Random, node_count: int, expected_nodes: float) -> bool:
    """Select this node at random, so that on average ``expected_nodes`` nodes are selected."""
    return random.random() * max(1, node_count) < expected_nodes
