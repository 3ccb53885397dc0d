"""Expected service times of request kinds as exponentially weighted moving averages."""

EWMA_WEIGHT = 0.05


class ServiceTimes:
    """Moving averages of service times by request kind.

    Parameters
    ----------
    initial_seconds
        Expected service time of a kind without samples.
    """

    def __init__(self, initial_seconds: float) -> None:
        self._initial_seconds = initial_seconds
        self._averages: dict[str, float] = {}

    def record(self, kind_key: str, service_seconds: float) -> None:
        """Add the service time of an answered attempt to the average of its kind."""
        average = self._averages.get(kind_key, service_seconds)
        self._averages[kind_key] = average + EWMA_WEIGHT * (service_seconds - average)

    def expected_service_seconds(self, kind_key: str) -> float:
        """Return the expected service time of a kind."""
        return self._averages.get(kind_key, self._initial_seconds)
