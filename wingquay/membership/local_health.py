"""The local health multiplier: a node that is slow itself gives others more time.

Source: Lifeguard: Local Health Awareness for More Accurate Failure Detection (Dadgar, Phillips,
Currey, 2018), section IV-A.
"""


class LocalHealth:
    """A score from 0 (healthy) to ``maximum``.

    Parameters
    ----------
    maximum
        Greatest score.
    """

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.score = 0

    @property
    def multiplier(self) -> int:
        """By what probe times are to be multiplied."""
        return self.score + 1

    def worsen(self, steps: int = 1) -> None:
        """Take note of signs that this node is slow or cannot be heard."""
        self.score = min(self._maximum, self.score + steps)

    def improve(self) -> None:
        """Take note of a sign that all is well."""
        self.score = max(0, self.score - 1)
