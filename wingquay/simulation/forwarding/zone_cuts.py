"""Zones that are cut off from all others: packets between the two sides are lost."""

from ..virtual_clock import VirtualClock


class ZoneCuts:
    """Which zones are cut off now."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._until: dict[str, float] = {}

    def cut(self, zone: str, seconds: float) -> None:
        """Cut a zone off for a while."""
        self._until[zone] = max(self._until.get(zone, 0.0), self._clock.now + seconds)

    def separates(self, zone: str, other: str) -> bool:
        """Whether packets between two zones are lost now."""
        return zone != other and (self._is_cut(zone) or self._is_cut(other))

    def _is_cut(self, zone: str) -> bool:
        return self._clock.now < self._until.get(zone, 0.0)
