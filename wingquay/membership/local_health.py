"""The local health multiplier: a node that is slow itself gives others more time to answer.

Source: Lifeguard: Local Health Awareness for More Accurate Failure Detection (Dadgar, Phillips,
Currey, 2018), section IV-A.
"""


class LocalHealth:
    """A health score of this node, from 0 (healthy) to ``maximum``."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which probe times are multiplied."""
        return self.score + 1

    def worsen(self, steps: int = 1) -> None:
        """Record signs that this node is slow or unreachable."""
        self.score = min(self._maximum, self.score + steps)

    def improve(self) -> None:
        """Record a sign that this node is healthy."""
        self.score = max(0, self.score - 1)
