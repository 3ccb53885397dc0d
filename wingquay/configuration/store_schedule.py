"""When the store is asked: back-off with jitter, and how a crowd of nodes shares its rate limit.

Source: "Exponential Backoff and Jitter" (Brooker, AWS Architecture Blog, 2015), full jitter.
"""

from random import Random

INITIAL_CEILING_SECONDS = 0.25
"""Upper end of the first delay after a failure."""

MAX_CEILING_SECONDS = 10.0
"""Upper end of the delays of a node alone, however many failures came before."""

FLEET_REQUESTS_PER_SECOND = 10.0
"""What all nodes together should ask of a store that fails."""


class FullJitterBackoff:
    """Delays after failures: uniform between zero and a ceiling that doubles each time.

    Parameters
    ----------
    random
        Seeded source.
    initial_ceiling_seconds, max_ceiling_seconds
        Where the ceiling starts and where it stops.
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
        """Start over with short delays."""
        self._ceiling = self._initial

    def next_delay_seconds(self, node_count: int = 1) -> float:
        """Return the delay after one more failure.

        Parameters
        ----------
        crowd
            How many nodes may be failing likewise; the ceiling may grow until they together
            stay under ``FLEET_REQUESTS_PER_SECOND``.
        """
        ceiling = self._ceiling
        max_ceiling = max(self._max, 2 * node_count / FLEET_REQUESTS_PER_SECOND)
        self._ceiling = min(max_ceiling, 2 * ceiling)
        return self._random.uniform(0.0, ceiling)


def is_selected(random: Random, node_count: int, expected_nodes: float) -> bool:
    """Decide whether this node acts, so that about ``expected_nodes`` of ``crowd`` nodes do."""
    return random.random() * max(1, node_count) < expected_nodes
