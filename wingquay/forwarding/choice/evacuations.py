"""The zones whose replicas must get nothing, as the keys of the store tell."""

from collections.abc import Collection

from ...ports.machine import Action, Count, Log, LogLevel
from .replica_directory import ReplicaDirectory


class Evacuations:
    """Follows the keys of evacuated zones.

    Parameters
    ----------
    prefix
        Keys begin with it; the rest is the zone's name.
    directory
        Leaves the replicas of these zones out of every choice.
    """

    def __init__(self, prefix: str, directory: ReplicaDirectory) -> None:
        self._prefix = prefix
        self._directory = directory

    def handles(self, key: str) -> bool:
        """Whether a key tells of an evacuation."""
        return key.startswith(self._prefix)

    def missing_from(self, keys: Collection[str]) -> tuple[str, ...]:
        """Return the keys of evacuated zones that a whole listing lacks."""
        known = (self._prefix + zone for zone in sorted(self._directory.evacuated_zones))
        return tuple(key for key in known if key not in keys)

    def put(self, key: str) -> list[Action]:
        """Send nothing to the replicas of a zone from now on."""
        zone = key.removeprefix(self._prefix)
        return self._set(self._directory.evacuated_zones | {zone}, zone, "zone_evacuated")

    def remove(self, key: str) -> list[Action]:
        """Send to the replicas of a zone again."""
        zone = key.removeprefix(self._prefix)
        return self._set(self._directory.evacuated_zones - {zone}, zone, "zone_taken_back")

    def _set(self, zones: frozenset[str], zone: str, message: str) -> list[Action]:
        if zones == self._directory.evacuated_zones:
            return []
        self._directory.set_evacuated_zones(zones)
        return [
            Log(message, LogLevel.WARNING, (("zone", zone), ("zones", len(zones)))),
            Count("zone_evacuations_total", labels=(("change", message),)),
        ]
