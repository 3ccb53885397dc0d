"""When the store is asked: back-off with jitter, and how a crowd of nodes shares its rate limit.

Source: "Exponential Backoff and Jitter" (Brooker, AWS Architecture Blog, 2015), full jitter.
"""

from random import Random

FIRST_CEILING_SECONDS = 0.25
"""Upper end of the first delay after a failure."""

LAST_CEILING_SECONDS = 10.0
"""Upper end of the delays of a node alone, however many failures came before."""

CROWD_REQUESTS_PER_SECOND = 10.0
"""What all nodes together should ask of a store that fails."""


class FullJitterBackoff:
    """Delays after failures: uniform between zero and a ceiling that doubles each time.

    Parameters
    ----------
    random
        Seeded source.
    first_ceiling_seconds, last_ceiling_seconds
        Where the ceiling starts and where it stops.
    """

    def __init__(
        self,
        random: Random,
        first_ceiling_seconds: float = FIRST_CEILING_SECONDS,
        last_ceiling_seconds: float = LAST_CEILING_SECONDS,
    ) -> None:
        self._random = random
        self._first = first_ceiling_seconds
        self._last = last_ceiling_seconds
        self._ceiling = first_ceiling_seconds

    def succeeded(self) -> None:
        """Start over with short delays."""
        self._ceiling = self._first

    def delay_seconds(self, crowd: int = 1) -> float:
        """Return the delay after one more failure.

        Parameters
        ----------
        crowd
            How many nodes may be failing likewise; the ceiling may grow until they together
            stay under ``CROWD_REQUESTS_PER_SECOND``.
        """
        ceiling = self._ceiling
        last = max(self._last, 2 * crowd / CROWD_REQUESTS_PER_SECOND)
        self._ceiling = min(last, 2 * ceiling)
        return self._random.uniform(0.0, ceiling)


def takes_turn(random: Random, crowd: int, expected_turns: float) -> bool:
    """Decide whether this node acts, so that about ``expected_turns`` of ``crowd`` nodes do."""
    return random.random() * max(1, crowd) < expected_turns
