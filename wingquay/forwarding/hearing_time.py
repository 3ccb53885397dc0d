"""How long other nodes usually take to say that they have taken a request."""

WEIGHT = 0.1
"""How far one answer moves the mean."""


class HearingTime:
    """A moving mean over all nodes."""

    def __init__(self) -> None:
        self._mean_seconds = 0.0

    @property
    def usual_seconds(self) -> float:
        """The mean; 0 before anything was heard."""
        return self._mean_seconds

    def take(self, seconds: float) -> None:
        """Take in how long a node took."""
        self._mean_seconds += WEIGHT * (seconds - self._mean_seconds)
