"""Independent random sources, one for each concern of a simulation.

A policy that draws more often from its own stream changes nothing for the others, so one seed
gives every policy the same arrivals and the same faults.
"""

from hashlib import blake2b
from random import Random

_SEED_BYTES = 8


class RandomStreams:
    """Makes ``random.Random`` objects from a seed and a name.

    Parameters
    ----------
    seed
        The seed of the whole simulation.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> Random:
        """Return a fresh source that depends on the seed and ``name`` alone."""
        digest = blake2b(f"{self.seed}/{name}".encode(), digest_size=_SEED_BYTES).digest()
        return Random(int.from_bytes(digest, "big"))
