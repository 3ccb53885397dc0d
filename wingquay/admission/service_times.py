"""Expected slot time of a kind of request, as a moving average of what was seen."""

EWMA_WEIGHT = 0.05


class ServiceTimes:
    """Moving averages of service times, by kind."""

    def __init__(self, initial_seconds: float) -> None:
        self._initial_seconds = initial_seconds
        self._averages: dict[str, float] = {}

    def record(self, kind_key: str, service_seconds: float) -> None:
        """Take in the service time of a whole answer."""
        average = self._averages.get(kind_key, service_seconds)
        self._averages[kind_key] = average + EWMA_WEIGHT * (service_seconds - average)

    def expected_seconds(self, kind_key: str) -> float:
        """Return the expected service time of a kind."""
        return self._averages.get(kind_key, self._initial_seconds)
